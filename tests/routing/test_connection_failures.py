"""Attempts for which only their own connection fails, and admission of requests that resume a stream."""

from __future__ import annotations

from helpers import MS, answers, fleet, only, world

from tuliptrack.interface import Reject, SendAttempt, Status, Tenant


def test_a_connection_failure_ejects_nothing_and_is_retried_at_the_endpoint_that_caches_the_prompt() -> None:
    w = world()
    request_id, actions = w.ask()
    affinity_id = only(SendAttempt, actions).endpoint_id
    for _ in range(2):
        retry = only(
            SendAttempt, w.end(request_id, affinity_id, Status.RESET, after=2 * MS, is_connection_only=True)
        )
        assert retry.endpoint_id == affinity_id and not w.router.endpoints[affinity_id].ejections
    # After the third failure the request itself may be the cause, so it goes to another endpoint.
    assert (
        only(
            SendAttempt, w.end(request_id, affinity_id, Status.RESET, after=2 * MS, is_connection_only=True)
        ).endpoint_id
        != affinity_id
    )


def test_consecutive_connection_failures_without_a_response_in_between_eject_the_endpoint() -> None:
    w = world(fleet(prefill=1))
    endpoint = w.router.endpoints[10]
    for is_answered in (True, False):
        for _ in range(3):
            request_id, actions = w.ask()
            w.end(
                request_id,
                only(SendAttempt, actions).endpoint_id,
                Status.RESET,
                after=2 * MS,
                is_connection_only=True,
            )
            if is_answered:
                w.end(request_id, 10, Status.PREFILLED)
            assert not endpoint.ejections
    request_id, _ = w.ask()
    w.end(request_id, 10, Status.RESET, after=2 * MS, is_connection_only=True)
    assert endpoint.ejections


def test_any_other_reset_ejects_the_endpoint_at_once() -> None:
    w = world()
    request_id, actions = w.ask()
    affinity_id = only(SendAttempt, actions).endpoint_id
    assert (
        only(SendAttempt, w.end(request_id, affinity_id, Status.RESET, after=2 * MS)).endpoint_id
        != affinity_id
    )
    assert w.router.endpoints[affinity_id].ejections


def test_a_resumed_stream_is_admitted_where_a_new_request_is_rejected() -> None:
    w = world(fleet(prefill=1, decode=1), tenants=(Tenant("a", 1.0, 1000.0),))
    first, actions = w.ask()
    w.end(first, only(SendAttempt, actions).endpoint_id, Status.PREFILLED, after=50 * MS)

    def fill(resumed: bool = False) -> int:
        """Send requests until one is rejected, and return how many were admitted before."""
        for n in range(1000):
            if answers(w.ask(prompt_tokens=300.0, prefix=0, is_resumed=resumed)[1]):
                return n
        raise AssertionError("no request was rejected")

    assert fill() > 0
    resumed_count = fill(resumed=True)
    assert resumed_count > 0  # up to 1.6 times the queue limit; above, they could only be late
    assert fill() == 0


def test_a_rejection_for_lack_of_capacity_says_when_to_retry() -> None:
    w = world(fleet(prefill=1, decode=1), tenants=(Tenant("a", 1.0, 1000.0),), max_retry_after_us=500 * MS)
    first, actions = w.ask()
    w.end(first, only(SendAttempt, actions).endpoint_id, Status.PREFILLED, after=50 * MS)
    retry_after_us: list[int] = []
    for _ in range(200):
        retry_after_us += [
            a.retry_after_us for a in w.ask(prompt_tokens=900.0, prefix=0)[1] if isinstance(a, Reject)
        ]
    assert retry_after_us and all(0 < wait <= 500 * MS for wait in retry_after_us)
    w = world([], max_retry_after_us=500 * MS)
    assert only(Reject, w.ask()[1]).retry_after_us == 0  # without endpoints, the queue time is not estimated


def test_an_unreachable_decode_endpoint_is_not_retried_for_the_request_while_there_are_others() -> None:
    """The connection was not established in the short time left, so the endpoint is not ejected, and the KV
    state was lost.
    """
    for seed in range(20):
        w = world(fleet(prefill=1, decode=4), seed=seed)
        request_id, actions = w.ask()
        chosen = []
        for _ in range(2):
            decode_id = only(
                SendAttempt, w.end(request_id, only(SendAttempt, actions).endpoint_id, Status.PREFILLED)
            ).endpoint_id
            chosen.append(decode_id)
            actions = w.end(
                request_id, decode_id, Status.CONNECT_FAILED, is_connection_only=True, is_state_lost=True
            )
        assert len(set(chosen)) == 2, f"seed {seed}: {chosen}"
