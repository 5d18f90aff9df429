"""One request of an HTTP/1.1 client and its answer, as handlers see them."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from tuliptrack.rpc.h1 import Fields
from tuliptrack.rpc.tcp import is_closed_by_peer

__all__ = ["CallConnection", "HttpCall", "HttpLimits", "Rejection"]


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Sizes in bytes, times in microseconds."""

    header_bytes: int = 16_384
    header_fields: int = 128
    """Maximum number of fields of a request's head. Parsed, a field of a few bytes takes some hundred."""
    body_bytes: int = 4_194_304
    pending_high: int = 32_768
    request_timeout: int = 10_000_000
    first_within: int = 0
    """Time from the connect to the first complete request; 0: only `request_timeout` and `idle` bound it."""
    idle: int = 60_000_000
    connections: int = 1_024


@dataclass(frozen=True, slots=True)
class Rejection:
    """An error answer that is sent before the body is read."""

    status: int
    error: str
    headers: tuple[tuple[str, str], ...] = ()


class CallConnection(Protocol):
    """The connection that a request came on."""

    transport: asyncio.Transport

    def start_response(self, status: int, headers: Fields) -> None:
        """Send the head of an answer whose body follows by `write`."""

    def write(self, data: bytes) -> bool:
        """Send a part of the body; False asks the caller to pause."""

    def end_response(self) -> None:
        """End an answer, and continue with the next request."""

    def send_response(self, status: int, headers: Fields, body: bytes) -> None:
        """Send a complete answer in one write."""

    def abort_response(self) -> None:
        """Close the connection in mid-answer; the part that was sent is still delivered."""


def _noop(*_: Any) -> None:
    pass


class HttpCall:
    """One request and its answer. A call ends once: by `respond`, `end` or `abort`, or when the server calls
    `on_cancelled`.
    """

    __slots__ = (
        "_link",
        "body",
        "fields",
        "headers",
        "method",
        "on_cancelled",
        "on_writable",
        "open",
        "received_at_us",
        "started",
        "target",
    )

    def __init__(self, link: CallConnection, method: str, target: str, fields: Fields) -> None:
        self._link = link
        self.method, self.target, self.fields = method, target, fields
        self.headers = dict(fields)
        self.body = b""
        self.received_at_us = 0
        """When the last byte of the request arrived, in monotonic microseconds."""
        self.open, self.started = True, False
        self.on_cancelled: Callable[[str], None] = _noop
        self.on_writable: Callable[[], None] = _noop

    @property
    def connection(self) -> object:
        return self._link

    def respond(
        self, status: int, body: bytes, headers: Fields | None = None, kind: str = "application/json"
    ) -> None:
        """Send a complete answer."""
        if self.open and not self.started:
            self.started, self.open = True, False
            self._link.send_response(
                status, [("content-type", kind), ("content-length", str(len(body))), *(headers or [])], body
            )

    def error(self, status: int, text: str, headers: Fields | None = None, **facts: object) -> None:
        """Send a complete answer with the JSON body {"error": text, ...}."""
        self.respond(status, json.dumps({"error": text, **facts}).encode(), headers)

    def start(self, status: int, kind: str, headers: Fields | None = None) -> None:
        if self.open and not self.started:
            self._link.start_response(
                status, [("content-type", kind), ("cache-control", "no-store"), *(headers or [])]
            )
            self.started = True

    def send(self, data: bytes) -> bool:
        """Send a part of a started answer; False asks the caller to pause until `on_writable`."""
        return self._link.write(data) if self.open else False

    def end(self) -> None:
        if self.open:
            self.open = False
            self._link.end_response()

    def abort(self) -> None:
        """Close the connection in mid-answer, so that the client can tell that the answer is incomplete."""
        if self.open:
            self.open = False
            self._link.abort_response()

    def cancel(self, reason: str) -> None:
        if self.open:
            self.open = False
            self.on_cancelled(reason)

    def has_disconnected(self) -> bool:
        """Whether the client has closed or reset the connection, even if the loop has not read that yet."""
        return self.open and (self._link.transport.is_closing() or is_closed_by_peer(self._link.transport))
