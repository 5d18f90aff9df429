"""HTTP/1.1 without I/O, on top of h11, for servers and clients: bytes in, events out.

What this module holds is bounded: heads, also incomplete ones, and the bodies of requests. The body of an answer
passes through: its size in all is not bounded here, but by whoever keeps it, and only what it states in advance is.
Malformed input raises `ProtocolError` with the status that a server answers; the connection can't be used afterwards.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import h11

from tuliptrack.rpc.chunk_sizes import ChunkSizes

__all__ = [
    "BodyPart",
    "ClientSide",
    "Fields",
    "ProtocolError",
    "RequestBody",
    "RequestHead",
    "ResponseEnd",
    "ResponseHead",
    "ServerSide",
]

Fields = list[tuple[str, str]]
_MAX_INFORMATIONAL = 8  # 1xx answers before the final one


class ProtocolError(Exception):
    """The peer sent malformed or oversized input; `status` is what a server answers."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a request; a `RequestBody` follows. Field names are in lower case."""

    method: str
    target: str
    fields: Fields
    content_length: int
    """The size of the body in bytes, as announced; 0 if the body is absent or chunked."""


@dataclass(frozen=True, slots=True)
class BodyPart:
    """A part of a request's or an answer's body."""

    data: bytes


@dataclass(frozen=True, slots=True)
class RequestBody:
    """The complete body of a request."""

    data: bytes


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of an answer."""

    status: int
    fields: Fields


@dataclass(frozen=True, slots=True)
class ResponseEnd:
    """The end of an answer."""


def _fields(raw: Any) -> Fields:
    return [(name.decode("ascii"), value.decode("latin-1")) for name, value in raw]


class ServerSide:
    """One connection of a server. After each `receive`, call `next` until it returns None."""

    def __init__(self, header_bytes: int, header_fields: int, body_bytes: int) -> None:
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=header_bytes)
        self.header_fields = header_fields
        self.body_bytes = body_bytes
        # One buffer, not a list of parts: an object for each part would cost many times the bytes of a body
        # in small chunks.
        self._body = bytearray()
        self._chunked = False
        self._content_length = 0

    def receive(self, data: bytes) -> None:
        """Take bytes from the peer; empty bytes mean the end of the connection."""
        if not self.http.trailing_data[1]:  # Input after the end of the connection is ignored.
            self.http.receive_data(data)

    def discard_input(self) -> None:
        """Free what was received and not processed; the connection can't be used any more."""
        self.http = h11.Connection(h11.SERVER)
        self._body = bytearray()

    @property
    def is_mid_request(self) -> bool:
        """Whether a request has been received in part."""
        return self.http.their_state is h11.SEND_BODY or (
            self.http.their_state is h11.IDLE and bool(self.http.trailing_data[0])
        )

    @property
    def awaited_body_bytes(self) -> int:
        """Bytes of the body being received that have not come yet; 0 if no body of a known size is."""
        if self.http.their_state is not h11.SEND_BODY or self._chunked:
            return 0
        return self._content_length - len(self._body)

    @property
    def buffered_bytes(self) -> int:
        """Received bytes that are not processed yet."""
        return len(self.http.trailing_data[0])

    def next(self) -> RequestHead | RequestBody | BodyPart | None:
        """Return the next event; None if more bytes are needed, or a request has to be answered first.

        A `BodyPart` holds data only if the body is chunked: only then has the head not announced the size.

        Raises:
            ProtocolError: The input is malformed or too large.
        """
        try:
            event: Any = self.http.next_event()
        except h11.RemoteProtocolError as error:
            raise ProtocolError(error.error_status_hint, f"request: {error}") from None
        if isinstance(event, h11.Request):
            if len(event.headers) > self.header_fields:
                reason = f"request: {len(event.headers)} header fields, {self.header_fields} allowed"
                raise ProtocolError(431, reason)
            fields = _fields(event.headers)
            names = [name for name, _ in fields]
            if "content-length" in names and "transfer-encoding" in names:
                raise ProtocolError(400, "request: both Content-Length and Transfer-Encoding")
            content_length = int(next((value for name, value in fields if name == "content-length"), "0"))
            if content_length > self.body_bytes:
                raise ProtocolError(413, f"body: {content_length} bytes, {self.body_bytes} allowed")
            self._body, self._chunked = bytearray(), "transfer-encoding" in names
            self._content_length = content_length
            return RequestHead(
                event.method.decode("ascii"), event.target.decode("latin-1"), fields, content_length
            )
        if isinstance(event, h11.Data):
            if len(self._body) + len(event.data) > self.body_bytes:
                raise ProtocolError(413, f"body: more than {self.body_bytes} bytes")
            self._body += event.data
            return BodyPart(bytes(event.data) if self._chunked else b"")
        if isinstance(event, h11.EndOfMessage):
            body, self._body = bytes(self._body), bytearray()
            return RequestBody(body)
        return None

    @property
    def is_over(self) -> bool:
        """Whether no further request can arrive on this connection."""
        return self.http.their_state in (h11.CLOSED, h11.MUST_CLOSE, h11.ERROR)

    def start_next_cycle(self) -> bool:
        """Prepare for the next request after a complete answer; False if there can be none."""
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        return True

    def can_respond(self) -> bool:
        """Whether an answer can be started."""
        return self.http.our_state in (h11.SEND_RESPONSE, h11.IDLE)

    def wants_continue(self) -> bool:
        return self.http.they_are_waiting_for_100_continue

    def send_continue(self) -> bytes:
        """Return the bytes of a 100 Continue."""
        return self._send(h11.InformationalResponse(status_code=100, headers=[]))

    def head(self, status: int, fields: Fields) -> bytes:
        """Return the head of an answer. Without a content-length, the body is chunked, or for an HTTP/1.0
        client delimited by the close of the connection.
        """
        return self._send(h11.Response(status_code=status, headers=fields))

    def part(self, data: bytes) -> bytes:
        return self._send(h11.Data(data=data))

    def end(self) -> bytes:
        return self._send(h11.EndOfMessage())

    @property
    def may_frame_chunks(self) -> bool:
        """Whether the caller may frame the chunks of the open answer itself, as h11 takes 7 us for each."""
        return self.http.their_http_version == b"1.1" and self.http.our_state is h11.SEND_BODY

    def _send(self, event: Any) -> bytes:
        """Return the bytes to write; raise ProtocolError if the connection failed during the answer."""
        try:
            return self.http.send(event) or b""
        except h11.LocalProtocolError as error:
            raise ProtocolError(500, f"answer not sent: {error}") from None


class ClientSide:
    """One connection of a client, with one request at a time.

    `stated_bytes` bounds what an answer may announce: the size of a chunk, or of a body that is not chunked.
    """

    def __init__(self, header_bytes: int, stated_bytes: int) -> None:
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=header_bytes)
        self.stated_bytes = stated_bytes
        self._chunks: ChunkSizes | None = None
        """The chunks of the answer being received; None if it is not chunked."""
        self._passed_bytes = self._informational = 0

    def request(self, method: str, target: str, fields: Fields, body: bytes) -> bytes:
        """Return the head of a request, which `body` follows unchanged; raise ValueError if the request
        can't be encoded.
        """
        self._chunks, self._passed_bytes, self._informational = None, 0, 0
        if body or method not in ("GET", "HEAD", "DELETE"):
            fields = [*fields, ("content-length", str(len(body)))]
        try:
            head = self.http.send(
                h11.Request(
                    method=method,
                    target=target,
                    headers=[(name.encode("ascii"), value.encode("latin-1")) for name, value in fields],
                )
            )
            if body:
                self.http.send(h11.Data(data=body))
            self.http.send(h11.EndOfMessage())
            return head or b""
        except h11.LocalProtocolError as error:
            raise ValueError(str(error)) from None

    def receive(self, data: bytes) -> None:
        """Take bytes from the peer; empty bytes mean the end of the connection."""
        if not self.http.trailing_data[1]:
            self.http.receive_data(data)
            if self._chunks:
                self._chunks.receive(data)

    def next(self) -> ResponseHead | BodyPart | ResponseEnd | None:
        """Return the next event; None if more bytes are needed. Raise `ProtocolError` on malformed input."""
        self._check_chunk()
        try:
            while True:
                event: Any = self.http.next_event()
                if isinstance(event, h11.InformationalResponse):
                    self._informational += 1
                    if self._informational > _MAX_INFORMATIONAL:
                        raise ProtocolError(502, "answer: no end of 1xx")
                    continue
                break
        except h11.RemoteProtocolError as error:
            raise ProtocolError(502, f"answer: {error}") from None
        if isinstance(event, h11.Response):
            return self._head(event)
        if isinstance(event, h11.Data):
            self._passed_bytes += len(event.data)
            return BodyPart(bytes(event.data))
        return ResponseEnd() if isinstance(event, h11.EndOfMessage) else None

    def _head(self, response: h11.Response) -> ResponseHead:
        fields = _fields(response.headers)
        content_length = int(next((value for name, value in fields if name == "content-length"), "0"))
        if content_length > self.stated_bytes:
            raise ProtocolError(502, f"answer: {content_length} bytes, {self.stated_bytes} allowed")
        if any(name == "transfer-encoding" for name, _ in fields):
            self._chunks = ChunkSizes(self.stated_bytes)
            self._chunks.receive(self.http.trailing_data[0])
        return ResponseHead(response.status_code, fields)

    def _check_chunk(self) -> None:
        """Check the next chunk, once all data before it was passed on.

        Raises:
            ProtocolError: It states more than an answer may.
        """
        chunks = self._chunks
        if chunks and chunks.oversized_chunk_bytes and chunks.oversized_after_bytes == self._passed_bytes:
            size = chunks.oversized_chunk_bytes
            raise ProtocolError(502, f"answer: a chunk of {size} bytes, {self.stated_bytes} allowed")

    def start_next_cycle(self) -> bool:
        """Prepare for the next request after a complete answer; False if the connection can't carry a
        further request, or unsolicited bytes were received on it.
        """
        if (
            self.http.our_state is not h11.DONE
            or self.http.their_state is not h11.DONE
            or self.http.trailing_data[0]
        ):
            return False
        self.http.start_next_cycle()
        return True
