"""The HTTP/2 connection that `core.Core` uses, on top of h2, and a rate limit on what a peer may cause."""

from __future__ import annotations

import h2.connection
import h2.events
from h2.stream import StreamState
from hyperframe.frame import Frame, GoAwayFrame

__all__ = ["Http2Connection", "TokenBucket"]

_RECEIVING = (StreamState.OPEN, StreamState.HALF_CLOSED_LOCAL)
_SENDING = (StreamState.OPEN, StreamState.HALF_CLOSED_REMOTE)


class Http2Connection(h2.connection.H2Connection):
    """h2's connection with two changes.

    h2 ends a connection at the first GOAWAY; RFC 9113 (6.8) lets open streams run to their end. And plain
    DATA frames, which make up nearly all of a token stream, bypass h2's frame objects and state machines:
    only on streams whose state they can't change, and with h2's flow-control windows updated. Any frame that
    is not plainly valid is left to h2. `bench/relay.py` measures the gain; a test checks that both paths give
    the same events.
    """

    plain_data = True
    """Whether plain DATA frames may bypass h2."""

    def take_data(self, stream_id: int, size: int) -> bool:
        """Account for a DATA frame without flags; False if h2 has to process it."""
        stream = self.streams.get(stream_id)
        if (
            stream is None
            or stream.state_machine.state not in _RECEIVING
            or not self.plain_data
            or stream._expected_content_length is not None
            or self.incoming_buffer._headers_buffer
            or size > self._inbound_flow_control_window_manager.current_window_size
            or size > stream._inbound_window_manager.current_window_size
        ):
            return False
        self._inbound_flow_control_window_manager.window_consumed(size)
        stream._inbound_window_manager.window_consumed(size)
        return True

    def give_data(self, stream_id: int, data: bytes) -> None:
        """Send a DATA frame that fits the windows and does not end the stream."""
        stream = self.streams[stream_id]
        if stream.state_machine.state not in _SENDING or not self.plain_data:
            self.send_data(stream_id, data)
            return
        size = len(data)
        self.outbound_flow_control_window -= size
        stream.outbound_flow_control_window -= size
        self._data_to_send += b"%b\0\0%b%b" % (size.to_bytes(3, "big"), stream_id.to_bytes(4, "big"), data)

    @property
    def open_inbound_streams(self) -> int:
        """Number of streams that the peer has open, or one below the limit if that is less.

        At the limit, h2 would end the connection at a further stream. A client may open streams beyond the
        limit before it has received the limit, and `core.Core` rejects only those streams.
        """
        return min(super().open_inbound_streams, self.local_settings.max_concurrent_streams - 1)

    def _receive_goaway_frame(self, frame: GoAwayFrame) -> tuple[list[Frame], list[h2.events.Event]]:
        event = h2.events.ConnectionTerminated()
        event.error_code = frame.error_code
        event.last_stream_id = frame.last_stream_id
        event.additional_data = frame.additional_data or None
        return [], [event]


class TokenBucket:
    """A token bucket. `per_s` is in tokens a second, `now` in microseconds."""

    __slots__ = ("at", "capacity", "left", "rate")

    def __init__(self, capacity: int, per_s: float, now: int) -> None:
        self.capacity, self.rate, self.left, self.at = float(capacity), per_s / 1e6, float(capacity), now

    def take(self, now: int) -> bool:
        """Take one token; False if there is none."""
        self.left = min(self.capacity, self.left + (now - self.at) * self.rate) - 1
        self.at = now
        return self.left >= 0
