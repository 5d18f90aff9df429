"""Endpoint lists with values that JSON allows and nobody expects.

The tests guard against a field of one entry that raises an unexpected error in the parser of lists. If a
field raised such an error, every list with this entry would be rejected as a whole, and new requests would
still go to engines that are draining according to that list.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from hypothesis import example, given
from hypothesis import settings as examples
from json_values import BEYOND_FLOATS, any_json
from relay_harness import ReceivedRequest, answer_decode, answer_prefill, platform
from world import run, until

from tuliptrack.interface import EndpointListUpdate, EndpointState, RequestClass, Role, Settings
from tuliptrack.relay.endpoint_directory import EndpointDirectory
from tuliptrack.relay.endpoint_entries import InvalidEndpointListError, parse_message
from tuliptrack.routing.router import Router

RECEIVED_WITHIN_S = 6.0
"""The platform expects a list to be applied within this time."""
FIELDS = ("id", "host_port", "locality", "flavor", "phase", "size", "up_since_ms", "cell")
NOW_US = 5_000_000


def entry(name: str, phase: str = "Ready") -> dict[str, Any]:
    return {
        "id": name,
        "host_port": "127.0.0.1:1",
        "locality": "z",
        "flavor": "reads",
        "phase": phase,
        "size": 1.0,
        "up_since_ms": 0,
        "cell": 1,
    }


def full_list(revision: int, *entries: Any) -> dict[str, Any]:
    return {"revision": revision, "complete": True, "members": list(entries)}


def states_by_name(directory: EndpointDirectory, update: EndpointListUpdate | None) -> dict[str, Any]:
    assert update
    return {directory.names.get(one.id, ""): one.state for one in update.endpoints}


def new_router() -> Router:
    classes = (RequestClass("c", priority_weight=1.0, latency_objective_us=1_000, deadline_us=9_000),)
    return Router(Settings(replicas=2, classes=classes, roles=(Role.PREFILL,), max_attempts=2), seed=1)


@pytest.mark.parametrize("field", FIELDS)
@given(value=any_json)
@example(BEYOND_FLOATS)
@examples(max_examples=80, deadline=None, derandomize=True)
def test_no_value_of_an_entry_changes_what_is_read_of_its_neighbours(field: str, value: Any) -> None:
    """A hostile entry precedes an entry that states that another engine drains, in two full lists and in a
    delta. The router accepts what is left of the hostile entry."""
    directory, router = EndpointDirectory(("reads",), ("z",)), new_router()
    hostile = {**entry("hostile"), field: value}
    for message in (
        full_list(1, entry("good")),
        full_list(2, hostile, entry("good", "Terminating")),
        full_list(3, hostile, entry("good", "Terminating")),
        {"revision": 4, "complete": False, "members": [hostile, entry("good", "Terminating")]},
    ):
        update = directory.apply(message)
        assert update
        router.handle(NOW_US, [update])
    assert states_by_name(directory, update)["good"] is EndpointState.DRAINING


@given(message=any_json, revision=any_json, members=any_json)
@examples(max_examples=200, deadline=None, derandomize=True)
def test_any_json_is_a_list_or_the_error_of_lists(message: Any, revision: Any, members: Any) -> None:
    for one in (message, {"revision": revision, "members": []}, {"revision": 1, "members": members}):
        try:
            parse_message(one)
        except InvalidEndpointListError:
            continue
        EndpointDirectory((), ()).apply(one)


@pytest.mark.parametrize("field", ["host_port", "locality", "flavor", "size", "up_since_ms", "cell"])
@pytest.mark.parametrize("phase", ["Terminating", "Gone"])
def test_the_phase_of_an_entry_is_applied_although_another_field_is_unusable(field: str, phase: str) -> None:
    """If a delta's entry with an unusable field were ignored, the engine would stay ready."""
    directory = EndpointDirectory(("reads",), ("z",))
    directory.apply(full_list(1, entry("a"), entry("b")))
    hostile = {**entry("a", phase), field: [BEYOND_FLOATS]}
    update = directory.apply({"revision": 2, "complete": False, "members": [hostile]})
    assert update and [one.state for one in update.endpoints] == [
        EndpointState.DRAINING if phase == "Terminating" else EndpointState.REMOVED
    ]


@pytest.mark.parametrize("field", ["size", "up_since_ms", "cell"])
@pytest.mark.parametrize(
    "value",
    ["1" + "0" * 400, "1" + "0" * 5_000, "[" * 2_000 + "]" * 2_000, "[" * 50_000 + "]" * 50_000],
    ids=["400 digits", "5,000 digits", "nested 2,000 deep", "nested 50,000 deep"],
)
def test_no_request_reaches_an_engine_that_drains_by_a_list_with_a_hostile_entry(
    field: str, value: str
) -> None:
    """The agent's lists have an entry with a number beyond the range of floats or beyond Python's limit on digits, or
    with a value that is nested too deeply for Python's parser.
    """

    async def go() -> None:
        async with platform(r0=answer_prefill, r1=answer_prefill, r2=answer_prefill, w0=answer_decode) as p:
            hostile = json.dumps({**entry("hostile"), field: "VALUE"}).replace('"VALUE"', value)

            async def answer(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
                body = json.dumps({"revision": p.revision, "complete": True, "members": p.members()})
                body = body.replace('"members": [', f'"members": [{hostile}, ')
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body.encode())

            p.agent.script = answer
            p.publish(r0="Terminating")
            await until(lambda: p.relay.directory.revision == p.revision, RECEIVED_WITHIN_S)
            before = len(p.engines["r0"].received())
            for _ in range(10):
                assert (await p.send_request()).is_complete
            assert len(p.engines["r0"].received()) == before

    run(go, virtual=True)
