"""Clients on the platform's HTTP: a request's head becomes an `ClientRequest`, its end a status; an engine's
events pass through."""

from __future__ import annotations

import json
import math
import re

from tuliptrack.decisions.concurrency_limit import ByteBudget, rejection_text
from tuliptrack.fronts.port import (
    ClientRequest,
    Failure,
    FinishReason,
    InvalidRequestError,
    RequestHandle,
    Usage,
)
from tuliptrack.node.core import Core
from tuliptrack.relay.forwarded_request import ForwardedRequest
from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.h1 import Fields
from tuliptrack.rpc.http1 import HttpCall, HttpLimits, HttpServer, Refusal

__all__ = ["Front"]

_STATUS = {
    Failure.DEADLINE: 504,
    Failure.BROKEN: 502,
    Failure.MIGRATED: 502,
    Failure.LOST: 502,
    Failure.STALLED: 502,
    Failure.INVALID: 400,
}
_ID = re.compile(r"[A-Za-z0-9._~-]{1,128}")
# What a request's head says of one connection only (RFC 9110, section 7.6.1); what the node says anew, or has
# to read itself: an engine's events are looked at, so they may not come compressed.
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "proxy-authenticate",
        "proxy-authorization",
    }
)
_SAID_ANEW = frozenset({"host", "x-call-id", "x-budget", "content-length", "expect", "accept-encoding"})
_ONCE = ("x-call-id", "x-call-class", "x-caller", "x-budget", "x-call-info")
_LONGEST_S = 86_400.0  # a budget past a day is taken for a mistake
_LEAST_ADVICE_S = 0.001
_COUNTERS = "/-/counters"


class _Stream:
    """One request's answer, as the core's `RawAnswer`."""

    __slots__ = ("call", "call_id", "front", "kept")

    def __init__(self, front: Front, call: HttpCall, call_id: str, kept: int) -> None:
        self.front, self.call, self.call_id, self.kept = front, call, call_id, kept

    def let_go(self) -> None:
        """Its body need not be kept any more."""
        self.front.kept.release(self.kept)
        self.kept = 0

    def over(self) -> None:
        """Safe to call more than once: its id may be another request's by then."""
        self.let_go()
        if self.front.open.get(self.call_id) is self:
            del self.front.open[self.call_id]

    def events(self, data: bytes) -> bool:
        if not self.call.started:
            self.let_go()
            self.call.start(200, "text/event-stream")
        return self.call.send(data)

    def token(self, index: int, text: str, finish: FinishReason | None, usage: Usage | None) -> bool:
        raise NotImplementedError("engines of this protocol send events")

    def served(self) -> None:
        self.over()
        self.call.end()

    def rejected(self, reason: str, retry_after: int) -> None:
        self.over()
        advice: Fields = []
        if retry_after > 0 and self.front.core.settings.may_send_retry_after:
            advice = [("retry-after", f"{max(retry_after / 1e6, _LEAST_ADVICE_S):.3f}")]
        self.call.error(503, rejection_text(reason), advice)

    def failed(self, how: Failure, reason: str, next_index: int) -> None:
        self.over()
        if self.call.started:
            self.call.abort()
        else:
            self.call.error(_STATUS[how], f"failed: {reason}")


class Front:
    """The listener. Bounds: connections, heads and bodies by `HttpLimits`; bodies kept for engines by
    `kept`."""

    def __init__(self, core: Core, limits: HttpLimits, arriving: ByteBudget, kept: ByteBudget) -> None:
        self.core, self.kept = core, kept
        self.server = HttpServer(self._handle, self._early, limits, arriving)
        self.open: dict[str, _Stream] = {}
        """Requests by the clients' ids."""
        self.ready = False

    def _early(self, call: HttpCall) -> Refusal | None:
        """What is known from the head alone. Not that the node ends: its refusal comes when the whole request
        has, lest the close overtake it on its way to a client that still sends."""
        if call.method == "POST" and not self.core.stopping:
            reason, wait = self.core.overload()
            if reason:
                return Refusal(
                    503, rejection_text(reason), (("retry-after", f"{wait / 1e6:.3f}"),) if wait else ()
                )
        return None

    def _handle(self, call: HttpCall) -> None:
        if call.target in ("/-/ready", "/-/healthy"):
            self._state(call)
            return
        if call.target == _COUNTERS:
            self._counters(call)
            return
        try:
            self._submit(call)
        except InvalidRequestError as error:
            call.error(404 if error.is_unknown else 400, str(error), [("connection", "close")])

    def _state(self, call: HttpCall) -> None:
        if call.method not in ("GET", "HEAD"):
            call.error(405, f"method: GET expected, is {call.method[:20]}", [("allow", "GET")])
        elif call.target == "/-/ready" and not self.ready:
            call.respond(503, b'{"ready": false}')
        else:
            call.respond(200, b'{"ready": true}')

    def _counters(self, call: HttpCall) -> None:
        """What the node has counted since its start, as one JSON object."""
        if call.method == "GET":
            call.respond(200, json.dumps(self.core.counter_values()).encode())
        else:
            call.error(405, f"method: GET expected, is {call.method[:20]}", [("allow", "GET")])

    def _submit(self, call: HttpCall) -> None:
        if call.method != "POST":
            raise InvalidRequestError("method", f"POST expected, is {call.method[:20]!r}")
        names = [name for name, _ in call.fields]
        for name in _ONCE:
            if names.count(name) > 1:
                raise InvalidRequestError(name, "stands twice")
        head = call.headers
        call_id = head.get("x-call-id", "")
        if not _ID.fullmatch(call_id):
            raise InvalidRequestError(
                "x-call-id", "is required" if not call_id else f"{call_id[:60]!r} can't be an id"
            )
        if call_id in self.open:
            raise InvalidRequestError("x-call-id", f"{call_id[:60]!r} is open")
        _check_body(call.body)
        ask = self._ask(call, head, call_id)
        if not self.kept.acquire(len(call.body)):
            call.error(503, rejection_text("too many bytes of requests are open"), [("retry-after", "0.100")])
            return
        stream = self.open[call_id] = _Stream(self, call, call_id, len(call.body))
        try:
            ticket: RequestHandle = self.core.submit(ask, stream)
        except InvalidRequestError:
            stream.over()
            raise

        def gone(reason: str) -> None:
            stream.over()
            ticket.disconnected(reason)

        call.on_gone, call.on_writable = gone, ticket.writable

    def _ask(self, call: HttpCall, head: dict[str, str], call_id: str) -> ClientRequest:
        info = _info(head.get("x-call-info", ""))
        again = head.get("x-again", "").strip().lower()
        tokens = _count(info, "prompt_len") or max(
            round(len(call.body) / self.core.limits.bytes_per_token), 1
        )
        return ClientRequest(
            head.get("x-call-class", ""),
            "",
            head.get("x-caller", ""),
            head.get("x-route-hash", "") or call_id,
            info.get("prefix", ""),
            tokens,
            min(_count(info, "prefix_len"), tokens),
            _count(info, "max_out"),
            is_retry=again == "1",
            connection=call.connection,
            first_token_deadline_us=_first_by(head.get("x-budget")),
            is_resumed=again == "again",
            call_id=call_id,
            is_disconnected=call.left,
            payload=ForwardedRequest(call.method, call.target, call.body, _end_to_end(call.fields)),
        )


def _end_to_end(fields: Fields) -> Fields:
    """What engines get of a head unchanged: all but what is of one connection only, also by the word of
    `Connection`."""
    named = {
        name.strip().lower() for field, value in fields if field == "connection" for name in value.split(",")
    }
    left_out = _HOP_BY_HOP | _SAID_ANEW | named
    return [(name, value) for name, value in fields if name not in left_out]


def _check_body(body: bytes) -> None:
    try:
        found = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidRequestError("body", f"is not JSON ({error})"[:200]) from None
    if not isinstance(found, dict):
        raise InvalidRequestError("body", "must be a JSON object")


def _info(text: str) -> dict[str, str]:
    return {
        name.strip(): value.strip()
        for name, sign, value in (one.partition("=") for one in text.split(","))
        if sign
    }


def _count(info: dict[str, str], name: str) -> int:
    told = info.get(name, "")
    if not told:
        return 0
    try:
        value = float(told)
    except ValueError:
        value = math.nan
    if not math.isfinite(value) or value < 0:
        raise InvalidRequestError(f"x-call-info.{name}", f"must be a number from 0, is {told[:40]!r}")
    return int(value)


def _first_by(told: str | None) -> int | None:
    if told is None:
        return None
    try:
        seconds = float(told)
    except ValueError:
        seconds = math.nan
    if not 0 < seconds <= _LONGEST_S:
        raise InvalidRequestError("x-budget", f"must be seconds above 0, is {told[:40]!r}")
    return now_us() + int(seconds * 1e6)
