"""Engines on the platform's HTTP: the core's attempts as requests, and what comes of them."""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import cast

import structlog

from tuliptrack import interface as io
from tuliptrack.fronts.port import FinishReason, RawResponseWriter
from tuliptrack.node.attempt_state import Delivery
from tuliptrack.node.core import Core
from tuliptrack.node.port import AttemptResult
from tuliptrack.node.requests import Attempt, KvStateLocation, RequestRecord
from tuliptrack.relay.corroboration import Corroboration
from tuliptrack.relay.engine_pools import EnginePools
from tuliptrack.relay.kv_state_releases import UNCONFIRMED_END_ROUNDS, KvStateReleases, release_request
from tuliptrack.relay.late_releases import LateReleases
from tuliptrack.rpc.h1 import Answer, Fields
from tuliptrack.rpc.http1_exchange import Exchange, How
from tuliptrack.rpc.http1_pool import Pool

__all__ = ["HttpEngineClient", "Inbound", "load_of"]

log = structlog.get_logger("engines")
_REPORT = "x-load-report"
_REJECTED = "x-rejected"
_MOST_EVENT = 65_536  # bytes of one event of a stream; past it the stream is spoilt
_MOST_WORD = 65_536  # bytes of an answer that is no stream
_STATUS = {
    How.CONNECT: io.Status.CONNECT_FAILED,
    How.NO_ROOM: io.Status.ABANDONED,
    How.RESET: io.Status.RESET,
}


@dataclass(slots=True)
class Inbound:
    """A client's request as it came, which engines get unchanged."""

    method: str
    target: str
    body: bytes
    """Empty once the answer has begun, as no engine needs it any more."""
    fields: Fields
    """What of its head goes on to engines."""


def load_of(text: str | bytes, names: tuple[str, ...]) -> tuple[float, ...]:
    """The values of a load report, in this order; nothing where it can't be read. One that is missing counts
    as 0."""
    try:
        told = json.loads(text)
    except (ValueError, RecursionError):
        return ()
    if not isinstance(told, Mapping):
        return ()
    values = tuple(told.get(name, 0.0) for name in names)
    if any(
        isinstance(v, bool) or not isinstance(v, int | float) or not math.isfinite(v) or not 0 <= v < 1e9
        for v in values
    ):
        return ()
    return tuple(float(v) for v in values)


class _Attempt:
    """One attempt that is out; see `node.port.Call`."""

    __slots__ = (
        "_arrival",
        "_body",
        "_load",
        "_over",
        "_status",
        "_whole",
        "attempt",
        "engines",
        "exchange",
        "record",
    )

    def __init__(
        self,
        engines: HttpEngineClient,
        record: RequestRecord,
        attempt: Attempt,
        exchange: Exchange,
        pool: Pool,
    ) -> None:
        self.engines, self.record, self.attempt, self.exchange = engines, record, attempt, exchange
        self._arrival = Corroboration(engines.pools, pool, exchange)
        self._body = bytearray()
        self._load: tuple[float, ...] = ()
        self._whole = False
        """The stream has said that it is complete."""
        self._status, self._over = io.Status.CANCELLED, False
        exchange.on_head, exchange.on_data, exchange.on_end = self._head, self._data, self._end

    def cancel(self, status: io.Status) -> None:
        self._status = status
        self.exchange.cancel()

    def delivery(self) -> Delivery:
        if not self.exchange.sent:
            return Delivery.NOT_SENT
        if self.exchange.heard:
            return Delivery.CONFIRMED
        return Delivery.CORROBORATED if self._arrival.is_corroborated() else Delivery.POSSIBLE

    def confirm_arrival(self) -> None:
        if not self.exchange.heard:
            self._arrival.seek()

    def mark_doubtful(self) -> None:
        self.exchange.doubt()

    def pause(self) -> None:
        self.exchange.pause()

    def resume(self) -> None:
        self.exchange.resume()

    @property
    def _streams(self) -> bool:
        return self.exchange.status == 200 and not self.attempt.is_prefill

    def _head(self, head: Answer) -> None:
        for name, value in head.fields:
            if name == _REPORT:
                self._load = load_of(value, self.engines.report_names)
            elif name == _REJECTED and value.strip() == "1":
                self._over = True

    def _data(self, data: bytes) -> None:
        self._body += data
        if self._streams:
            self._events()
        elif len(self._body) > _MOST_WORD:
            self._spoilt("an answer that is too long")

    def _spoilt(self, reason: str) -> None:
        log.warning("engine fault", request=self.record.id, server=self.attempt.endpoint_id, reason=reason)
        self.exchange.spoilt = True
        self.cancel(io.Status.RESET)

    def _events(self) -> None:
        """Pass on the events that have come whole."""
        end = self._body.rfind(b"\n\n") + 2
        if end < 2:
            if len(self._body) > _MOST_EVENT:
                self._spoilt("an event without an end")
            return
        whole = bytes(self._body[:end])
        del self._body[:end]
        events = []
        for event in whole[:-2].split(b"\n\n"):
            if event.startswith(b":"):
                name, _, value = event[1:].decode("latin-1").partition(":")
                if name.strip().lower() == _REPORT:
                    self._load = load_of(value, self.engines.report_names) or self._load
            elif event.startswith(b"data:"):
                events.append(event)
                self._note(event[5:].strip())
            else:
                self._spoilt("something that is no event")
                return
        if not events or not self.engines.core.output_arrived(self.record, self.attempt):
            return
        cast(Inbound, self.record.client_request.payload).body = b""
        data = whole if len(events) == whole.count(b"\n\n") else b"\n\n".join(events) + b"\n\n"
        self.engines.core.output_forwarded(
            self.record, self.attempt, cast(RawResponseWriter, self.record.response).events(data)
        )

    def _note(self, text: bytes) -> None:
        """What the node itself makes of an event: the word that all has come, and the counts that come with
        the end."""
        if text == b"[DONE]":
            self._whole = True
        elif b'"usage"' in text:
            try:
                usage = json.loads(text)["usage"]
                kept = int(usage["prompt_tokens_details"]["cached_tokens"])
                self.record.cached_tokens = max(0, min(kept, self.record.client_request.prompt_tokens))
                self.record.next_index = int(usage["completion_tokens"])
            except (ValueError, TypeError, KeyError, RecursionError, OverflowError):
                pass  # It is for the client; the node does without.

    def _end(self, how: How, reason: str) -> None:
        self._arrival.close()
        self.engines.core.attempt_ended(self.record, self.attempt, self._ended(how, reason))

    def _ended(self, how: How, reason: str) -> AttemptResult:
        if how is How.GIVEN_UP and not self.exchange.sent:  # It never ran, and says nothing of its engine.
            late = self._status is io.Status.TIMEOUT
            return AttemptResult(
                io.Status.CONNECT_FAILED if late else io.Status.ABANDONED,
                "given up before it was sent",
                is_connection_only=late,
            )
        if how is How.GIVEN_UP:
            return self._broke(self._status, "given up")
        if how is not How.ANSWER:
            return self._broke(_STATUS[how], reason)
        status = self.exchange.status
        if self._over and status in (503, 504):
            return AttemptResult(
                io.Status.AT_CAPACITY, "turned away", load_report=self._load, is_confirmed=True
            )
        if self._over and status == 410:
            return AttemptResult(
                io.Status.AT_CAPACITY, "the state is gone", True, self._load, is_confirmed=True
            )
        if status == 202 and self.attempt.is_prefill:
            self.engines.core.prefill_finished(
                self.record, self.attempt, KvStateLocation(self.attempt.endpoint_id, "", ""), self._kept()
            )
            return AttemptResult(io.Status.OK, load_report=self._load, is_confirmed=True)
        if self._streams:
            if self._body or not self._whole:
                self.exchange.spoilt = True
                return self._broke(io.Status.RESET, "a stream that isn't whole")
            self.record.finish_reason = FinishReason.STOP
            return AttemptResult(io.Status.OK, load_report=self._load, is_confirmed=True)
        return AttemptResult(
            io.Status.ERROR,
            f"answered {status}",
            load_report=self._load,
            is_invalid_request=400 <= status < 500,
            is_confirmed=True,
        )

    def _broke(self, status: io.Status, reason: str) -> AttemptResult:
        """A stream that was spoilt has run: the state that it came for has gone with it."""
        exchange = self.exchange
        return AttemptResult(
            status,
            reason,
            exchange.spoilt and not self.attempt.is_prefill,
            self._load,
            is_connection_only=exchange.spoilt or exchange.lone,
            is_confirmed=exchange.heard,
            is_corroborated=self._arrival.is_corroborated(),
        )

    def _kept(self) -> int:
        try:
            return int(json.loads(bytes(self._body))["cached_tokens"])
        except (ValueError, TypeError, KeyError, RecursionError, OverflowError):
            return 0


class HttpEngineClient:
    """See `node/port.py`. Bounds: the connections of `EnginePools`, the pending releases of `KvStateReleases`."""

    prefills_have_no_effect = False
    releases_are_global = True
    release_transit_us = 0  # the platform allows for it beyond the time that the settings name

    def __init__(self, core: Core, pools: EnginePools, report_names: tuple[str, ...]) -> None:
        self.core, self.pools, self.report_names = core, pools, report_names
        self.releases = KvStateReleases(pools, core.settings.release_within_us, core.counters)
        self.late_releases = LateReleases(pools, core.settings.release_within_us, core.counters)
        self._served_id = ""
        """A request that has been served: nothing is held for it, so its release has no effect."""
        pools.make_question = self._question

    def served(self, record: RequestRecord) -> None:
        """A request has been served and is over."""
        self._served_id = record.client_request.call_id

    def _question(self, address: str) -> Exchange | None:
        """What shows whether a connection works. An engine closes its connection after it has turned a
        request down, so a request without an id would not do."""
        return release_request(self._served_id, address) if self._served_id else None

    def is_reachable(self, server: int) -> bool:
        return server in self.pools

    # -- attempts

    def start(self, record: RequestRecord, attempt: Attempt, timeout: int) -> _Attempt:
        inbound, pool = (
            cast(Inbound, record.client_request.payload),
            self.pools.get_or_create(attempt.endpoint_id),
        )
        assert pool
        exchange = Exchange(inbound.method, inbound.target, [], inbound.body)
        exchange.validated, exchange.connect_by = True, attempt.connect_by_us
        deadline, address = self.core.now() + timeout, pool.address

        def say_what_is_left() -> None:
            left = max(deadline - self.core.now(), 1_000)
            exchange.fields = [
                ("host", address),
                ("x-call-id", record.client_request.call_id),
                ("x-budget", f"{left / 1e6:.3f}"),
                *inbound.fields,
            ]

        exchange.before_write = say_what_is_left
        exchange.wanted = lambda: self.core.may_still_begin(record, attempt.endpoint_id)
        made = _Attempt(self, record, attempt, exchange, pool)
        pool.send(exchange)
        return made

    # -- letting go

    def release(self, server: int, record: RequestRecord, unsure: bool = False) -> None:
        self.releases.start(record.client_request.call_id, UNCONFIRMED_END_ROUNDS if unsure else 1)

    def cancel_release(self, record: RequestRecord) -> None:
        call_id = record.client_request.call_id
        self.releases.cancel(call_id)
        self.late_releases.cancel(call_id)

    def release_later(self, server: int, record: RequestRecord) -> None:
        self.late_releases.start(server, record.client_request.call_id)

    # -- what this protocol has no word for

    def reserve(self, server: int, record: RequestRecord, attempt: Attempt) -> None:
        self.core.reservation_answered(record, attempt, server, False)

    def check_health(self, server: int, done: Callable[[io.HealthCheckResult], None]) -> None:
        asyncio.get_running_loop().call_soon(done, io.HealthCheckResult(server, io.Status.ERROR, 0))

    def close_idle_connections(self, server: int) -> None:
        if pool := self.pools.get(server):
            pool.close_idle()

    async def close(self) -> None:
        """Wait for what is still to be let go, then end every connection."""
        await self.releases.wait_until_idle()
        self.releases.close()
        self.late_releases.close()
        await self.pools.close()
