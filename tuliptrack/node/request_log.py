"""The line that a node logs for each request when the request is removed from the table."""

from __future__ import annotations

import structlog

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
    )


def _elapsed_ms(record: RequestRecord, moment_us: int) -> float:
    return round((moment_us - record.accepted_at_us) / US_PER_MS, 1)
