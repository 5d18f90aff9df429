"""What the directory knows after valid, broken, older or another agent's endpoint lists and deltas."""

from __future__ import annotations

from typing import Any

import pytest

from tuliptrack.interface import EndpointListUpdate, EndpointState
from tuliptrack.relay import endpoint_directory
from tuliptrack.relay.endpoint_directory import EndpointDirectory
from tuliptrack.relay.endpoint_entries import InvalidEndpointListError


def entry(name: str, phase: str = "Ready", started_at_ms: int = 0) -> dict[str, Any]:
    return {
        "id": name,
        "host_port": "127.0.0.1:1",
        "locality": "z",
        "flavor": "reads",
        "phase": phase,
        "up_since_ms": started_at_ms,
    }


def full_list(revision: int, *entries: Any) -> dict[str, Any]:
    return {"revision": revision, "complete": True, "members": list(entries)}


def delta(revision: int, *entries: Any) -> dict[str, Any]:
    return {"revision": revision, "complete": False, "members": list(entries)}


def states(update: EndpointListUpdate | None) -> list[EndpointState]:
    assert update
    return [endpoint.state for endpoint in update.endpoints]


def new_directory() -> EndpointDirectory:
    return EndpointDirectory(("reads",), ("z",))


def test_an_unusable_entry_is_left_out() -> None:
    """Some entries have a field whose value the settings do not know or that is of a wrong type, and one
    entry is no object. The other entries are applied."""
    directory = new_directory()
    good = entry("a")
    broken: list[Any] = [
        {**good, "id": "b", field: "no such"}
        for field in ("locality", "flavor", "phase", "host_port", "size")
    ]
    update = directory.apply(full_list(5, *broken, 7, good))
    assert states(update) == [EndpointState.READY] and list(directory.names.values()) == ["a"]


def test_older_and_broken_lists_change_nothing() -> None:
    directory = new_directory()
    directory.apply(full_list(5, entry("a")))
    assert directory.apply(full_list(4)) is None and directory.names
    broken: tuple[Any, ...] = ([], {"members": 3}, {"revision": "x", "members": []})
    for message in broken:
        with pytest.raises(InvalidEndpointListError):
            directory.apply(message)
    assert directory.revision == 5 and list(directory.names.values()) == ["a"]


def test_a_removal_may_state_only_name_and_phase() -> None:
    directory = new_directory()
    directory.apply(full_list(5, entry("a")))
    update = directory.apply(delta(6, {"id": "a", "phase": "Gone"}))
    assert states(update) == [EndpointState.REMOVED] and not directory.addresses


def test_an_older_list_of_a_new_agent_does_not_revive_endpoints() -> None:
    """The node follows a new agent, which lags behind the former one: the new agent lists endpoints as ready
    that have been draining or removed since. Endpoints with the same start keep their last state; one that
    has restarted is new. Later lists of the new agent are applied in full."""
    directory = new_directory()
    directory.apply(full_list(5, entry("a"), entry("b"), entry("c"), entry("d")))
    directory.apply(delta(6, entry("a", "Terminating"), entry("d", "Terminating")))
    directory.apply(full_list(7, entry("a", "Terminating"), entry("c"), entry("d", "Terminating")))
    older = full_list(4, entry("a"), entry("b"), entry("c"), entry("d", started_at_ms=1_000))
    assert directory.apply(older) is None
    assert states(directory.apply(older, is_new_agent=True)) == [
        EndpointState.DRAINING,
        EndpointState.REMOVED,
        EndpointState.READY,
        EndpointState.READY,
    ]
    assert directory.revision == 4 and len(directory.addresses) == 3
    assert states(directory.apply(delta(5, entry("a"), entry("b")))) == [EndpointState.READY] * 2


def test_remembered_states_are_bounded_and_lists_are_applied_beyond_the_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Endpoints with ever new names come and go, without a full list in between."""
    monkeypatch.setattr(endpoint_directory, "MAX_REMEMBERED_STATES", 8)
    directory = new_directory()
    directory.apply(full_list(1, entry("stays"), entry("leaves")))
    for number in range(30):
        directory.apply(delta(2 + number, entry(f"s{number}")))
    assert len(directory._last_states) == 8
    update = directory.apply(full_list(40, entry("stays")))
    assert states(update) == [EndpointState.READY] and len(directory.addresses) == 1
    assert len(directory._last_states) == 8
