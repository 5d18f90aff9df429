"""Parses a client's request: from the header fields of the platform's protocol to a `ClientRequest`.

Only this module knows the names of the clients' header fields. The body must be a JSON object and is
forwarded unchanged.
"""

from __future__ import annotations

import math
import re
from collections.abc import Mapping

from tuliptrack.fronts.port import ClientRequest, InvalidRequestError
from tuliptrack.relay.forwarded_request import ForwardedRequest
from tuliptrack.rpc.h1 import Fields
from tuliptrack.rpc.http1 import HttpCall
from tuliptrack.rpc.json_text import InvalidJsonError, parse_json

__all__ = ["check_body", "parse_call_id", "parse_request"]

MAX_BUDGET_S = 86_400.0
"""Maximum budget: one of more than a day is rejected as invalid."""
MAX_QUOTED_CHARACTERS = 40
"""Maximum number of characters of a wrong value that an error message quotes."""
MAX_QUOTED_ID_CHARACTERS = 60
MAX_QUOTED_METHOD_CHARACTERS = 20
MAX_ERROR_CHARACTERS = 200
_CALL_ID = re.compile(r"[A-Za-z0-9._~-]{1,128}")
_SINGLE_FIELDS = ("x-call-id", "x-call-class", "x-caller", "x-budget", "x-call-info")
"""Fields that may appear only once."""
_HOP_BY_HOP_FIELDS = frozenset(
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
"""Fields that apply to one connection only (RFC 9110, section 7.6.1)."""
_REPLACED_FIELDS = frozenset({"host", "x-call-id", "x-budget", "content-length", "expect", "accept-encoding"})
"""Fields that the node sets itself for each attempt or must not forward. The node parses the events of
engines, so the events must not arrive compressed."""


def parse_call_id(call: HttpCall) -> str:
    """Validate the method, the fields that may appear only once, and the call id; return the call id.

    Raises:
        InvalidRequestError: One of them is invalid.
    """
    if call.method != "POST":
        method = call.method[:MAX_QUOTED_METHOD_CHARACTERS]
        raise InvalidRequestError("method", f"POST expected, is {method!r}")
    names = [name for name, _ in call.fields]
    for name in _SINGLE_FIELDS:
        if names.count(name) > 1:
            raise InvalidRequestError(name, "stands twice")
    call_id = call.headers.get("x-call-id", "")
    if not call_id:
        raise InvalidRequestError("x-call-id", "is required")
    if not _CALL_ID.fullmatch(call_id):
        raise InvalidRequestError("x-call-id", f"{call_id[:MAX_QUOTED_ID_CHARACTERS]!r} is not a valid id")
    return call_id


def check_body(body: bytes) -> None:
    """Check that a body is a JSON object.

    Raises:
        InvalidRequestError: The body is not a JSON object.
    """
    try:
        value = parse_json(body)
    except InvalidJsonError as error:
        raise InvalidRequestError("body", f"is not JSON ({error})"[:MAX_ERROR_CHARACTERS]) from None
    if not isinstance(value, dict):
        raise InvalidRequestError("body", "must be a JSON object")


def parse_request(call: HttpCall, call_id: str, bytes_per_token: float) -> ClientRequest:
    """Return the request of a call; the prompt's tokens are estimated if the client does not state them.

    Raises:
        InvalidRequestError: A field has an invalid value.
    """
    headers = call.headers
    info = _parse_call_info(headers.get("x-call-info", ""))
    repeat = headers.get("x-again", "").strip().lower()
    estimated_tokens = max(round(len(call.body) / bytes_per_token), 1)
    prompt_tokens = _parse_count(info, "prompt_len") or estimated_tokens
    return ClientRequest(
        request_class=headers.get("x-call-class", ""),
        prompt="",
        tenant=headers.get("x-caller", ""),
        session=headers.get("x-route-hash", "") or call_id,
        prefix=info.get("prefix", ""),
        prompt_tokens=prompt_tokens,
        prefix_tokens=min(_parse_count(info, "prefix_len"), prompt_tokens),
        max_tokens=_parse_count(info, "max_out"),
        is_retry=repeat == "1",
        connection=call.connection,
        first_token_deadline_us=_parse_budget(headers.get("x-budget"), call.received_at_us),
        is_resumed=repeat == "again",
        call_id=call_id,
        is_disconnected=call.has_disconnected,
        payload=ForwardedRequest(call.method, call.target, call.body, _forwarded_fields(call.fields)),
    )


def _forwarded_fields(fields: Fields) -> Fields:
    """Return the fields to forward to engines: no replaced, hop-by-hop or `Connection`-listed ones."""
    named = {
        name.strip().lower() for field, value in fields if field == "connection" for name in value.split(",")
    }
    omitted = _HOP_BY_HOP_FIELDS | _REPLACED_FIELDS | named
    return [(name, value) for name, value in fields if name not in omitted]


def _parse_call_info(text: str) -> dict[str, str]:
    """Return the pairs of a list such as `prefix=a,prompt_len=9`; items that are not pairs are ignored."""
    pairs = (item.partition("=") for item in text.split(","))
    return {name.strip(): value.strip() for name, sign, value in pairs if sign}


def _parse_count(info: Mapping[str, str], name: str) -> int:
    text = info.get(name, "")
    if not text:
        return 0
    value = _parse_float(text)
    if not math.isfinite(value) or value < 0:
        quoted = repr(text[:MAX_QUOTED_CHARACTERS])
        raise InvalidRequestError(f"x-call-info.{name}", f"must be a number of at least 0, is {quoted}")
    return int(value)


def _parse_budget(text: str | None, received_at_us: int) -> int | None:
    """Return the monotonic time in microseconds at which the budget, stated in seconds, is used up.

    The client counts it from when it sent the request, so the time for which the request has waited at this
    node is part of it.
    """
    if text is None:
        return None
    budget_s = _parse_float(text)
    if not 0 < budget_s <= MAX_BUDGET_S:
        quoted = repr(text[:MAX_QUOTED_CHARACTERS])
        raise InvalidRequestError(
            "x-budget", f"must be seconds above 0, up to {MAX_BUDGET_S:.0f}, is {quoted}"
        )
    return received_at_us + int(budget_s * 1e6)


def _parse_float(text: str) -> float:
    """Return the number; NaN if the text is not a number."""
    try:
        return float(text)
    except ValueError:
        return math.nan
