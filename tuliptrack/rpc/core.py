"""The state of one gRPC connection, for clients and servers, without I/O: bytes in, events out.

`receive(data, now)` takes the bytes read from the socket and returns events; `take()` returns the bytes to
write. h2 handles HTTP/2 frames and their states; this module handles calls, messages, statuses, flow control
by the application's consumption, and limits on what a peer may cause. Source: gRPC PROTOCOL-HTTP2, RFC 9113.

Bounds: received messages are not queued here but returned as events; a call that its application has paused
receives at most one more stream window. Messages to send are queued by call until the peer's windows allow
them; `send` returns False beyond `Limits.pending_high`, and `Writable` follows once the queue has shrunk. If
a peer sends control frames faster than `Limits` allow, the connection is ended with ENHANCE_YOUR_CALM.
"""

from __future__ import annotations

import sys
import zlib
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import h2.connection
import h2.events
import h2.exceptions
from google.protobuf.message import Message
from h2.config import H2Configuration
from h2.errors import ErrorCodes
from h2.settings import SettingCodes, Settings
from hyperframe.frame import GoAwayFrame, PingFrame

from tuliptrack.decisions.concurrency_limit import BODIES_FULL, ByteBudget, rejection_text
from tuliptrack.rpc.events import (
    Broken,
    CallEnded,
    CallHeaders,
    CallStarted,
    Cancelled,
    Event,
    GoAway,
    HalfClosed,
    MessageReceived,
    Pong,
    Writable,
)
from tuliptrack.rpc.http2 import Http2Connection, TokenBucket
from tuliptrack.rpc.metadata import read_metadata, write_metadata
from tuliptrack.rpc.status import (
    Code,
    Metadata,
    Status,
    decode_message,
    decode_timeout,
    encode_binary,
    encode_message,
    encode_timeout,
    from_http,
    from_reset,
    rejection_details,
    with_details,
)

__all__ = ["Core", "Limits", "Traffic"]

_LAST_STREAM = 2**31 - 1
_PREFIX_BYTES = 5  # before each message: a flag, and the length of the message
_MAX_RESET_CALLS = 512
_BODIES_RETRY_AFTER_US = 100_000  # delay until a client whose body exceeded the budget may retry
_DRAIN_PING = b"drained?"


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one connection: what it may hold, and what its peer may cause. Sizes in bytes."""

    max_streams: int = 2_000
    """Calls that the peer may have open concurrently."""
    max_header_bytes: int = 16_384
    max_message_bytes: int = 4_194_304
    """Size of one message, after decompression."""
    stream_window: int = 65_535
    """Bytes that may arrive for one call beyond what its application has consumed."""
    connection_window: int = 4_194_304
    pending_high: int = 32_768
    """Bytes that may wait to be sent in one call before `send` asks its caller to pause."""
    pending_low: int = 8_192
    control_burst: int = 400
    """Pings, settings, empty DATA frames and calls beyond `max_streams` that a peer may send in a burst. Each
    second, `control_per_s` more are allowed, up to this burst."""
    control_per_s: float = 40.0
    reset_burst: int = 2_500
    """Resets that a peer may send in a burst: enough for all its open calls, and some more. Each second,
    `reset_per_s` more are allowed, up to this burst."""
    reset_per_s: float = 100.0


class _Fault(Exception):
    """An error of one call, with the status that answers it."""

    def __init__(self, code: Code, message: str, *details: Message) -> None:
        super().__init__(message)
        self.status = with_details(code, message, *details) if details else Status(code, message)


class _FrameTooLarge(Exception):
    """A frame exceeds the allowed size."""


class Traffic:
    """Counts of the bytes of messages, with their prefixes as on the wire, that one call has transferred.

    Counting continues after the call has ended here: bytes that the peer sent before it received our reset
    still arrive.
    """

    __slots__ = ("received", "sent")

    def __init__(self) -> None:
        self.sent = self.received = 0


class _Call:
    """One stream's state."""

    __slots__ = (
        "answered",
        "buffer",
        "decoder",
        "encoder",
        "ending",
        "got_headers",
        "is_over_high",
        "local_done",
        "metadata",
        "out",
        "out_bytes",
        "paused",
        "remote_done",
        "reserved",
        "stream",
        "traffic",
        "unacked",
    )

    def __init__(self, stream: int) -> None:
        self.stream = stream
        self.traffic = Traffic()
        self.buffer = bytearray()
        self.out: deque[bytes] = deque()
        self.out_bytes = 0
        self.unacked = self.reserved = 0
        self.paused = self.is_over_high = self.local_done = self.remote_done = self.answered = (
            self.got_headers
        ) = False
        self.ending: list[tuple[bytes, bytes]] | None = None
        self.decoder = self.encoder = ""
        self.metadata: Metadata = ()


class Core:
    """One connection. Calls are identified by their stream numbers."""

    def __init__(
        self,
        client: bool,
        limits: Limits | None = None,
        authority: str = "",
        now: int = 0,
        bodies: ByteBudget | None = None,
    ) -> None:
        """Set up a connection.

        `bodies` limits the bytes that incomplete messages hold in total, on all connections that share this
        budget.
        """
        self.client, self.limits, self.authority, self.bodies = client, limits or Limits(), authority, bodies
        self.h2 = Http2Connection(
            H2Configuration(
                client_side=client,
                header_encoding=None,
                validate_outbound_headers=False,
                normalize_outbound_headers=False,
                normalize_inbound_headers=False,
            )
        )
        lim = self.limits
        values: dict[SettingCodes, int] = {
            SettingCodes.INITIAL_WINDOW_SIZE: lim.stream_window,
            SettingCodes.ENABLE_PUSH: 0,
            SettingCodes.MAX_CONCURRENT_STREAMS: lim.max_streams,
            SettingCodes.MAX_HEADER_LIST_SIZE: lim.max_header_bytes,
        }
        if not client:
            del values[SettingCodes.ENABLE_PUSH]
        self.h2.local_settings = Settings(client=client, initial_values=values)
        self.h2.decoder.max_header_list_size = lim.max_header_bytes
        self.h2.initiate_connection()
        if lim.connection_window > 65_535:
            self.h2.increment_flow_control_window(lim.connection_window - 65_535)
        self.calls: dict[int, _Call] = {}
        self.dead = False
        self._unprocessed = b""
        """Received bytes that were not processed: the start of an incomplete frame, shorter than the largest
        frame allowed, or whatever the quantum of `receive` has left over."""
        self.has_input = False
        """Whether `receive` has ended because of its quantum: a further call continues."""
        self.work_done = 0
        """The work that the last call of `receive` has done, in units of `input_scheduler`."""
        self._preface = b"" if client else b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
        """The part of the client preface that has not been received yet."""
        self.draining = False
        """Whether either side has announced that it accepts no new calls."""
        self._final_goaway: int | None = None
        self._unacked = 0
        self._reset_calls: dict[int, Traffic] = {}
        """Byte counts of calls that were reset here and whose peer may still be sending, by stream number;
        only the last `_MAX_RESET_CALLS` are kept."""
        self._sendable: dict[int, None] = {}
        """Calls that may have something to send, in the order in which they were added."""
        self._send_events: list[Event] = []
        self._extra_frames = bytearray()
        self._control = TokenBucket(lim.control_burst, lim.control_per_s, now)
        self._resets = TokenBucket(lim.reset_burst, lim.reset_per_s, now)
        self._handlers: dict[type, Callable[[Any, list[Event]], None]] = {
            h2.events.DataReceived: self._data,
            h2.events.RequestReceived: self._request,
            h2.events.ResponseReceived: self._response,
            h2.events.TrailersReceived: self._trailers,
            h2.events.StreamEnded: self._ended,
            h2.events.StreamReset: self._reset,
            h2.events.WindowUpdated: self._window,
            h2.events.ConnectionTerminated: self._goaway,
            h2.events.PingAckReceived: self._pong,
            h2.events.RemoteSettingsChanged: self._settings,
        }

    # -- input

    def receive(self, data: bytes, now: int, quantum: int = sys.maxsize) -> list[Event]:
        """Take bytes from the peer; `now` in microseconds. Never raises: errors become events.

        After about `quantum` units of work no further frame is begun, and `has_input` tells so.
        """
        events: list[Event] = []
        self.has_input, self.work_done = False, 0
        if self.dead:
            return events
        try:
            for event in self._frames(data, events, quantum):
                kind = type(event)
                if kind in (h2.events.PingReceived, h2.events.RemoteSettingsChanged) or (
                    kind is h2.events.DataReceived and not event.data and event.stream_ended is None
                ):
                    if not self._control.take(now):
                        return self._break(events, ErrorCodes.ENHANCE_YOUR_CALM, "too many control frames")
                elif kind is h2.events.RequestReceived and len(self.calls) >= self.limits.max_streams:
                    if not self._control.take(now):
                        return self._break(
                            events, ErrorCodes.ENHANCE_YOUR_CALM, "too many calls past the limit"
                        )
                elif kind is h2.events.StreamReset and event.remote_reset and not self._resets.take(now):
                    return self._break(events, ErrorCodes.ENHANCE_YOUR_CALM, "too many resets")
                handler = self._handlers.get(kind)
                if handler:
                    handler(event, events)
        except h2.exceptions.ProtocolError as error:  # h2 has queued a GOAWAY itself
            code = getattr(error, "error_code", ErrorCodes.PROTOCOL_ERROR)
            return self._break(events, code, str(error) or type(error).__name__, is_goaway_sent=True)
        except _FrameTooLarge as error:
            return self._break(events, ErrorCodes.FRAME_SIZE_ERROR, str(error))
        except Exception as error:  # h2 and hpack raise other errors on garbage
            return self._break(events, ErrorCodes.PROTOCOL_ERROR, f"{type(error).__name__}: {error}")
        if self._send_events:
            events += self._send_events
            self._send_events = []
        return events

    def _frames(self, data: bytes, events: list[Event], quantum: int) -> Iterator[Any]:
        """Split the bytes into frames: plain DATA frames are handled here, others become events of h2."""
        if self._preface:
            size = min(len(self._preface), len(data))
            self._preface = self._preface[size:] if data[:size] == self._preface[:size] else b""
            yield from self.h2.receive_data(data[:size])
            data = data[size:]
        if self._unprocessed:
            data = self._unprocessed + data
        at = passed = 0
        end = len(data)
        while end - at >= 9:
            if self.work_done + len(events) >= quantum:  # A frame may hold many messages, an event each.
                self.has_input = True
                break
            size = data[at] << 16 | data[at + 1] << 8 | data[at + 2]
            after = at + 9 + size
            if size > self.h2.max_inbound_frame_size:
                # h2 checks the size only after buffering the complete frame, up to 16 MiB.
                raise _FrameTooLarge(f"frame of {size} bytes, {self.h2.max_inbound_frame_size} allowed")
            if after > end:
                break
            self.work_done += 1
            if not data[at + 3]:
                stream = int.from_bytes(data[at + 5 : at + 9], "big")
                call = self.calls.get(stream)
                if call is None and stream in self._reset_calls:
                    self._reset_calls[stream].received += size
                if size and call and call.got_headers and not data[at + 4]:
                    if passed < at:
                        yield from self.h2.receive_data(data[passed:at])
                        passed = at
                    # The call is checked only now, as the frames before this one may have changed its stream.
                    if self.calls.get(stream) is call and self.h2.take_data(stream, size):
                        self._receive_data(call, data[at + 9 : after], size, events)
                        passed = after
            at = after
        self._unprocessed = data[at:]
        if passed < at:
            yield from self.h2.receive_data(data[passed:at])
        self.work_done += len(events)

    def lost(self, reason: str) -> list[Event]:
        """End every open call, because the socket is closed or abandoned."""
        return [] if self.dead else self._break([], ErrorCodes.NO_ERROR, reason, is_goaway_sent=True)

    def _break(
        self, events: list[Event], code: int, reason: str, is_goaway_sent: bool = False
    ) -> list[Event]:
        self.dead, self.has_input = True, False
        if not is_goaway_sent:
            frame = GoAwayFrame(
                0,
                last_stream_id=self.h2.highest_inbound_stream_id,
                error_code=int(code),
                additional_data=reason.encode()[:200],
            )
            self._extra_frames += frame.serialize()
        for call in list(self.calls.values()):
            self._drop(call)
            if self.client:
                events.append(
                    CallEnded(call.stream, Status(Code.UNAVAILABLE, f"connection lost: {reason}"), reset=True)
                )
            else:
                events.append(Cancelled(call.stream, f"connection lost: {reason}"))
        events.append(Broken(reason))
        return events

    def _drop(self, call: _Call) -> None:
        if call.reserved and self.bodies:
            self.bodies.release(call.reserved)
            call.reserved = 0
        self.calls.pop(call.stream, None)
        self._sendable.pop(call.stream, None)

    def _data(self, event: h2.events.DataReceived, events: list[Event]) -> None:
        self._receive_data(
            self.calls.get(event.stream_id or 0), event.data or b"", event.flow_controlled_length or 0, events
        )

    def _receive_data(self, call: _Call | None, data: bytes, size: int, events: list[Event]) -> None:
        """Take data of a call; `size` is what it consumes of the flow-control windows."""
        self._unacked += size
        if self._unacked * 2 >= self.limits.connection_window:
            self.h2.increment_flow_control_window(self._unacked)
            self._unacked = 0
        if call is None:
            return
        call.traffic.received += len(data)
        call.unacked += size
        call.buffer += data
        try:
            self._messages(call, events)
        except _Fault as fault:
            self._reject_call(call, fault.status, events)
            return
        if not call.paused:
            self._acknowledge(call)

    def _acknowledge(self, call: _Call) -> None:
        if call.unacked * 2 >= self.limits.stream_window and not call.remote_done:
            try:
                self.h2.increment_flow_control_window(call.unacked, call.stream)
            except (h2.exceptions.ProtocolError, KeyError):
                pass  # The stream has closed meanwhile and needs no window.
            call.unacked = 0

    def _messages(self, call: _Call, events: list[Event]) -> None:
        buffer, at = call.buffer, 0
        while len(buffer) - at >= _PREFIX_BYTES:
            flag, size = buffer[at], int.from_bytes(buffer[at + 1 : at + _PREFIX_BYTES], "big")
            if size > self.limits.max_message_bytes:
                limit = self.limits.max_message_bytes
                raise _Fault(Code.RESOURCE_EXHAUSTED, f"message of {size} bytes, {limit} allowed")
            if len(buffer) - at - _PREFIX_BYTES < size:
                if self.bodies and size > call.reserved:  # Reserves the size of the message.
                    if not self.bodies.acquire(size - call.reserved):
                        raise _Fault(
                            Code.UNAVAILABLE,
                            rejection_text(BODIES_FULL),
                            *rejection_details("REFUSED", _BODIES_RETRY_AFTER_US, reason="bodies"),
                        )
                    call.reserved = size
                break
            data = bytes(buffer[at + _PREFIX_BYTES : at + _PREFIX_BYTES + size])
            at += _PREFIX_BYTES + size
            if call.reserved and self.bodies:
                self.bodies.release(call.reserved)
                call.reserved = 0
            events.append(MessageReceived(call.stream, self._expand(call, flag, data) if flag else data))
        del buffer[:at]

    def _expand(self, call: _Call, flag: int, data: bytes) -> bytes:
        if flag != 1 or not call.decoder:
            raise _Fault(Code.INTERNAL, "message is marked compressed, but no grpc-encoding was told")
        limit = self.limits.max_message_bytes
        decompressor = zlib.decompressobj(31 if call.decoder == "gzip" else 15)
        try:
            message = decompressor.decompress(data, limit + 1)
        except zlib.error as error:
            raise _Fault(Code.INTERNAL, f"message does not decompress: {error}") from None
        if len(message) > limit:
            raise _Fault(Code.RESOURCE_EXHAUSTED, f"message is over {limit} bytes when decompressed")
        if not decompressor.eof:
            raise _Fault(Code.INTERNAL, "compressed message ends early")
        return message

    def _reject_call(self, call: _Call, status: Status, events: list[Event]) -> None:
        """End a call with an error that its peer has caused."""
        if self.client:
            self.reset(call.stream, ErrorCodes.CANCEL)
            events.append(CallEnded(call.stream, status))
        else:
            stream = call.stream
            self.finish(stream, status)
            events.append(Cancelled(stream, status.message))

    # -- input of servers

    def _request(self, event: h2.events.RequestReceived, events: list[Event]) -> None:
        stream = event.stream_id or 0
        if self._final_goaway is not None and stream > self._final_goaway:
            self.h2.reset_stream(stream, ErrorCodes.REFUSED_STREAM)
            return
        if len(self.calls) >= self.limits.max_streams:
            self.h2.reset_stream(stream, ErrorCodes.REFUSED_STREAM)
            return
        call = self.calls[stream] = _Call(stream)
        raw = {name: value for name, value in event.headers or ()}
        kind = raw.get(b"content-type", b"")
        if raw.get(b":method") != b"POST" or not kind.startswith(b"application/grpc"):
            code = b"405" if raw.get(b":method") != b"POST" else b"415"
            self.h2.send_headers(stream, [(b":status", code)], end_stream=True)
            self._drop(call)
            if event.stream_ended is None:
                self.h2.reset_stream(stream, ErrorCodes.NO_ERROR)
            return
        try:
            metadata = read_metadata(event.headers or ())
            timeout = (
                decode_timeout(raw[b"grpc-timeout"].decode("latin-1")) if b"grpc-timeout" in raw else None
            )
        except ValueError as error:
            self.finish(stream, Status(Code.INVALID_ARGUMENT, str(error)))
            return
        call.decoder = raw.get(b"grpc-encoding", b"identity").decode("latin-1").replace("identity", "")
        if call.decoder not in ("", "gzip", "deflate"):
            self.finish(
                stream, Status(Code.UNIMPLEMENTED, f"grpc-encoding: {call.decoder[:40]!r} is not known here")
            )
            return
        accepts = raw.get(b"grpc-accept-encoding", b"").replace(b" ", b"").split(b",")
        call.encoder = "gzip" if b"gzip" in accepts and call.decoder else ""
        call.got_headers = True
        events.append(CallStarted(stream, raw.get(b":path", b"").decode("latin-1"), timeout, metadata))

    # -- input of clients

    def _response(self, event: h2.events.ResponseReceived, events: list[Event]) -> None:
        call = self.calls.get(event.stream_id or 0)
        if call is None:
            return
        raw = {name: value for name, value in event.headers or ()}
        http = int(raw.get(b":status", b"0")) if raw.get(b":status", b"0").isdigit() else 0
        kind = raw.get(b"content-type", b"")
        if http != 200 or not kind.startswith(b"application/grpc"):
            code = from_http(http) if http != 200 else Code.UNKNOWN
            if b"grpc-status" not in raw:
                if event.stream_ended is None:
                    self.reset(call.stream, ErrorCodes.CANCEL)
                self._drop(call)
                events.append(
                    CallEnded(call.stream, Status(code, f"not a gRPC answer: status {http}, {kind!r}"))
                )
                return
        if event.stream_ended is not None:
            self._finish_client(call, event.headers or (), events)
            return
        call.got_headers = True
        call.decoder = raw.get(b"grpc-encoding", b"identity").decode("latin-1").replace("identity", "")
        if call.decoder not in ("", "gzip", "deflate"):
            fault = Status(Code.INTERNAL, f"grpc-encoding: {call.decoder[:40]!r} was never offered")
            self._reject_call(call, fault, events)
            return
        try:
            events.append(CallHeaders(call.stream, read_metadata(event.headers or ())))
        except ValueError as error:
            self._reject_call(call, Status(Code.INTERNAL, str(error)), events)

    def _trailers(self, event: h2.events.TrailersReceived, events: list[Event]) -> None:
        call = self.calls.get(event.stream_id or 0)
        if call is None:
            return
        if self.client:
            self._finish_client(call, event.headers or (), events)

    def _finish_client(
        self, call: _Call, headers: Iterable[tuple[bytes, bytes]], events: list[Event]
    ) -> None:
        raw = {name: value for name, value in headers}
        done = call.local_done and call.ending is None and not call.out
        self._drop(call)
        if not done:  # The server did not need the rest of the request.
            self._reset_stream(call.stream, ErrorCodes.NO_ERROR)
        number = raw.get(b"grpc-status", b"")
        code = (
            Code(int(number)) if number.isdigit() and int(number) in Code._value2member_map_ else Code.UNKNOWN
        )
        message = decode_message(raw.get(b"grpc-message", b"").decode("latin-1"))
        if not number:
            message = "the answer ended without a grpc-status"
        elif code is Code.OK and call.buffer:
            code, message = Code.INTERNAL, f"the answer ended inside a message ({len(call.buffer)} bytes)"
        try:
            metadata = read_metadata(headers)
        except ValueError as error:
            code, message, metadata = Code.INTERNAL, f"trailers: {error}", ()
        details = next(
            (v for k, v in metadata if k == "grpc-status-details-bin" and isinstance(v, bytes)), b""
        )
        events.append(CallEnded(call.stream, Status(code, message, details), metadata))

    def _ended(self, event: h2.events.StreamEnded, events: list[Event]) -> None:
        call = self.calls.get(event.stream_id or 0)
        if call is None:
            return
        call.remote_done = True
        if self.client:  # Trailers would have removed the call: there were none.
            self._drop(call)
            status = Status(Code.INTERNAL, "the answer ended without trailers")
            events.append(CallEnded(call.stream, status, reset=True))
        elif call.buffer:
            fault = f"the request ended inside a message ({len(call.buffer)} bytes)"
            self._reject_call(call, Status(Code.INVALID_ARGUMENT, fault), events)
        else:
            events.append(HalfClosed(call.stream))

    def _reset(self, event: h2.events.StreamReset, events: list[Event]) -> None:
        call = self.calls.get(event.stream_id or 0)
        if call is None:
            return
        self._drop(call)
        error = int(event.error_code or 0)
        if self.client:
            events.append(
                CallEnded(
                    call.stream,
                    Status(from_reset(error), f"stream reset by peer, error {error}"),
                    reset=True,
                    unprocessed=error == ErrorCodes.REFUSED_STREAM,
                )
            )
        else:
            events.append(Cancelled(call.stream, f"reset by the client, error {error}"))

    def _window(self, event: h2.events.WindowUpdated, events: list[Event]) -> None:
        if event.stream_id:
            if event.stream_id in self.calls:
                self._sendable[event.stream_id] = None
        else:
            self._mark_all_sendable()

    def _mark_all_sendable(self) -> None:
        for stream, call in self.calls.items():
            if call.out or call.ending is not None or call.local_done:
                self._sendable[stream] = None

    def _settings(self, event: h2.events.RemoteSettingsChanged, events: list[Event]) -> None:
        if SettingCodes.INITIAL_WINDOW_SIZE in (event.changed_settings or {}):
            self._mark_all_sendable()

    def _pong(self, event: h2.events.PingAckReceived, events: list[Event]) -> None:
        data = event.ping_data or b""
        if data == _DRAIN_PING and self.draining and not self.client:
            self._final_goaway = self.h2.highest_inbound_stream_id
            self._extra_frames += GoAwayFrame(0, last_stream_id=self._final_goaway).serialize()
        else:
            events.append(Pong(data))

    def _goaway(self, event: h2.events.ConnectionTerminated, events: list[Event]) -> None:
        last, error = event.last_stream_id or 0, int(event.error_code or 0)
        self.draining = True
        for call in [c for c in self.calls.values() if self.client and c.stream > last]:
            self._drop(call)
            events.append(
                CallEnded(
                    call.stream, Status(Code.UNAVAILABLE, "the peer goes away"), reset=True, unprocessed=True
                )
            )
        events.append(GoAway(last, error, (event.additional_data or b"").decode(errors="replace")[:200]))

    # -- output

    def available_streams(self) -> int:
        """Return how many more calls may be opened, by the peer's settings."""
        return (
            0
            if self.dead or self.draining
            else (self.h2.remote_settings.max_concurrent_streams - len(self.calls))
        )

    def start(
        self, method: str, metadata: Metadata = (), timeout: int | None = None, compress: bool = False
    ) -> int:
        """Client: open a call; `timeout` in microseconds. Return its stream number."""
        stream = self.h2.get_next_available_stream_id()
        headers = [
            (b":method", b"POST"),
            (b":scheme", b"http"),
            (b":path", method.encode()),
            (b":authority", self.authority.encode()),
            (b"te", b"trailers"),
            (b"content-type", b"application/grpc+proto"),
            (b"user-agent", b"tuliptrack"),
        ]
        if timeout is not None:
            headers.append((b"grpc-timeout", encode_timeout(timeout)))
        headers.append((b"grpc-accept-encoding", b"gzip,deflate,identity"))
        if compress:
            headers.append((b"grpc-encoding", b"gzip"))
        self.h2.send_headers(stream, headers + write_metadata(metadata))
        call = self.calls[stream] = _Call(stream)
        call.encoder = "gzip" if compress else ""
        return stream

    def send(self, stream: int, data: bytes) -> bool:
        """Queue a message; return False if the caller has to pause until `Writable`.

        If the call has ended or is half-closed, the message is dropped and False is returned.
        """
        call = self.calls.get(stream)
        if call is None or call.ending is not None or call.local_done:
            return False
        if not self.client and not call.answered:
            self._answer(call)
        flag = 0
        if call.encoder and len(data) > 512:
            compressor = zlib.compressobj(6, zlib.DEFLATED, 31)
            flag, data = 1, compressor.compress(data) + compressor.flush()
        call.out.append(flag.to_bytes(1, "big") + len(data).to_bytes(4, "big") + data)
        call.out_bytes += _PREFIX_BYTES + len(data)
        self._sendable[stream] = None
        if call.out_bytes > self.limits.pending_high:
            call.is_over_high = True
        return not call.is_over_high

    def _answer(self, call: _Call) -> None:
        headers = [
            (b":status", b"200"),
            (b"content-type", b"application/grpc+proto"),
            (b"grpc-accept-encoding", b"gzip,deflate,identity"),
        ]
        if call.encoder:
            headers.append((b"grpc-encoding", call.encoder.encode()))
        self.h2.send_headers(call.stream, headers + write_metadata(call.metadata))
        call.answered = True

    def headers(self, stream: int, metadata: Metadata) -> None:
        """Server: send the leading headers now, before any message."""
        call = self.calls.get(stream)
        if call and not call.answered:
            call.metadata = metadata
            self._answer(call)

    def half_close(self, stream: int) -> None:
        """Client: announce that no more messages follow in this call."""
        call = self.calls.get(stream)
        if call and not call.local_done:
            call.local_done = True
            call.ending = []
            self._sendable[stream] = None

    def finish(self, stream: int, status: Status, metadata: Metadata = ()) -> bool:
        """Server: end a call after its queued messages; return False if it had already ended."""
        call = self.calls.get(stream)
        if call is None or call.ending is not None:
            return False
        trailers = [(b"grpc-status", str(int(status.code)).encode())]
        if status.message:
            trailers.append((b"grpc-message", encode_message(status.message)))
        if status.details:
            trailers.append((b"grpc-status-details-bin", encode_binary(status.details)))
        trailers += write_metadata(metadata)
        if not call.answered:
            trailers[:0] = [
                (b":status", b"200"),
                (b"content-type", b"application/grpc+proto"),
                (b"grpc-accept-encoding", b"gzip,deflate,identity"),
            ]
        call.ending = trailers
        call.buffer.clear()
        self._sendable[stream] = None
        return True

    def reset(self, stream: int, error: int = ErrorCodes.CANCEL) -> bool:
        """End a call immediately, without a status; return False if it had already ended."""
        call = self.calls.get(stream)
        if call is None:
            return False
        self._drop(call)
        self._reset_calls[stream] = call.traffic
        if len(self._reset_calls) > _MAX_RESET_CALLS:
            del self._reset_calls[next(iter(self._reset_calls))]
        self._reset_stream(stream, error)
        return True

    def _reset_stream(self, stream: int, error: int) -> None:
        try:
            self.h2.reset_stream(stream, error)
        except h2.exceptions.ProtocolError:
            pass  # The stream has closed meanwhile.

    def pause(self, stream: int) -> None:
        """Stop extending the window of a call until `resume`, as its application consumes no messages."""
        if call := self.calls.get(stream):
            call.paused = True

    def resume(self, stream: int) -> None:
        call = self.calls.get(stream)
        if call and call.paused:
            call.paused = False
            self._acknowledge(call)

    def pending(self, stream: int) -> int:
        """Return how many bytes of a call wait to be sent."""
        call = self.calls.get(stream)
        return call.out_bytes if call else 0

    def traffic(self, stream: int) -> Traffic:
        """Return the byte counts of an open call; the object keeps counting."""
        call = self.calls.get(stream)
        return call.traffic if call else Traffic()

    def ping(self, data: bytes) -> None:
        if not self.dead:
            self._extra_frames += PingFrame(0, opaque_data=data[:8].ljust(8, b"\0")).serialize()

    def drain(self) -> None:
        """Server: accept no new calls and let open ones end.

        Two GOAWAY frames announce this, as in RFC 9113: the first still allows calls that cross it.
        """
        if not self.draining and not self.dead:
            self.draining = True
            self._extra_frames += GoAwayFrame(0, last_stream_id=_LAST_STREAM).serialize()
            self.ping(_DRAIN_PING)

    def take(self) -> bytes:
        """Return the bytes to write now. Calls with much to send alternate, with one frame each."""
        if not self.dead:
            while self._sendable:
                again: dict[int, None] = {}
                for stream in list(self._sendable):
                    call = self.calls.get(stream)
                    if call and self._pump(call):
                        again[stream] = None
                self._sendable = again
        data = self.h2.data_to_send() if not self.dead or self.h2._data_to_send else b""
        if self._extra_frames:
            data += bytes(self._extra_frames)
            self._extra_frames.clear()
        return data

    def events(self) -> list[Event]:
        """Return the events that sending has caused (`Writable`)."""
        late, self._send_events = self._send_events, []
        return late

    def _pump(self, call: _Call) -> bool:
        """Send up to one frame of a call; return True if the call may send more immediately."""
        out = call.out
        if out:
            window = min(self.h2.local_flow_control_window(call.stream), self.h2.max_outbound_frame_size)
            if window <= 0:
                return False
            data = out.popleft()
            if out and len(data) < window:
                parts, size = [data], len(data)
                while out and size + len(out[0]) <= window:
                    data = out.popleft()
                    parts.append(data)
                    size += len(data)
                data = b"".join(parts)
            if len(data) > window:
                out.appendleft(data[window:])
                data = data[:window]
            call.out_bytes -= len(data)
            call.traffic.sent += len(data)
            last = not out and call.ending is not None and self.client
            if last:
                self.h2.send_data(call.stream, data, end_stream=True)
            else:
                self.h2.give_data(call.stream, data)
            if call.is_over_high and call.out_bytes <= self.limits.pending_low:
                call.is_over_high = False
                self._send_events.append(Writable(call.stream))
            if out:
                return True
            if last:
                call.ending = None
                return False
        if call.ending is None:
            return False
        if self.client:
            self.h2.end_stream(call.stream)
            call.ending = None
        else:
            self.h2.send_headers(call.stream, call.ending, end_stream=True)
            self._drop(call)
            if not call.remote_done:
                self._reset_stream(call.stream, ErrorCodes.NO_ERROR)
        return False
