"""The core's client of engines on the platform's HTTP protocol: starts attempts and releases KV states.

`node/port.py` describes the interface. This protocol has no reservations and no health checks: the client
reports at once that they are not available.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from tuliptrack.interface import HealthCheckResult, Status
from tuliptrack.node.core import Core
from tuliptrack.node.requests import Attempt, RequestRecord
from tuliptrack.relay.corroboration import Corroboration
from tuliptrack.relay.engine_pools import EnginePools
from tuliptrack.relay.forwarded_request import ForwardedRequest
from tuliptrack.relay.http_attempt import HttpAttempt
from tuliptrack.relay.kv_state_releases import UNCONFIRMED_END_ROUNDS, KvStateReleases, release_request
from tuliptrack.relay.late_releases import LateReleases
from tuliptrack.rpc.http1_exchange import Exchange

__all__ = ["HttpEngineClient"]

MIN_BUDGET_US = 1_000
"""Minimum budget that is sent to an engine, since a budget of 0 is invalid."""


class HttpEngineClient:
    """Implements `node.port.EngineClient`.

    Bounds: the connections of `EnginePools`, the pending releases of `KvStateReleases` and `LateReleases`.
    """

    prefills_have_no_effect = False
    releases_are_global = True
    release_transit_us = 0
    """No time, since the platform grants the transit time in addition to the time that the settings state."""

    def __init__(self, core: Core, pools: EnginePools, report_names: tuple[str, ...]) -> None:
        self.core, self.pools = core, pools
        self.releases = KvStateReleases(pools, core.settings.release_within_us, core.counters)
        self.late_releases = LateReleases(pools, core.settings.release_within_us, core.counters)
        self._report_names = report_names
        self._served_call_id = ""
        """Call id of a served request: nothing is reserved for it, so its release has no effect."""
        pools.make_probe = self._make_probe

    def record_served(self, record: RequestRecord) -> None:
        """Note that a request has been served and is over."""
        self._served_call_id = record.client_request.call_id

    def has_address(self, endpoint_id: int) -> bool:
        """Return whether the endpoint list states an address of the endpoint."""
        return endpoint_id in self.pools

    def start(self, record: RequestRecord, attempt: Attempt, timeout_us: int) -> HttpAttempt:
        """Start an attempt, for which the node waits `timeout_us`."""
        forwarded = cast(ForwardedRequest, record.client_request.payload)
        pool = self.pools.get_or_create(attempt.endpoint_id)
        assert pool
        exchange = Exchange(forwarded.method, forwarded.target, [], forwarded.body)
        exchange.needs_validation, exchange.connect_by = True, attempt.connect_by_us
        deadline_us, address = self.core.now() + timeout_us, pool.address

        def set_fields() -> None:
            # Called right before the request is written, since the budget is the time left at that moment.
            budget_us = max(deadline_us - self.core.now(), MIN_BUDGET_US)
            exchange.fields = [
                ("host", address),
                ("x-call-id", record.client_request.call_id),
                ("x-budget", f"{budget_us / 1e6:.3f}"),
                *forwarded.fields,
            ]

        exchange.before_write = set_fields
        exchange.is_still_wanted = lambda: self.core.may_still_begin(record, attempt.endpoint_id)
        corroboration = Corroboration(self.pools, pool, exchange)
        call = HttpAttempt(self.core, record, attempt, exchange, corroboration, self._report_names)
        pool.send(exchange)
        return call

    def release(self, endpoint_id: int, record: RequestRecord, has_unconfirmed_attempt: bool = False) -> None:
        """Release everything that is reserved for a request, at any engine."""
        self.releases.start(
            record.client_request.call_id, UNCONFIRMED_END_ROUNDS if has_unconfirmed_attempt else 1
        )

    def cancel_release(self, record: RequestRecord) -> None:
        """Stop the releases of a request."""
        call_id = record.client_request.call_id
        self.releases.cancel(call_id)
        self.late_releases.cancel(call_id)

    def release_later(self, endpoint_id: int, record: RequestRecord) -> None:
        """Release what an engine may still reserve; the engine sent nothing about the attempt."""
        self.late_releases.start(endpoint_id, record.client_request.call_id)

    def reserve(self, endpoint_id: int, record: RequestRecord, attempt: Attempt) -> None:
        """Report that no reservation was made: the protocol has none."""
        self.core.reservation_answered(record, attempt, endpoint_id, False)

    def check_health(self, endpoint_id: int, done: Callable[[HealthCheckResult], None]) -> None:
        """Report that the check failed, after this call has returned: the protocol has no health checks."""
        asyncio.get_running_loop().call_soon(done, HealthCheckResult(endpoint_id, Status.ERROR, 0))

    def close_idle_connections(self, endpoint_id: int) -> None:
        """Close the idle connections to an endpoint."""
        if pool := self.pools.get(endpoint_id):
            pool.close_idle()

    async def close(self) -> None:
        """Wait for the pending releases, then close every connection."""
        await self.releases.wait_until_idle()
        self.releases.close()
        self.late_releases.close()
        await self.pools.close()

    def _make_probe(self, address: str) -> Exchange | None:
        """Return a request without effect that shows whether a connection works."""
        # An engine closes the connection after it rejects a request, so the probe needs a valid call id.
        return release_request(self._served_call_id, address) if self._served_call_id else None
