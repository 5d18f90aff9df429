"""Clients with hardly any time left, beside a fault that everybody else is guarded against.

Failure: each of their requests, shed as it could not be in time, counts as an overload of the node. For two
seconds no silent attempt is given up and no slow endpoint ejected, for all its clients: one such client a second
switches both guards off.
"""

from __future__ import annotations

from collections import Counter

import pytest
from helpers import MS, S, World, fleet, only, world

from tuliptrack.interface import MigrateStream, Reject, SendAttempt, Status

HARDLY_ANY_TIME_US = 20 * MS
NODES = 40
HANGING = 10
"""A prefill endpoint."""
SLOW = 13
"""A decode endpoint."""


def serve(node: World) -> None:
    """One request from its prefill to the end of its stream."""
    number, actions = node.ask(after=100 * MS)
    actions = node.end(number, only(SendAttempt, actions).endpoint_id, Status.PREFILLED, after=60 * MS)
    endpoint_id = only(SendAttempt, actions).endpoint_id
    node.start(number, endpoint_id, after=60 * MS)
    node.end(number, endpoint_id, Status.OK, after=200 * MS, is_final=True)


def ask_without_time(node: World) -> None:
    _, actions = node.ask(time_left_us=HARDLY_ANY_TIME_US)
    rejected = only(Reject, actions)
    assert rejected.retry_after_us >= 0


def node_with_history(seed: int, **changes: object) -> World:
    node = world(fleet(), seed=seed, replicas=NODES, **changes)
    for _ in range(20):
        serve(node)
    return node


def test_attempts_at_an_endpoint_that_hangs_are_given_up_beside_clients_without_time() -> None:
    """Many nodes, each with one such client a second; every attempt at one of three prefill endpoints hangs."""
    ends: Counter[str] = Counter()
    for seed in range(1, NODES + 1):
        node = node_with_history(seed)
        for session in range(1, 7):
            if session % 3 == 1:
                ask_without_time(node)
            number, actions = node.ask(after=100 * MS, session=1000 * seed + session, prefix=0)
            sent = only(SendAttempt, actions)
            if sent.endpoint_id != HANGING:
                serve_rest(node, number, sent)
                continue
            retried = bool(sent.timeout_us) and node.end(
                number, HANGING, Status.TIMEOUT, after=sent.timeout_us
            )
            ends["given up in time" if retried else "lost"] += 1
            if retried:
                serve_rest(node, number, only(SendAttempt, retried))
            else:
                node.end(number, HANGING, Status.TIMEOUT, after=5 * S, is_final=True)
    assert ends["given up in time"] > NODES / 2 and not ends["lost"], ends


def serve_rest(node: World, number: int, sent: SendAttempt) -> None:
    actions = node.end(number, sent.endpoint_id, Status.PREFILLED, after=60 * MS)
    endpoint_id = only(SendAttempt, actions).endpoint_id
    node.start(number, endpoint_id, after=60 * MS)
    node.end(number, endpoint_id, Status.OK, after=200 * MS, is_final=True)


def test_streams_of_a_slow_endpoint_are_migrated_beside_clients_without_time() -> None:
    """One decode endpoint of three needs eight times as long as the others."""
    node = node_with_history(1, may_resume=True)
    streams: dict[int, tuple[int, int]] = {}
    for step in range(100):
        if step % 10 == 0:
            ask_without_time(node)
        for number, (endpoint_id, ends_at_us) in list(streams.items()):
            if node.now >= ends_at_us:
                del streams[number]
                node.end(number, endpoint_id, Status.OK, after=0, is_final=True)
        number, actions = node.ask(after=80 * MS)
        sent = only(SendAttempt, node.end(number, only(SendAttempt, actions).endpoint_id, Status.PREFILLED))
        node.start(number, sent.endpoint_id, after=10 * MS)
        length_us = 16 * S if sent.endpoint_id == SLOW else 2 * S
        streams[number] = (sent.endpoint_id, node.now + length_us)
    assert [action for action in node.said if isinstance(action, MigrateStream)]


@pytest.mark.parametrize("time_left_us", [HARDLY_ANY_TIME_US, 5 * S])
def test_a_real_overload_counts_as_one_whatever_time_its_clients_have(time_left_us: int) -> None:
    """Every attempt is answered late for its class: the guards pause, as retries would add to the overload."""
    node = world(fleet(), replicas=NODES)
    for _ in range(20):
        number, actions = node.ask(after=100 * MS)
        sent = [action for action in actions if isinstance(action, SendAttempt)]
        if not sent:
            break
        node.end(number, sent[0].endpoint_id, Status.PREFILLED, after=4 * S)
    node.ask(time_left_us=time_left_us, after=10 * MS)
    assert node.router.state.is_shedding
