"""Clients with very short deadlines must not disable the protection of other clients against faults.

A request that is shed only because of its client's deadline must not count as an overload of the node. For
two seconds after an overload, the node abandons no unanswered attempt and ejects no slow endpoint. So if such
requests counted, one of them per second would disable both protections for all clients of the node.
"""

from __future__ import annotations

from collections import Counter

import pytest
from helpers import MS, S, World, fleet, only, world

from tuliptrack.interface import MigrateStream, Reject, SendAttempt, Status

SHORT_DEADLINE_US = 20 * MS
NODES = 40
HANGING = 10
"""Id of the prefill endpoint that hangs."""
SLOW = 13
"""Id of the decode endpoint whose streams are slow."""


def serve(node: World) -> None:
    """Serve one request from its prefill to the end of its stream."""
    request_id, actions = node.ask(after=100 * MS)
    actions = node.end(request_id, only(SendAttempt, actions).endpoint_id, Status.PREFILLED, after=60 * MS)
    endpoint_id = only(SendAttempt, actions).endpoint_id
    node.start(request_id, endpoint_id, after=60 * MS)
    node.end(request_id, endpoint_id, Status.OK, after=200 * MS, is_final=True)


def reject_short_deadline(node: World) -> None:
    _, actions = node.ask(time_left_us=SHORT_DEADLINE_US)
    rejected = only(Reject, actions)
    assert rejected.retry_after_us >= 0


def node_with_history(seed: int, **changes: object) -> World:
    node = world(fleet(), seed=seed, replicas=NODES, **changes)
    for _ in range(20):
        serve(node)
    return node


def test_attempts_at_an_endpoint_that_hangs_are_abandoned_despite_clients_with_short_deadlines() -> None:
    """Each of many nodes gets one request with a short deadline per second; one of three prefill endpoints
    hangs.
    """
    outcomes: Counter[str] = Counter()
    for seed in range(1, NODES + 1):
        node = node_with_history(seed)
        for session in range(1, 7):
            if session % 3 == 1:
                reject_short_deadline(node)
            request_id, actions = node.ask(after=100 * MS, session=1000 * seed + session, prefix=0)
            sent = only(SendAttempt, actions)
            if sent.endpoint_id != HANGING:
                serve_rest(node, request_id, sent)
                continue
            retried = bool(sent.timeout_us) and node.end(
                request_id, HANGING, Status.TIMEOUT, after=sent.timeout_us
            )
            outcomes["retried in time" if retried else "lost"] += 1
            if retried:
                serve_rest(node, request_id, only(SendAttempt, retried))
            else:
                node.end(request_id, HANGING, Status.TIMEOUT, after=5 * S, is_final=True)
    assert outcomes["retried in time"] > NODES / 2 and not outcomes["lost"], outcomes


def serve_rest(node: World, request_id: int, sent: SendAttempt) -> None:
    actions = node.end(request_id, sent.endpoint_id, Status.PREFILLED, after=60 * MS)
    endpoint_id = only(SendAttempt, actions).endpoint_id
    node.start(request_id, endpoint_id, after=60 * MS)
    node.end(request_id, endpoint_id, Status.OK, after=200 * MS, is_final=True)


def test_streams_of_a_slow_endpoint_are_migrated_despite_clients_with_short_deadlines() -> None:
    """One of three decode endpoints takes eight times as long as the others."""
    node = node_with_history(1, may_resume=True)
    streams: dict[int, tuple[int, int]] = {}
    for step in range(100):
        if step % 10 == 0:
            reject_short_deadline(node)
        for request_id, (endpoint_id, ends_at_us) in list(streams.items()):
            if node.now >= ends_at_us:
                del streams[request_id]
                node.end(request_id, endpoint_id, Status.OK, after=0, is_final=True)
        request_id, actions = node.ask(after=80 * MS)
        sent = only(
            SendAttempt, node.end(request_id, only(SendAttempt, actions).endpoint_id, Status.PREFILLED)
        )
        node.start(request_id, sent.endpoint_id, after=10 * MS)
        length_us = 16 * S if sent.endpoint_id == SLOW else 2 * S
        streams[request_id] = (sent.endpoint_id, node.now + length_us)
    assert [action for action in node.actions if isinstance(action, MigrateStream)]


@pytest.mark.parametrize("time_left_us", [SHORT_DEADLINE_US, 5 * S])
def test_an_actual_overload_is_detected_whatever_the_deadlines_of_the_clients(time_left_us: int) -> None:
    """All answers miss the latency objective, so abandoning attempts would only add to the overload."""
    node = world(fleet(), replicas=NODES)
    for _ in range(20):
        request_id, actions = node.ask(after=100 * MS)
        sent = [action for action in actions if isinstance(action, SendAttempt)]
        if not sent:
            break
        node.end(request_id, sent[0].endpoint_id, Status.PREFILLED, after=4 * S)
    node.ask(time_left_us=time_left_us, after=10 * MS)
    assert node.router.state.is_shedding
