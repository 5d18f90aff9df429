"""The running node that speaks gRPC: the core with its fronts, engines and server lists, models, budgets and
zones."""

from __future__ import annotations

import asyncio
import contextlib
import os
import secrets
from collections.abc import Callable
from dataclasses import replace

import structlog

from tuliptrack import interface as io
from tuliptrack.config.node import NodeConfig
from tuliptrack.decisions.concurrency_limit import ByteBudget, ConcurrencyLimits
from tuliptrack.decisions.model_catalog import MAX_MODELS, Model, ModelCatalog, NotServedError
from tuliptrack.fronts import discovery
from tuliptrack.fronts.installed import FRONTS, LISTENERS
from tuliptrack.fronts.port import ClientRequest, InvalidRequestError
from tuliptrack.node.billing import Billing
from tuliptrack.node.core import Core
from tuliptrack.node.cross_zone_account import CrossZoneAccount, Transfer
from tuliptrack.node.engine_channels import EngineChannels
from tuliptrack.node.grpc_engine_client import ENGINE, GrpcCall, GrpcEngineClient
from tuliptrack.node.port import AttemptResult
from tuliptrack.node.request_reader import CoreLimits
from tuliptrack.node.requests import Attempt, RequestRecord
from tuliptrack.proto import engine_pb2, fleet_pb2
from tuliptrack.routing.router import Router
from tuliptrack.rpc.channel import Channel, ClientCall, End, How
from tuliptrack.rpc.clock import now_us, wall_us
from tuliptrack.rpc.core import Limits
from tuliptrack.rpc.server import Server, ServerCall, unary_request
from tuliptrack.rpc.status import Code, Status
from tuliptrack.sources.endpoint_list import (
    EndpointList,
    EndpointListSource,
    InvalidListError,
    ListedUpdate,
    load_cache,
    save_cache,
)
from tuliptrack.sources.feed import FeedSource
from tuliptrack.sources.file import FileSource

__all__ = ["Node"]

log = structlog.get_logger("node")

_SHORT_CALL = 1_000_000  # microseconds for a word to a peer, which waits in no queue
_USAGE_CALL = 10_000_000  # microseconds for Usage, for which nobody waits
_SWEEP_S = 0.25  # seconds between looks at silent streams, stalled clients and idle connections


class Node(Core):
    """One node. `start`, then `stop`; between them it serves."""

    def __init__(self, config: NodeConfig, source: EndpointListSource | None = None) -> None:
        self.config = config
        # All nodes share wall time: its offset is taken once, so that later jumps of the clock change
        # nothing.
        settings = replace(config.settings, epoch_offset_us=wall_us() - now_us())
        limits = config.limits
        self._seed = config.seed or secrets.randbits(63)
        super().__init__(
            settings,
            self._seed,
            secrets.token_hex(6),
            CoreLimits(
                limits.tokens,
                limits.bytes_per_token,
                limits.answer_ahead,
                limits.client_stall,
                config.engines.token_silence,
            ),
            ConcurrencyLimits(limits.open_requests, limits.tenant_requests, limits.connection_requests),
        )
        self.routers = {Model(): self.router}
        self.models = ModelCatalog(config.settings.roles)
        self.bodies = ByteBudget(limits.body_bytes)
        self.channels = EngineChannels(config.engines, limits.message_bytes)
        self.engines = GrpcEngineClient(self, self.channels)
        self.server = Server(
            Limits(
                max_streams=limits.streams_per_connection,
                max_header_bytes=limits.header_bytes,
                max_message_bytes=limits.message_bytes,
                pending_high=limits.answer_bytes,
                pending_low=limits.answer_bytes // 4,
            ),
            limits.connections,
            self.bodies,
        )
        self.server.outlook = self.overload
        self.listeners = [made for make in LISTENERS if (made := make(self, config, self.bodies))]
        self.roster = EndpointList(config.kinds)
        self.source = source if source is not None else self._source()
        self.peers = [Channel(address, self.channels.options) for address in config.peers]
        self._sweeper: asyncio.Task[None] | None = None
        self._saver: asyncio.Task[None] | None = None
        self._save_again = False
        self.bills = Billing(config.billing, self.settings, self.instance, self.now())
        zones = config.zones
        self.account = CrossZoneAccount(
            zones.names, zones.report, zones.report_bytes, config.settings.replica_index
        )
        self._booked_at = 0
        self._lacking: set[tuple[str, str]] = set()
        self.action_handlers[io.SendGossip] = self._tell_peers

    def _source(self) -> EndpointListSource:
        options = self.config.source
        if options.feed:
            return FeedSource(
                options.feed, str(self.settings.replica_index), self.config.engines.connect_timeout
            )
        return FileSource(options.file, options.poll)

    # -- life

    async def start(self) -> str:
        """Serve; returns host:port."""
        kept = fleet_pb2.ServerList()
        try:
            kept = load_cache(self.config.source.cache)
        except InvalidListError as error:
            log.warning("kept server list not taken", reason=str(error))
        await self.bills.open(self.now())
        self.listed(kept, io.UpdateKind.CACHED)
        self.source.start(self.listed)
        for install in FRONTS:
            install(self.server, self, self.config)
        self._install_peers()
        self.health = discovery.install(self.server)
        host, _, port = self.config.listen.rpartition(":")
        address = await self.server.listen(host, int(port))
        for listener in self.listeners:
            log.info("serving", address=await listener.listen(), form=listener.form)
        self.health.set(True)
        self._sweeper = asyncio.get_running_loop().create_task(self._sweep())
        log.info("serving", address=address, instance=self.instance, pid=os.getpid())
        return address

    async def stop(self, grace: float | None = None) -> None:
        """Drain, then refuse, then end: what is open has `grace` seconds (None: the settings')."""
        self.health.set(False)
        grace = self.config.shutdown_grace / 1e6 if grace is None else grace
        self.server.on_cut = self.conclude_open_requests
        self.stopping = True
        await asyncio.gather(self.server.stop(grace), *(listener.stop(grace) for listener in self.listeners))
        await self.source.close()
        self.close()
        await asyncio.sleep(0)  # Releases of what was held go out with this turn of the loop.
        await self.channels.close()
        for peer in self.peers:
            await peer.close()
        if self._sweeper:
            self._sweeper.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._sweeper
        if (
            self._saver
        ):  # Its thread can't be broken off: it writes to its end, as a file that is half made helps nobody.
            await self._saver
        self.account.write(self.account.book())
        await self.bills.close()
        log.info("stopped", **{state.value: n for state, n in self.table.end_counts.items()})

    # -- events in

    def listed(self, message: fleet_pb2.ServerList, kind: io.UpdateKind | None = None) -> None:
        """A server list has come."""
        before = set(self.roster.held)
        try:
            listing: ListedUpdate = self.roster.take(message, self.now(), kind)
        except InvalidListError as error:
            log.warning("server list not taken", reason=str(error))
            return
        # The routers go first: what they stop sending to may then be let go.
        self._tell_routers(listing.change, {e.id: Model(e.model, e.model_version) for e in message.servers})
        self.channels.listed(listing.addresses, before - set(self.roster.held))
        if listing.change.kind in (io.UpdateKind.FULL, io.UpdateKind.DELTA):
            log.info(
                "server list",
                kind=listing.change.kind.value,
                version=listing.change.version,
                servers=len(self.roster.held),
            )
            if self.config.source.cache:
                self._keep()
            if self.settings.zone_budgets:
                self._look_at_zones()

    def _tell_routers(self, change: io.EndpointListUpdate, labels: dict[int, Model]) -> None:
        if change.kind is io.UpdateKind.FAILED:
            self.dispatch(change)
            return
        changes = self.models.split(change, labels)
        if change.kind is io.UpdateKind.CACHED:
            changes.setdefault(Model(), io.EndpointListUpdate(change.kind, change.version))
        listed = set(self.models.listed())
        for model, part in changes.items():
            if model not in self.routers:
                self._seed += 1
                self.routers[model] = Router(self.settings, self._seed, self.router)
            self.dispatch(part, self.routers[model])
        for model in self.routers.keys() - listed - {Model()}:
            if not self.routers[model].in_flight:  # Else it is looked at again with the next list.
                del self.routers[model]
        if self.models.left_out:
            log.warning("engines of too many models", left_out=len(self.models.left_out), most=MAX_MODELS)

    def _look_at_zones(self) -> None:
        """Tell the operators of zones that lack readers or writers: each request there must cross."""
        seats = [
            s
            for router in self.routers.values()
            for s in router.endpoints.values()
            if s.info.state is io.EndpointState.READY
        ]
        zones = {s.info.zone for s in seats} | {self.settings.zone, *range(len(self.config.zones.names))}
        lacking = {
            (self.account.name(zone), role.value)
            for zone in zones
            for role in (io.Role.PREFILL, io.Role.DECODE)
            if not any(s.info.zone == zone and s.role in (role, io.Role.PREFILL_AND_DECODE) for s in seats)
        }
        for zone, role in sorted(lacking - self._lacking):
            log.warning("zone lacks a role", zone=zone, role=role)
        self._lacking = lacking

    def _keep(self) -> None:
        """Keep the list on disk, one write at a time, off the loop."""
        self._save_again = True
        if self._saver is None or self._saver.done():
            self._saver = asyncio.get_running_loop().create_task(self._save())

    async def _save(self) -> None:
        while self._save_again:
            self._save_again = False
            try:
                await asyncio.to_thread(save_cache, self.config.source.cache, self.roster.whole())
            except OSError as error:
                log.warning("server list not kept", reason=str(error))

    def choose(self, ask: ClientRequest) -> tuple[Model, Router, str]:
        model, reason = Model(), ""
        try:
            model = self.models.choose(
                ask.model, ask.model_version, f"{ask.tenant}\0{ask.session or ask.prompt}"
            )
        except NotServedError as error:
            if not error.known:
                raise InvalidRequestError(error.field, error.reason, is_unknown=True) from None
            reason = error.reason
        return model, self.routers.get(model, self.router), reason or self.bills.refusal()

    def admit(self, now: int, record: RequestRecord, cls: int) -> tuple[str, int, bool]:
        verdict = self.bills.ask(now, record, cls)
        if verdict.over and record.client_request.request_class in self.config.billing.refuse_over:
            reason = f"the tenant's token budget of {verdict.window / 1e6:g} s is used up"
            return reason, max(verdict.wait, 0), True  # the true time, however long
        record.is_billed = True
        self.bills.let_in(now, record, cls, verdict)
        return "", 0, verdict.over

    def serving(self) -> bool:
        return bool(self.server.address) and not self.server.stopping

    # -- actions out

    def stream_began(self, record: RequestRecord) -> None:
        self.bills.began(record)

    def request_removed(self, record: RequestRecord) -> None:
        if record.is_billed:
            record.is_billed = False
            self.bills.ended(self.now(), record)

    def attempt_sent(self, record: RequestRecord, attempt: Attempt, action: io.SendAttempt) -> None:
        if action.cross_zone_cause and isinstance(attempt.call, GrpcCall):
            attempt.cross_zone_cause = action.cross_zone_cause
            self._count(
                record, attempt, attempt.call.call, record.router.endpoints[action.endpoint_id].info.zone
            )

    def cross_zone_bytes(self, record: RequestRecord, attempt: Attempt, ended: AttemptResult) -> float:
        for move in attempt.transfers:
            move.over = True
        if isinstance(ended.detail, End):
            self._state_moved(record, attempt, ended.detail)
        return float(sum(m.size() for m in attempt.transfers))

    def _count(self, record: RequestRecord, attempt: Attempt, call: ClientCall, zone: int) -> None:
        """Book what this attempt moves between zones, as it moves."""
        own, tokens = self.settings.zone, record.client_request.prompt_tokens

        def move(stage: str, source: int, target: int, size: Callable[[], int], count: float) -> None:
            if source != target:
                assert attempt.cross_zone_cause
                attempt.transfers.append(
                    self.account.take(
                        Transfer(
                            record.client_request.request_class,
                            record.client_request.tenant,
                            stage,
                            source,
                            target,
                            attempt.cross_zone_cause,
                            size,
                            count,
                        )
                    )
                )

        move("prompt", own, zone, lambda: call.traffic.sent, tokens)
        move("answer", zone, own, lambda: call.traffic.received, 0.0)
        if record.kv_state and not attempt.is_prefill:
            reader = record.router.endpoints[record.kv_state.endpoint_id].info.zone
            move("state", reader, zone, lambda: attempt.state_bytes, tokens)

    def _state_moved(self, record: RequestRecord, attempt: Attempt, end: End) -> None:
        """How much of a state has crossed: the writer's word, else the reader's is asked for."""
        state = next((m for m in attempt.transfers if m.stage == "state"), None)
        if state is None:
            return
        told = next((v for k, v in end.metadata if k == "tuliptrack-state-bytes"), "")
        if isinstance(told, str) and told.isdigit():
            self._booked_state(record, attempt, int(told))
            return
        channel = self.channels.channel(attempt.state_endpoint_id)
        if channel is None or end.how is How.CONNECT:
            return
        got: list[bytes] = []
        state.over = False
        # The reader tells what it has sent of this request's states in all, also what is booked already.
        before = record.state_bytes_moved.get(attempt.state_endpoint_id, 0)

        def ended(end: End) -> None:
            state.over = True
            if end.status.code is Code.OK and got:
                total = engine_pb2.UsageResponse.FromString(got[0]).state_bytes
                self._booked_state(record, attempt, max(total - before, 0))
            else:  # Its reader is gone too: all of it is assumed to have crossed.
                self._booked_state(
                    record, attempt, int(self.settings.state_bytes * record.client_request.prompt_tokens)
                )

        request = engine_pb2.UsageRequest(request_id=record.name)
        channel.call(
            ENGINE + "Usage",
            message=request.SerializeToString(),
            timeout=_USAGE_CALL,
            on_message=got.append,
            on_end=ended,
        )

    def _booked_state(self, record: RequestRecord, attempt: Attempt, size: int) -> None:
        attempt.state_bytes = size
        record.state_bytes_moved[attempt.state_endpoint_id] = (
            record.state_bytes_moved.get(attempt.state_endpoint_id, 0) + size
        )

    def _tell_peers(self, action: io.SendGossip) -> None:
        message = fleet_pb2.PeerBytes(
            sender=self.settings.replica_index, data=action.data
        ).SerializeToString()
        for number, channel in enumerate(self.peers):
            if number != self.settings.replica_index and action.peer in (None, number):
                channel.call("/tuliptrack.v1.Peers/Tell", message=message, timeout=_SHORT_CALL)

    def _install_peers(self) -> None:
        def told(call: ServerCall, message: fleet_pb2.PeerBytes) -> None:
            call.send(b"")
            call.end(Status(Code.OK))
            for router in self.routers.values():
                self.dispatch(io.GossipReceived(message.sender, message.data), router)

        if self.peers:
            self.server.add("tuliptrack.v1.Peers", "Tell", unary_request(fleet_pb2.PeerBytes, told))

    # -- sweeps

    async def _sweep(self) -> None:
        """Look at times that need no timer of their own, now and then."""
        while True:
            await asyncio.sleep(_SWEEP_S)
            now = now_us()
            if now - self._booked_at > self.config.zones.report_every:
                self._booked_at = now
                if rows := self.account.book():
                    await asyncio.to_thread(self.account.write, rows)
            self.sweep()
            self.channels.sweep()
