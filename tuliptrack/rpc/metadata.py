"""Converts the metadata of calls to HTTP/2 header fields and back."""

from __future__ import annotations

from collections.abc import Iterable

from tuliptrack.rpc.status import Metadata, decode_binary, encode_binary

__all__ = ["read_metadata", "write_metadata"]

_RESERVED_KEYS = {"te", "content-type", "user-agent", "host", "connection"}
_PROTOCOL_HEADERS = (
    b"grpc-timeout",
    b"grpc-encoding",
    b"grpc-accept-encoding",
    b"grpc-status",
    b"grpc-message",
    b"te",
    b"content-type",
    b"user-agent",
)


def read_metadata(headers: Iterable[tuple[bytes, bytes]]) -> Metadata:
    """Return the application's part of a header block; raise ValueError, naming the field, if one is
    malformed.
    """
    found: list[tuple[str, str | bytes]] = []
    for name, value in headers:
        if name.startswith(b":") or name in _PROTOCOL_HEADERS:
            continue
        key, text = name.decode("latin-1"), value.decode("latin-1")
        if key.endswith("-bin"):
            try:
                found += [(key, decode_binary(part.strip())) for part in text.split(",")]
            except ValueError as error:
                raise ValueError(f"{key[:60]}: {error}") from None
        else:
            found.append((key, text))
    return tuple(found)


def write_metadata(metadata: Metadata) -> list[tuple[bytes, bytes]]:
    """Return the header fields of metadata; raise ValueError if a key or value can't be sent."""
    found = []
    for key, value in metadata:
        if (
            key.startswith((":", "grpc-"))
            or key in _RESERVED_KEYS
            or not all(c.isascii() and (c.islower() or c.isdigit() or c in "-_.") for c in key)
        ):
            raise ValueError(f"metadata: {key!r} is not a key that may be sent")
        if isinstance(value, bytes):
            if not key.endswith("-bin"):
                raise ValueError(f"metadata: {key!r} has bytes, but does not end in -bin")
            found.append((key.encode(), encode_binary(value)))
        else:
            if not all(0x20 <= ord(c) <= 0x7E for c in value):
                raise ValueError(f"metadata: the value of {key!r} is not printable ASCII")
            found.append((key.encode(), value.strip().encode()))
    return found
