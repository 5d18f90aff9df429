"""The gRPC node: assembles its parts, runs its life cycle, and extends the core.

It extends the core (`node/core.py`) with fronts and engines on gRPC, the source of the endpoint list, a
router for each model, token budgets and bills, the account of cross-zone transfers, and gossip with its
peers. Each of these is a module of its own; this one connects them.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import secrets
from dataclasses import replace

import structlog

from tuliptrack import interface as io
from tuliptrack.config.node import EngineOptions, NodeConfig, NodeLimits
from tuliptrack.decisions.concurrency_limit import ByteBudget, ConcurrencyLimits
from tuliptrack.decisions.model_catalog import Model
from tuliptrack.decisions.stream_idle import StreamLimits
from tuliptrack.fronts import health, reflection
from tuliptrack.fronts.installed import FRONTS, LISTENERS
from tuliptrack.fronts.port import ClientRequest
from tuliptrack.node.admission import AdmissionDecision, RouterChoice
from tuliptrack.node.billing import Billing
from tuliptrack.node.core import Core
from tuliptrack.node.cross_zone_account import CrossZoneAccount
from tuliptrack.node.endpoint_list_cache import EndpointListCache
from tuliptrack.node.engine_channels import EngineChannels
from tuliptrack.node.grpc_engine_client import GrpcEngineClient
from tuliptrack.node.model_routers import ModelRouters
from tuliptrack.node.peer_gossip import PeerGossip
from tuliptrack.node.port import AttemptResult
from tuliptrack.node.request_reader import CoreLimits
from tuliptrack.node.requests import Attempt, RequestRecord
from tuliptrack.node.transfer_accounting import TransferAccounting
from tuliptrack.node.zone_coverage import ZoneCoverage
from tuliptrack.proto import fleet_pb2
from tuliptrack.rpc.clock import now_us, wall_us
from tuliptrack.rpc.core import Limits
from tuliptrack.rpc.periodic import run_periodically
from tuliptrack.rpc.server import Server
from tuliptrack.sources.endpoint_list import (
    EndpointList,
    EndpointListSource,
    InvalidListError,
    ListedUpdate,
    load_cache,
)
from tuliptrack.sources.feed import FeedSource
from tuliptrack.sources.file import FileSource

__all__ = ["Node"]

log = structlog.get_logger("node")

MAX_LOGGED_ENTRIES = 5
"""Maximum number of entries left out of one endpoint list that are logged with their reasons."""
SWEEP_INTERVAL_S = 0.25
"""Interval between checks for silent streams, stalled clients and idle connections."""


class Node(Core):
    """One node, which serves between `start` and `stop`."""

    def __init__(self, config: NodeConfig, source: EndpointListSource | None = None) -> None:
        """Assemble a node; nothing is opened or connected yet.

        Args:
            config: All settings.
            source: The source of the endpoint list; None: as configured.
        """
        self.config = config
        # Nodes share wall time. The offset from the node's clock to wall time is taken once, so that setting
        # the clock later has no effect.
        settings = replace(config.settings, epoch_offset_us=wall_us() - now_us())
        seed = config.seed or secrets.randbits(63)
        super().__init__(
            settings,
            seed,
            secrets.token_hex(6),
            _core_limits(config.limits, config.engines),
            _concurrency_limits(config.limits),
        )
        self._connect_engines(seed)
        self._add_fronts()
        self._add_accounts()
        self.endpoint_list = EndpointList(config.kinds)
        self.list_cache = EndpointListCache(config.source.cache, lambda: self.endpoint_list.to_message())
        self.source = source if source is not None else self._configured_source()
        self.gossip = PeerGossip(config.peers, config.settings.replica_index, self.channels.options)
        self.action_handlers[io.SendGossip] = self.gossip.send
        self._sweeper: asyncio.Task[None] | None = None
        self._interval_closed_at_us = 0

    def _connect_engines(self, seed: int) -> None:
        self.channels = EngineChannels(self.config.engines, self.config.limits.message_bytes)
        self.engines = GrpcEngineClient(self, self.channels)
        self.model_routers = ModelRouters(self.settings, seed, self.router, self.dispatch)
        self.models = self.model_routers.catalog

    def _add_fronts(self) -> None:
        limits = self.config.limits
        self.bodies = ByteBudget(limits.body_bytes)
        self.server = Server(_server_limits(limits), limits.connections, self.bodies)
        self.server.overload_check = self.overload
        listeners = [create(self, self.config, self.bodies) for create in LISTENERS]
        self.listeners = [listener for listener in listeners if listener]
        self.health: health.HealthService

    def _add_accounts(self) -> None:
        zones = self.config.zones
        self.billing = Billing(self.config.billing, self.settings, self.instance, self.now())
        self.cross_zone_account = CrossZoneAccount(
            zones.names, zones.report, zones.report_bytes, self.settings.replica_index
        )
        self.transfers = TransferAccounting(self.settings, self.cross_zone_account, self.channels)
        self.zone_coverage = ZoneCoverage(
            {self.settings.zone, *range(len(zones.names))}, self.cross_zone_account.zone_name
        )

    def _configured_source(self) -> EndpointListSource:
        options = self.config.source
        if not options.feed:
            return FileSource(options.file, options.poll)
        return FeedSource(options.feed, str(self.settings.replica_index), self.config.engines.connect_timeout)

    # Life cycle.

    async def start(self) -> str:
        """Start serving; return host:port of the gRPC server.

        Raises:
            LedgerError: The ledger can't be opened.
            OSError: An address can't be listened on.
        """
        cached_list = self._load_cached_list()
        await self.billing.open(self.now())
        self.handle_list(cached_list, io.UpdateKind.CACHED)
        self.source.start(self.handle_list)
        for install in FRONTS:
            install(self.server, self, self.config)
        self.gossip.install(self.server, self._handle_gossip)
        self.health = health.install(self.server)
        reflection.install(self.server)
        host, _, port = self.config.listen.rpartition(":")
        address = await self.server.listen(host, int(port))
        for listener in self.listeners:
            log.info("serving", address=await listener.listen(), form=listener.form)
        self.health.set(True)
        self._sweeper = asyncio.get_running_loop().create_task(self._sweep())
        log.info("serving", address=address, instance=self.instance, pid=os.getpid())
        return address

    def _load_cached_list(self) -> fleet_pb2.ServerList:
        try:
            return load_cache(self.config.source.cache)
        except InvalidListError as error:
            log.warning("cached endpoint list rejected", reason=str(error))
            return fleet_pb2.ServerList()

    async def stop(self, grace: float | None = None) -> None:
        """Drain, then end the requests that are still open, and write pending data.

        Args:
            grace: Seconds that open requests have to finish; None: as configured.
        """
        self.health.set(False)
        grace_s = self.config.shutdown_grace / 1e6 if grace is None else grace
        self.server.on_grace_over = self.conclude_open_requests
        self.stopping = True
        listeners = (listener.stop(grace_s, self.conclude_open_requests) for listener in self.listeners)
        await asyncio.gather(self.server.stop(grace_s), *listeners)
        await self.source.close()
        self.close()
        await asyncio.sleep(0)  # Lets the event loop send the releases of reserved KV states.
        await self.channels.close()
        await self.gossip.close()
        if self._sweeper:
            self._sweeper.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._sweeper
        await self.list_cache.close()
        self.cross_zone_account.write(self.cross_zone_account.close_interval())
        await self.billing.close()
        log.info("stopped", **{state.value: count for state, count in self.table.end_counts.items()})

    def end_grace_period(self) -> None:
        """End the grace period of a running `stop`, for the requests of all fronts."""
        self.server.end_grace_period()
        self.conclude_open_requests()

    async def _sweep(self) -> None:
        """Run the periodic checks that need no timer of their own, until cancelled."""
        await run_periodically("sweep", SWEEP_INTERVAL_S, self._sweep_once, self.record_fault)

    async def _sweep_once(self) -> None:
        self.channels.close_idle()
        now = now_us()
        if now - self._interval_closed_at_us > self.config.zones.report_interval:
            self._interval_closed_at_us = now
            if interval := self.cross_zone_account.close_interval():
                await asyncio.to_thread(self.cross_zone_account.write, interval)

    def serving(self) -> bool:
        """Return whether requests are accepted: the node has started and is not draining."""
        return bool(self.server.address) and not self.server.stopping

    # Endpoint list and gossip.

    def handle_list(self, message: fleet_pb2.ServerList, kind: io.UpdateKind | None = None) -> None:
        """Apply an endpoint list or a change of the list; an invalid message is logged and ignored.

        Args:
            message: The list or the change, as its source sent it.
            kind: The kind of update, if the message itself doesn't give it.
        """
        previous_ids = set(self.endpoint_list.entries)
        try:
            listing: ListedUpdate = self.endpoint_list.apply(message, self.now(), kind)
        except InvalidListError as error:
            log.warning("endpoint list rejected", reason=str(error))
            return
        if listing.left_out:
            reasons = listing.left_out[:MAX_LOGGED_ENTRIES]
            log.warning("endpoint list entries left out", count=len(listing.left_out), reasons=reasons)
        # The routers must stop sending to an endpoint before its channel is retired.
        labels = {entry.id: Model(entry.model, entry.model_version) for entry in listing.entries}
        self.model_routers.update(listing.update, labels)
        self.channels.update(listing.addresses, previous_ids - set(self.endpoint_list.entries))
        if listing.update.kind in (io.UpdateKind.FULL, io.UpdateKind.DELTA):
            self._handle_applied(listing.update)

    def _handle_applied(self, update: io.EndpointListUpdate) -> None:
        log.info(
            "endpoint list applied",
            kind=update.kind.value,
            version=update.version,
            endpoints=len(self.endpoint_list.entries),
        )
        self.list_cache.save()
        if self.settings.zone_budgets:
            routers = self.model_routers.routers.values()
            self.zone_coverage.check(endpoint for router in routers for endpoint in router.endpoints.values())

    def _handle_gossip(self, event: io.GossipReceived) -> None:
        for router in self.model_routers.routers.values():
            self.dispatch(event, router)

    # Hooks that the core calls.

    def choose_router(self, client_request: ClientRequest) -> RouterChoice:
        """Return the model and router of a request, and the reason if the request is rejected.

        Raises:
            InvalidRequestError: The request names a model that isn't known here.
        """
        choice = self.model_routers.choose_router(client_request)
        reason = choice.rejection_reason or self.billing.rejection_reason()
        return replace(choice, rejection_reason=reason)

    def admit(self, now_us: int, record: RequestRecord, class_index: int) -> AdmissionDecision:
        """Check a request against its tenant's budgets."""
        verdict = self.billing.check_budget(now_us, record, class_index)
        if verdict.is_over and record.client_request.request_class in self.config.billing.rejecting_classes:
            reason = f"the tenant's token budget of {verdict.window_us / 1e6:g} s is used up"
            # Unlike other retry delays, this one is not capped: an earlier retry would be rejected too.
            return AdmissionDecision(reason, verdict.retry_after_us or 0, is_over_budget=True)
        record.is_billed = True
        self.billing.request_admitted(now_us, record, class_index, verdict)
        return AdmissionDecision(is_over_budget=verdict.is_over)

    def stream_started(self, record: RequestRecord) -> None:
        """Start billing a stream."""
        self.billing.stream_started(record)

    def request_removed(self, record: RequestRecord) -> None:
        """Settle the budgets of a request and bill it."""
        if record.is_billed:
            record.is_billed = False
            self.billing.request_ended(self.now(), record)

    def attempt_sent(self, record: RequestRecord, attempt: Attempt, action: io.SendAttempt) -> None:
        """Start counting the bytes that an attempt transfers between zones."""
        self.transfers.attempt_sent(record, attempt, action)

    def cross_zone_bytes(
        self, record: RequestRecord, attempt: Attempt, attempt_result: AttemptResult
    ) -> float:
        """Return the bytes that an attempt has transferred between zones."""
        return self.transfers.attempt_ended(record, attempt, attempt_result.detail)


def _core_limits(limits: NodeLimits, engines: EngineOptions) -> CoreLimits:
    return CoreLimits(
        limits.tokens,
        limits.bytes_per_token,
        limits.answer_ahead,
        StreamLimits(max_idle_us=engines.token_silence, max_client_stall_us=limits.client_stall),
    )


def _concurrency_limits(limits: NodeLimits) -> ConcurrencyLimits:
    return ConcurrencyLimits(limits.open_requests, limits.tenant_requests, limits.connection_requests)


def _server_limits(limits: NodeLimits) -> Limits:
    return Limits(
        max_streams=limits.streams_per_connection,
        max_header_bytes=limits.header_bytes,
        max_message_bytes=limits.message_bytes,
        pending_high=limits.answer_bytes,
        pending_low=limits.answer_bytes // 4,
    )
