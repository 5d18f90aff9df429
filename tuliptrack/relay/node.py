"""One node on the platform's HTTP protocol: wiring, endpoint list, start and graceful shutdown."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
from collections.abc import Mapping
from typing import Any

import structlog

from tuliptrack.decisions.call_ids import may_run_again
from tuliptrack.decisions.concurrency_limit import ConcurrencyLimits
from tuliptrack.decisions.stream_idle import StreamLimits
from tuliptrack.interface import EndpointListUpdate, UpdateKind
from tuliptrack.node.core import Core
from tuliptrack.node.logs import lines_lost
from tuliptrack.node.request_reader import CoreLimits
from tuliptrack.node.request_state import RequestState
from tuliptrack.node.requests import RequestRecord
from tuliptrack.relay.config import RelayConfig
from tuliptrack.relay.discovery import MAX_CONNECTIONS, Discovery
from tuliptrack.relay.endpoint_directory import EndpointDirectory
from tuliptrack.relay.endpoint_entries import InvalidEndpointListError
from tuliptrack.relay.engine_client import HttpEngineClient
from tuliptrack.relay.engine_pools import EnginePools
from tuliptrack.relay.front import Front
from tuliptrack.relay.held_bytes import held_bytes
from tuliptrack.relay.memory_plan import MemoryPlan
from tuliptrack.relay.settings_reload import SettingsReload
from tuliptrack.relay.shutdown_schedule import ShutdownSchedule
from tuliptrack.rpc.http1 import HttpLimits
from tuliptrack.rpc.http1_client import ClientOptions
from tuliptrack.rpc.http1_pool import ConnectionBudget
from tuliptrack.rpc.listener import ACCEPTED_AT_ONCE
from tuliptrack.rpc.periodic import run_periodically
from tuliptrack.rpc.retry import retry_async

__all__ = ["RelayNode"]

log = structlog.get_logger("relay")
SWEEP_INTERVAL_S = 0.25
"""Interval between checks for idle connections."""
LISTEN_RETRY_S = 5.0
"""Time for which listening is retried if the address is not available yet."""
READY_WITHOUT_LIST_AFTER_S = 2.0
"""Time for which a node that knows no engines waits for a list before it reports that it is ready anyway."""
MAX_STREAM_IDLE_US = 4_700_000
"""Time after the last event of a stream at which the node ends it. A client may wait for 5 s after the
engine's write; the rest is for the event's way here, and for a node that is held up."""
RESERVED_DESCRIPTORS = 8 + ACCEPTED_AT_ONCE + MAX_CONNECTIONS
"""Number of descriptors that serve neither clients nor engines: log and standard streams (3), listener,
selector and its wake-up (2), the settings file, one that an import may need; connections accepted but not
handled yet; polls of the list."""
CLIENT_DESCRIPTOR_SHARE = 0.45
"""Maximum share of all descriptors for client connections."""
ENGINE_DESCRIPTOR_SHARE = 0.4
"""Maximum share of all descriptors for engine connections."""
MAX_BODY_BYTES = 262_144
"""Maximum size of the body of a request, set by the protocol."""
ENGINE_RECEIVE_BYTES = 262_144
"""Size of the kernel's receive buffer of a connection to an engine."""
MAX_HEAD_BYTES = 16_384
REQUEST_TIMEOUT_US = 2_500_000
CLIENT_IDLE_TIMEOUT_US = 30_000_000
DEFAULT_ENGINE_IDLE_TIMEOUT_US = 15_000_000
IDLE_MARGIN_US = 2_000_000
"""Time by which idle connections are closed before their engine would close them."""
ANSWER_LEAD_US = 20_000
"""Minimum time from the sending of an answer to the client's deadline."""


class RelayNode(Core):
    """One node; it serves from `start` to `stop`."""

    def __init__(self, config: RelayConfig) -> None:
        self.config = config
        available = config.max_descriptors - RESERVED_DESCRIPTORS
        max_clients = min(int(config.max_descriptors * CLIENT_DESCRIPTOR_SHARE), available // 2)
        max_engines = min(int(config.max_descriptors * ENGINE_DESCRIPTOR_SHARE), available - max_clients)
        super().__init__(
            config.settings,
            config.seed or random.getrandbits(63),
            config.name,
            CoreLimits(answer_lead_us=ANSWER_LEAD_US, streams=StreamLimits(max_idle_us=MAX_STREAM_IDLE_US)),
            ConcurrencyLimits(min(config.max_open_requests, max_clients), max_clients, 1),
        )
        self.memory = MemoryPlan.of(config.memory_bytes, max_clients, max_engines, MAX_BODY_BYTES)
        self.pools = _engine_pools(config, max_engines, self.memory)
        self.channels = self.engines = HttpEngineClient(self, self.pools, config.report_names)
        self.front = Front(self, _client_limits(max_clients, self.memory), self.memory)
        self.directory = EndpointDirectory(config.kinds, config.zones)
        self.source = Discovery(
            config.discovery_address,
            lambda: max(self.directory.revision, 0),
            lambda message, is_first: self.apply_list(message, is_new_agent=is_first),
            config.settings.drain_grace_us,
            lambda error: self.record_fault("endpoint list", error),
        )
        self._last_rejection = ""
        """The reason why the last list was rejected, kept so that a repeated reason is logged once."""
        self._last_update: tuple[UpdateKind, int] | None = None
        """Kind and version of the last list that was accepted."""
        self._sweeper: asyncio.Task[None] | None = None
        self._readiness_timer: asyncio.TimerHandle | None = None
        self._settings_reload = SettingsReload(self._apply_settings)

    async def start(self) -> str:
        """Serve; return the host:port that the node listens on.

        The node is ready once it listens and knows engines, from its settings or from a first list, or once
        it has waited for a list for `READY_WITHOUT_LIST_AFTER_S`.
        """
        self.apply_list(self.config.cached_list, is_cached=True)
        self.source.start()
        host, _, port = self.config.listen.rpartition(":")
        address = await retry_async(
            f"listening at {self.config.listen}",
            lambda: self.front.server.listen(host, int(port)),
            LISTEN_RETRY_S,
        )
        loop = asyncio.get_running_loop()
        self._sweeper = loop.create_task(self._sweep_regularly())
        if self.directory.addresses:
            self.front.is_ready = True
        else:
            self._readiness_timer = loop.call_later(READY_WITHOUT_LIST_AFTER_S, self._become_ready)
        log.info(
            "serving",
            address=address,
            name=self.config.name,
            pid=os.getpid(),
            sockets=self.config.max_descriptors,
            memory_mb=self.config.memory_bytes >> 20,
            servers=len(self.directory.addresses),
        )
        return address

    def apply_list(
        self, message: Mapping[str, Any], *, is_cached: bool = False, is_new_agent: bool = False
    ) -> bool:
        """Apply an endpoint list; see `EndpointDirectory.apply`.

        Returns:
            False if the list is older than the known one.

        Raises:
            InvalidEndpointListError: The list cannot be used. An unusable cached list does not raise, but
                counts as empty.
        """
        try:
            update = self.directory.apply(message, is_cached=is_cached, is_new_agent=is_new_agent)
        except InvalidEndpointListError as error:
            self._log_rejection(str(error))
            if not is_cached:
                raise
            update = EndpointListUpdate(UpdateKind.CACHED)
        if update is None:
            self._log_rejection(f"older than revision {self.directory.revision}")
            return False
        self._last_rejection = self._last_rejection if is_cached else ""
        self._become_ready()
        known, self._last_update = self._last_update, (update.kind, update.version)
        is_known = known == self._last_update and not is_new_agent
        is_empty_delta = update.kind is UpdateKind.DELTA and not update.endpoints
        if not is_known and not is_empty_delta:
            self._apply_update(update)
        return True

    def request_removed(self, record: RequestRecord) -> None:
        """Record a request that was removed from the table: it and its attempts are over."""
        # A rejection has told the client that a repeat is harmless.
        is_harmless = record.state is RequestState.REJECTED or may_run_again(
            self.class_of(record).idempotency,
            has_executed=record.executed_at_us > 0,
            is_disconnected=record.state is RequestState.DISCONNECTED,
        )
        self.front.call_ids.end(record.client_request.call_id, is_harmless)
        if record.state is RequestState.SERVED:
            self.channels.record_served(record)

    def counter_values(self) -> dict[str, int]:
        """Return the counters since the node's start."""
        connections = self.pools.connections
        return {
            **super().counter_values(),
            "connections_made": connections.made,
            "connections_silent": connections.silent,
            "open_requests": len(self.table.open),
            "log_lines_lost": lines_lost(),
            **held_bytes(self.front, self.pools),
        }

    def reload(self) -> None:
        """Read the settings file again and follow the discovery agent that it names.

        All other changes take effect with the next start, since the requests in flight were admitted under
        the current settings.
        """
        self._settings_reload.start()

    async def stop(self, grace_s: float, kill_after_s: float) -> None:
        """Shut down gracefully; SIGKILL follows no sooner than after `kill_after_s`.

        `ShutdownSchedule` says until when the node serves as usual: clients keep their connections, and
        during a rolling restart there may be no other node yet. Requests that arrive later are rejected, and
        each answer closes its connection. A connection without a request stays open until the kill is due,
        since a request may be on its way. `grace_s` bounds the time that the requests open after that may
        take to end; streams that cannot be resumed may take longer.
        """
        schedule = ShutdownSchedule.plan(self.settings.may_resume, kill_after_s, grace_s)
        stopped_at_us = self.now()
        log.info("stopping", open=len(self.table.open))
        self._become_ready()
        self.front.is_ready = False
        server = self.front.server
        server.on_grace_over = self.conclude_open_requests
        await self._sleep_until(stopped_at_us, schedule.reject_after_s)
        self.stopping = server.last = True
        if self.settings.may_resume:
            self.migrate_streams()
            await self._sleep_until(stopped_at_us, schedule.conclude_after_s)
            self.conclude_open_requests(stopped_at_us + int(schedule.excused_until_s * 1e6))
        await self._sleep_until(stopped_at_us, schedule.close_after_s)
        await server.stop(schedule.grace_s)
        self._settings_reload.close()
        await self.source.close()
        self.close()
        if self._sweeper:
            self._sweeper.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._sweeper
        await self.channels.close()
        log.info("counters", **self.counter_values())
        log.info("stopped", **{state.value: count for state, count in self.table.end_counts.items()})

    async def _sleep_until(self, started_at_us: int, after_s: float) -> None:
        await asyncio.sleep(max(started_at_us / 1e6 + after_s - self.now() / 1e6, 0.0))

    def _apply_update(self, update: EndpointListUpdate) -> None:
        # The router is updated first, so that it sends nothing to an endpoint whose connections are closed.
        self.dispatch(update)
        self.pools.update(self.directory.addresses)
        is_cached = update.kind is UpdateKind.CACHED
        log.info(
            "endpoint list applied",
            kind=update.kind.value,
            version=update.version,
            servers=len(self.directory.addresses),
            changed=[]
            if is_cached
            else [f"{endpoint.state.value}:{endpoint.id % 1_000_000}" for endpoint in update.endpoints],
        )

    def _apply_settings(self, config: RelayConfig) -> None:
        self.source.switch_to(config.discovery_address)

    def _become_ready(self) -> None:
        """If the node still waits for its first list, stop waiting and report that the node is ready."""
        if self._readiness_timer:
            self._readiness_timer.cancel()
            self._readiness_timer, self.front.is_ready = None, True

    def _log_rejection(self, reason: str) -> None:
        if reason != self._last_rejection:
            self._last_rejection = reason
            log.warning("endpoint list rejected", reason=reason)

    async def _sweep_regularly(self) -> None:
        await run_periodically("sweep", SWEEP_INTERVAL_S, self.pools.sweep, self.record_fault)


def _engine_pools(config: RelayConfig, max_connections: int, memory: MemoryPlan) -> EnginePools:
    idle_timeout_us = config.engine_idle_timeout_us or DEFAULT_ENGINE_IDLE_TIMEOUT_US
    options = ClientOptions(
        connect_timeout=config.settings.connect_timeout_us,
        idle=max(idle_timeout_us - IDLE_MARGIN_US, idle_timeout_us // 2),
        receive_bytes=ENGINE_RECEIVE_BYTES,
        write_bytes=memory.engine_write,
    )
    return EnginePools(options, ConnectionBudget(max_connections))


def _client_limits(max_connections: int, memory: MemoryPlan) -> HttpLimits:
    return HttpLimits(
        header_bytes=MAX_HEAD_BYTES,
        body_bytes=MAX_BODY_BYTES,
        pending_high=memory.client_write,
        request_timeout=REQUEST_TIMEOUT_US,
        first_within=REQUEST_TIMEOUT_US,
        idle=CLIENT_IDLE_TIMEOUT_US,
        connections=max_connections,
    )
