"""Which engines serve which model, where unnamed versions go, and what the routers of one node share."""

from __future__ import annotations

from itertools import pairwise

import pytest
from helpers import MS, READ, WRITE, S, only, server, settings
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
FLEET = {1: (READ, A), 2: (WRITE, A), 3: (READ, B), 4: (WRITE, B), 5: (READ, B2), 6: (WRITE, B2)}


def change(
    labels: dict[int, tuple[int, Model]],
    kind: UpdateKind = UpdateKind.FULL,
    state: EndpointState = EndpointState.READY,
) -> tuple[EndpointListUpdate, dict[int, Model]]:
    servers = tuple(server(i, k, state=state) for i, (k, _) in labels.items())
    return EndpointListUpdate(kind, 1, servers), {i: m for i, (_, m) in labels.items()}


def catalog(labels: dict[int, tuple[int, Model]] = FLEET) -> ModelCatalog:
    made = ModelCatalog(ROLES)
    made.split(*change(labels))
    return made


def test_each_router_hears_of_its_own_engines_and_of_its_part_of_the_quotas() -> None:
    found = ModelCatalog(ROLES).split(*change(FLEET))
    assert {m: [s.id for s in c.endpoints] for m, c in found.items()} == {A: [1, 2], B: [3, 4], B2: [5, 6]}
    assert all(c.quota_share == pytest.approx(1 / 3) for c in found.values())
    assert (
        ModelCatalog(ROLES).split(*change({1: (READ, Model()), 2: (WRITE, Model())}))[Model()].quota_share
        == 1.0
    )


def test_an_engine_that_changes_its_model_is_gone_for_the_old_router_first() -> None:
    made = catalog()
    found = made.split(*change({2: (WRITE, B)}, UpdateKind.DELTA))
    assert [(s.id, s.state) for s in found[A].endpoints] == [(2, EndpointState.REMOVED)]
    assert [(s.id, s.state) for s in found[B].endpoints] == [(2, EndpointState.READY)]
    assert not made.ready("a") and made.ready("b", "1")
    found = made.split(*change({1: (READ, A)}))  # a whole list: who isn't named has gone, at every router
    assert {m: [s.id for s in c.endpoints] for m, c in found.items()} == {A: [1], B: [], B2: []}


def test_what_cant_be_served_is_told_by_field_and_whether_it_may_come_back() -> None:
    made = catalog()
    for name, version, field in (("", "", "model"), ("z", "", "model"), ("b", "9", "model_version")):
        with pytest.raises(NotServedError) as caught:
            made.choose(name, version, "s")
        assert (caught.value.field, caught.value.known) == (field, False)
    made.split(*change({2: (WRITE, A)}, UpdateKind.DELTA, EndpointState.DRAINING))
    with pytest.raises(NotServedError) as caught:
        made.choose("a", "", "s")
    assert caught.value.known
    assert catalog({1: (READ, A), 2: (WRITE, A)}).choose("", "", "s") == A  # the only one need not be named
    assert catalog({1: (READ, Model()), 2: (WRITE, Model())}).choose("any", "", "s") == Model()
    assert ModelCatalog(ROLES).choose("any", "", "s") == Model()  # before the first list


def test_a_rollout_moves_as_many_sessions_as_there_are_engines_and_each_once() -> None:
    sessions = [f"s{n}" for n in range(2000)]
    went: list[list[str]] = []
    for new in range(11):
        labels = {
            n: (READ if n % 2 else WRITE, Model("m", "2" if n <= 2 * new else "1")) for n in range(1, 21)
        }
        made = catalog(labels)
        went.append([made.choose("m", "", s).version for s in sessions])
        assert went[-1].count("2") == pytest.approx(200 * new, abs=90)
    for s in range(len(sessions)):
        assert sum(a[s] != b[s] for a, b in pairwise(went)) == 1


def test_models_past_the_bound_are_left_out_and_told_and_come_in_when_there_is_room() -> None:
    labels = {n: (READ, Model(f"m{n}")) for n in range(1, MAX_MODELS + 4)}
    made = catalog(labels)
    assert len(made.listed()) == MAX_MODELS and made.left_out == {
        MAX_MODELS + 1,
        MAX_MODELS + 2,
        MAX_MODELS + 3,
    }
    del labels[1]
    made.split(*change(labels))
    assert len(made.listed()) == MAX_MODELS and len(made.left_out) == 2


STEP = st.tuples(
    st.sampled_from(list(UpdateKind)[:2]),
    st.lists(
        st.tuples(
            st.integers(1, 6),
            st.sampled_from([READ, WRITE]),
            st.sampled_from([A, B, B2]),
            st.sampled_from(list(EndpointState)),
        ),
        max_size=6,
        unique_by=lambda e: e[0],
    ),
)


@examples(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(STEP, max_size=8))
def test_over_any_changes_each_engine_is_ready_at_the_router_of_its_label_and_at_no_other(
    steps: list[tuple[UpdateKind, list[tuple[int, int, Model, EndpointState]]]],
) -> None:
    made, seen = ModelCatalog(ROLES), dict[Model, dict[int, EndpointState]]()
    wanted: dict[int, tuple[Model, EndpointState]] = {}
    for kind, entries in steps:
        servers = tuple(EndpointInfo(i, k, state) for i, k, _, state in entries)
        if kind is UpdateKind.FULL:
            wanted.clear()
        wanted.update({i: (m, state) for i, _, m, state in entries})
        for model, part in made.split(
            EndpointListUpdate(kind, 1, servers), {i: m for i, _, m, _ in entries}
        ).items():
            held = seen.setdefault(model, {})
            if part.kind is UpdateKind.FULL:
                held.clear()
            held.update({s.id: s.state for s in part.endpoints})
        ready = {
            (m, i) for m, held in seen.items() for i, state in held.items() if state is EndpointState.READY
        }
        assert ready == {(m, i) for i, (m, state) in wanted.items() if state is EndpointState.READY}


def test_quotas_are_one_over_all_models_of_a_node_and_cold_turns_follow_the_part() -> None:
    kept = settings(replicas=1)
    first = Router(kept, 1)
    second = Router(kept, 2, first)
    for router, base in ((first, 10), (second, 20)):
        router.handle(
            S, [EndpointListUpdate(UpdateKind.FULL, 1, (server(base, READ), server(base + 1, WRITE)), 0.5)]
        )
    assert (
        first.state.fleet_capacity_per_s == second.state.fleet_capacity_per_s == 501.0
    )  # half of what the tenants have: the engines are half of the fleet
    said = []
    for number in range(14):  # the second tenant has two a second, whichever model it asks for
        router = (first, second)[number % 2]
        ask = Request(number, 0, 5 * S, 1000.0, 0.0, 200.0, number, 0, 1)
        said.append(router.handle(S + number * MS, [ask])[-1])
    assert isinstance(said[0], SendAttempt) and first.quotas is second.quotas
    assert first.quotas.buckets[1].tokens < 1  # one bucket, emptied by both
    assert not any(isinstance(a, Reject) for a in said[:2])
    assert only(SendAttempt, [said[0]]).endpoint_id == 10 and only(SendAttempt, [said[1]]).endpoint_id == 20
