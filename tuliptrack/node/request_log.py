"""The line that a node logs for each request when the request is removed from the table."""

from __future__ import annotations

import structlog

from tuliptrack.decisions.stream_idle import StreamActivity
from tuliptrack.node.requests import RequestRecord
from tuliptrack.node.timers import US_PER_MS

__all__ = ["log_request"]

log = structlog.get_logger("node")


def log_request(record: RequestRecord, now_us: int) -> None:
    """Log how a request ended, with its steps and its times in milliseconds."""
    client_request = record.client_request
    first_token_ms = None
    if record.first_token_at_us:
        first_token_ms = _elapsed_ms(record, record.first_token_at_us)
    log.info(
        "request",
        end=record.state.value,
        reason=record.reason,
        request=record.id,
        call_id=client_request.call_id,
        request_class=client_request.request_class,
        tenant=client_request.tenant,
        attempts=record.attempt_count,
        servers=record.endpoint_ids,
        prompt_tokens=client_request.prompt_tokens,
        cached_tokens=record.cached_tokens,
        tokens=record.next_index - client_request.resume_index,
        ms=_elapsed_ms(record, now_us),
        first_ms=first_token_ms,
        steps=str(record.trace),
        **(_stream_fields(record.stream, now_us) if record.first_token_at_us else {}),
    )


def _stream_fields(stream: StreamActivity, now_us: int) -> dict[str, float]:
    """Return how long ago the engine last sent an event, output and anything at all, and the client's pauses.

    The ages tell a stream whose engine has stopped from one that was held up by what is no event.
    """
    return {
        "event_age_ms": _milliseconds(now_us - stream.last_event_at_us),
        "output_age_ms": _milliseconds(now_us - stream.last_output_at_us),
        "byte_age_ms": _milliseconds(now_us - stream.last_byte_at_us),
        "pauses": stream.pause_count,
        "paused_ms": _milliseconds(stream.paused_us(now_us)),
    }


def _elapsed_ms(record: RequestRecord, moment_us: int) -> float:
    return _milliseconds(moment_us - record.accepted_at_us)


def _milliseconds(duration_us: int) -> float:
    return round(duration_us / US_PER_MS, 1)
