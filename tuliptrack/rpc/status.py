"""gRPC status codes, the status of a finished call, and its written forms.

Source: the gRPC core documentation, "Status codes and their use in gRPC" and PROTOCOL-HTTP2.
"""

from __future__ import annotations

import base64
import binascii
from dataclasses import dataclass
from enum import IntEnum
from urllib.parse import quote_from_bytes, unquote_to_bytes

from google.protobuf.message import Message
from google.rpc import code_pb2, error_details_pb2, status_pb2

from tuliptrack.decisions.concurrency_limit import rejection_text

__all__ = [
    "Code",
    "Metadata",
    "Status",
    "decode_binary",
    "decode_timeout",
    "encode_binary",
    "encode_timeout",
    "from_http",
    "from_reset",
    "rejection_details",
    "rejection_status",
    "with_details",
]

Metadata = tuple[tuple[str, str | bytes], ...]
"""Pairs of a lower-case key and its value: bytes where the key ends in `-bin`, text elsewhere."""

_UNITS = {"H": 3_600_000_000, "M": 60_000_000, "S": 1_000_000, "m": 1_000, "u": 1, "n": 0}
_MAX_TIMEOUT_DIGITS = 8


class Code(IntEnum):
    """The canonical codes, by their numbers in `google.rpc.Code`."""

    OK = code_pb2.OK
    CANCELLED = code_pb2.CANCELLED
    UNKNOWN = code_pb2.UNKNOWN
    INVALID_ARGUMENT = code_pb2.INVALID_ARGUMENT
    DEADLINE_EXCEEDED = code_pb2.DEADLINE_EXCEEDED
    NOT_FOUND = code_pb2.NOT_FOUND
    ALREADY_EXISTS = code_pb2.ALREADY_EXISTS
    PERMISSION_DENIED = code_pb2.PERMISSION_DENIED
    RESOURCE_EXHAUSTED = code_pb2.RESOURCE_EXHAUSTED
    FAILED_PRECONDITION = code_pb2.FAILED_PRECONDITION
    ABORTED = code_pb2.ABORTED
    OUT_OF_RANGE = code_pb2.OUT_OF_RANGE
    UNIMPLEMENTED = code_pb2.UNIMPLEMENTED
    INTERNAL = code_pb2.INTERNAL
    UNAVAILABLE = code_pb2.UNAVAILABLE
    DATA_LOSS = code_pb2.DATA_LOSS
    UNAUTHENTICATED = code_pb2.UNAUTHENTICATED


@dataclass(frozen=True, slots=True)
class Status:
    """How a call ended: its code, a message for people, and a serialised `google.rpc.Status` or no bytes."""

    code: Code
    message: str = ""
    details: bytes = b""

    def parsed(self) -> list[Message]:
        """Return the known messages among the details; unknown and malformed ones are left out."""
        status = status_pb2.Status()
        try:
            status.ParseFromString(self.details)
        except Exception:  # The exception classes of protobuf depend on its implementation.
            return []
        found: list[Message] = []
        for packed in status.details:
            for kind in (
                error_details_pb2.RetryInfo,
                error_details_pb2.ErrorInfo,
                error_details_pb2.BadRequest,
            ):
                detail = kind()
                if packed.Is(kind.DESCRIPTOR) and packed.Unpack(detail):
                    found.append(detail)
        return found


def with_details(code: Code, message: str, *details: Message) -> Status:
    """Return a status that carries these messages."""
    status = status_pb2.Status(code=int(code), message=message)
    for detail in details:
        status.details.add().Pack(detail)
    return Status(code, message, status.SerializeToString())


def rejection_details(kind: str, retry_after_us: int, **facts: str) -> list[Message]:
    """Return the details of a rejection: its kind, its facts, and when to retry.

    `retry_after_us` is in microseconds; 0 means that no time is advised.
    """
    retry = error_details_pb2.RetryInfo()
    retry.retry_delay.FromMicroseconds(max(retry_after_us, 0))
    return [retry, error_details_pb2.ErrorInfo(reason=kind, domain="tuliptrack", metadata=facts)]


def rejection_status(reason: str, retry_after_us: int) -> Status:
    """Return the status of a rejection, with its reason and when to retry (microseconds; 0: no advice)."""
    return with_details(
        Code.UNAVAILABLE, rejection_text(reason), *rejection_details("REFUSED", retry_after_us, reason=reason)
    )


def from_http(status: int) -> Code:
    """Return the code for an answer that has this HTTP status and no grpc-status."""
    return {
        400: Code.INTERNAL,
        401: Code.UNAUTHENTICATED,
        403: Code.PERMISSION_DENIED,
        404: Code.UNIMPLEMENTED,
        429: Code.UNAVAILABLE,
        502: Code.UNAVAILABLE,
        503: Code.UNAVAILABLE,
        504: Code.UNAVAILABLE,
    }.get(status, Code.UNKNOWN)


def from_reset(error: int) -> Code:
    """Return the code for a stream that its peer has reset with this HTTP/2 error."""
    return {
        0x7: Code.UNAVAILABLE,
        0x8: Code.CANCELLED,
        0xB: Code.RESOURCE_EXHAUSTED,
        0xC: Code.PERMISSION_DENIED,
    }.get(error, Code.INTERNAL)


def encode_message(text: str) -> bytes:
    """Percent-encode the first 1024 bytes of a grpc-message.

    Only printable ASCII other than the percent sign stays as it is.
    """
    return quote_from_bytes(text.encode()[:1024], safe=" !\"#$&'()*+,/:;<=>?@[\\]^`{|}").encode()


def decode_message(value: str) -> str:
    return unquote_to_bytes(value).decode(errors="replace")


def decode_timeout(text: str) -> int:
    """Return the microseconds of a grpc-timeout; raise ValueError if it is malformed."""
    digits, unit = text[:-1], text[-1:]
    if (
        unit not in _UNITS
        or not digits.isascii()
        or not digits.isdigit()
        or len(digits) > _MAX_TIMEOUT_DIGITS
    ):
        raise ValueError(f"grpc-timeout: {text[:20]!r} is not up to 8 digits and one of H, M, S, m, u, n")
    return int(digits) * _UNITS[unit] if unit != "n" else int(digits) // 1000


def encode_timeout(us: int) -> bytes:
    """Return the grpc-timeout in the finest unit that fits into eight digits."""
    us = max(us, 1)
    for unit, size in (("u", 1), ("m", 1_000), ("S", 1_000_000), ("M", 60_000_000)):
        if us // size < 10**_MAX_TIMEOUT_DIGITS:
            return f"{us // size}{unit}".encode()
    return f"{min(us // _UNITS['H'], 10**_MAX_TIMEOUT_DIGITS - 1)}H".encode()


def encode_binary(value: bytes) -> bytes:
    return base64.b64encode(value).rstrip(b"=")


def decode_binary(text: str) -> bytes:
    """Return the bytes of a `-bin` value, padded or not; raise ValueError if it is not base64."""
    try:
        return base64.b64decode(text + "=" * (-len(text) % 4), validate=True)
    except binascii.Error as error:
        raise ValueError(f"not base64 ({error})") from None
