"""Which endpoints serve which model, which version a request gets, and what routers of one node share."""

from __future__ import annotations

from itertools import pairwise

import pytest
from helpers import DECODE, MS, PREFILL, S, only, server, settings
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from tuliptrack.decisions.model_catalog import MAX_MODELS, Model, ModelCatalog, NotServedError
from tuliptrack.interface import (
    EndpointInfo,
    EndpointListUpdate,
    EndpointState,
    Reject,
    Request,
    Role,
    SendAttempt,
    UpdateKind,
)
from tuliptrack.routing.router import Router

ROLES = (Role.PREFILL, Role.DECODE, Role.PREFILL_AND_DECODE)
A, B, B2 = Model("a", "1"), Model("b", "1"), Model("b", "2")
FLEET = {1: (PREFILL, A), 2: (DECODE, A), 3: (PREFILL, B), 4: (DECODE, B), 5: (PREFILL, B2), 6: (DECODE, B2)}


def change(
    labels: dict[int, tuple[int, Model]],
    kind: UpdateKind = UpdateKind.FULL,
    state: EndpointState = EndpointState.READY,
) -> tuple[EndpointListUpdate, dict[int, Model]]:
    servers = tuple(server(i, k, state=state) for i, (k, _) in labels.items())
    return EndpointListUpdate(kind, 1, servers), {i: m for i, (_, m) in labels.items()}


def catalog(labels: dict[int, tuple[int, Model]] = FLEET) -> ModelCatalog:
    models = ModelCatalog(ROLES)
    models.split_update(*change(labels))
    return models


def test_each_router_gets_its_own_endpoints_and_its_share_of_the_quotas() -> None:
    updates = ModelCatalog(ROLES).split_update(*change(FLEET))
    assert {m: [s.id for s in c.endpoints] for m, c in updates.items()} == {A: [1, 2], B: [3, 4], B2: [5, 6]}
    assert all(c.quota_share == pytest.approx(1 / 3) for c in updates.values())
    assert (
        ModelCatalog(ROLES)
        .split_update(*change({1: (PREFILL, Model()), 2: (DECODE, Model())}))[Model()]
        .quota_share
        == 1.0
    )


def test_an_endpoint_that_changes_its_model_is_removed_at_the_old_router() -> None:
    models = catalog()
    updates = models.split_update(*change({2: (DECODE, B)}, UpdateKind.DELTA))
    assert [(s.id, s.state) for s in updates[A].endpoints] == [(2, EndpointState.REMOVED)]
    assert [(s.id, s.state) for s in updates[B].endpoints] == [(2, EndpointState.READY)]
    assert not models.ready("a") and models.ready("b", "1")
    # A full list removes the endpoints that it does not name.
    updates = models.split_update(*change({1: (PREFILL, A)}))
    assert {m: [s.id for s in c.endpoints] for m, c in updates.items()} == {A: [1], B: [], B2: []}


def test_an_error_names_the_field_and_whether_the_model_is_listed() -> None:
    models = catalog()
    for name, version, field in (("", "", "model"), ("z", "", "model"), ("b", "9", "model_version")):
        with pytest.raises(NotServedError) as caught:
            models.choose(name, version, "s")
        assert (caught.value.field, caught.value.is_listed) == (field, False)
    models.split_update(*change({2: (DECODE, A)}, UpdateKind.DELTA, EndpointState.DRAINING))
    with pytest.raises(NotServedError) as caught:
        models.choose("a", "", "s")
    assert caught.value.is_listed
    assert (
        catalog({1: (PREFILL, A), 2: (DECODE, A)}).choose("", "", "s") == A
    )  # a request need not name the only model
    assert catalog({1: (PREFILL, Model()), 2: (DECODE, Model())}).choose("any", "", "s") == Model()
    assert ModelCatalog(ROLES).choose("any", "", "s") == Model()  # no list has arrived yet


def test_a_rollout_moves_as_many_sessions_as_there_are_endpoints_and_each_once() -> None:
    sessions = [f"s{n}" for n in range(2000)]
    versions: list[list[str]] = []
    for new in range(11):
        labels = {
            n: (PREFILL if n % 2 else DECODE, Model("m", "2" if n <= 2 * new else "1")) for n in range(1, 21)
        }
        models = catalog(labels)
        versions.append([models.choose("m", "", s).version for s in sessions])
        assert versions[-1].count("2") == pytest.approx(200 * new, abs=90)
    for s in range(len(sessions)):
        assert sum(a[s] != b[s] for a, b in pairwise(versions)) == 1


def test_models_over_the_limit_are_not_served_until_others_are_removed() -> None:
    labels = {n: (PREFILL, Model(f"m{n}")) for n in range(1, MAX_MODELS + 4)}
    models = catalog(labels)
    assert len(models.listed()) == MAX_MODELS and models.over_limit == {
        MAX_MODELS + 1,
        MAX_MODELS + 2,
        MAX_MODELS + 3,
    }
    del labels[1]
    models.split_update(*change(labels))
    assert len(models.listed()) == MAX_MODELS and len(models.over_limit) == 2


STEP = st.tuples(
    st.sampled_from(list(UpdateKind)[:2]),
    st.lists(
        st.tuples(
            st.integers(1, 6),
            st.sampled_from([PREFILL, DECODE]),
            st.sampled_from([A, B, B2]),
            st.sampled_from(list(EndpointState)),
        ),
        max_size=6,
        unique_by=lambda e: e[0],
    ),
)


@examples(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(STEP, max_size=8))
def test_after_any_updates_each_endpoint_is_ready_at_the_router_of_its_model_and_at_no_other(
    steps: list[tuple[UpdateKind, list[tuple[int, int, Model, EndpointState]]]],
) -> None:
    models, seen = ModelCatalog(ROLES), dict[Model, dict[int, EndpointState]]()
    expected: dict[int, tuple[Model, EndpointState]] = {}
    for kind, entries in steps:
        servers = tuple(EndpointInfo(i, k, state) for i, k, _, state in entries)
        if kind is UpdateKind.FULL:
            expected.clear()
        expected.update({i: (m, state) for i, _, m, state in entries})
        for model, split in models.split_update(
            EndpointListUpdate(kind, 1, servers), {i: m for i, _, m, _ in entries}
        ).items():
            at_router = seen.setdefault(model, {})
            if split.kind is UpdateKind.FULL:
                at_router.clear()
            at_router.update({s.id: s.state for s in split.endpoints})
        ready = {
            (m, i)
            for m, at_router in seen.items()
            for i, state in at_router.items()
            if state is EndpointState.READY
        }
        assert ready == {(m, i) for i, (m, state) in expected.items() if state is EndpointState.READY}


def test_models_of_a_node_share_one_quota_and_slow_start_follows_the_share() -> None:
    shared = settings(replicas=1)
    first = Router(shared, 1)
    second = Router(shared, 2, first)
    for router, base in ((first, 10), (second, 20)):
        router.handle(
            S,
            [EndpointListUpdate(UpdateKind.FULL, 1, (server(base, PREFILL), server(base + 1, DECODE)), 0.5)],
        )
    assert (
        first.state.fleet_capacity_per_s == second.state.fleet_capacity_per_s == 501.0
    )  # half of the tenants' quotas, as each model has half of the fleet's capacity
    actions = []
    for number in range(14):  # the second tenant's quota is two requests a second over all models
        router = (first, second)[number % 2]
        request = Request(number, 0, 5 * S, 1000.0, 0.0, 200.0, number, 0, 1)
        actions.append(router.handle(S + number * MS, [request])[-1])
    assert isinstance(actions[0], SendAttempt) and first.quotas is second.quotas
    assert first.quotas.buckets[1].tokens < 1  # both routers have emptied the one bucket
    assert not any(isinstance(a, Reject) for a in actions[:2])
    assert only(SendAttempt, [actions[0]]).endpoint_id == 10
    assert only(SendAttempt, [actions[1]]).endpoint_id == 20
