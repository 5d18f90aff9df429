"""A small file that is whole or not there: written beside, synced, and put in place in one step, its digest
before it.

A process that is killed at any byte leaves the file as it was or as it was to be. What can't be read back is
an error, not an empty start: who forgets what it promised breaks its promise.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

import xxhash

__all__ = ["SealedError", "read", "write"]

_DIGEST = 16
MOST_BYTES = 4 << 20


class SealedError(Exception):
    """The file is damaged, or can't be written; the text says which."""


def read(path: Path) -> bytes | None:
    """What was written last; None where nothing ever was."""
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    except OSError as error:
        raise SealedError(f"{path}: {error.strerror or error}") from None
    digest, body = data[:_DIGEST], data[_DIGEST:]
    if xxhash.xxh3_128_digest(body) != digest:
        raise SealedError(f"{path}: its digest does not fit its bytes")
    return body


def write(path: Path, body: bytes) -> None:
    """Put these bytes in its place, on disk when this returns.

    SealedError leaves what was there, unless the folder itself could not be synced: then these bytes stand
    there, and a crash of the machine may bring back those before. Each write is made anew: nothing that an
    earlier one left is relied upon.
    """
    if len(body) > MOST_BYTES:
        raise SealedError(f"{path}: {len(body)} bytes are more than {MOST_BYTES}")
    beside = path.with_name(path.name + ".new")
    try:
        with open(beside, "wb") as file:
            file.write(xxhash.xxh3_128_digest(body) + body)
            file.flush()
            os.fsync(file.fileno())
        os.replace(beside, path)
        folder = os.open(path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
    except OSError as error:
        with contextlib.suppress(OSError):  # On a full disk what can't be used takes up room.
            beside.unlink(missing_ok=True)
        raise SealedError(f"{path}: {error.strerror or error}") from None
