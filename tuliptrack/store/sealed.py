"""Small files that are replaced atomically, with a checksum before the content.

A write goes to a temporary file in the same folder, which is synced and then renamed. A process that is
killed at any moment leaves the old content or the new. Damaged content is an error and is never taken for a
file that does not exist: a process that forgot what it had promised could break the promise.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

import xxhash

__all__ = ["SealedError", "read", "write"]

_DIGEST_BYTES = 16
MAX_BYTES = 4 << 20


class SealedError(Exception):
    """The file is damaged, or can't be read or written; the text says which."""


def read(path: Path) -> bytes | None:
    """Return what was written last, or None if the file does not exist.

    Raises:
        SealedError: The file is damaged or can't be read.
    """
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    except OSError as error:
        raise SealedError(f"{path}: {error.strerror or error}") from None
    digest, body = data[:_DIGEST_BYTES], data[_DIGEST_BYTES:]
    if xxhash.xxh3_128_digest(body) != digest:
        raise SealedError(f"{path}: the digest does not match the content")
    return body


def write(path: Path, body: bytes) -> None:
    """Replace the content of the file; it is on disk when this returns.

    A write does not rely on anything that a failed one left behind.

    Raises:
        SealedError: The file is too large, or the disk failed. The old content remains, unless only the sync
            of the folder failed: then the new content is in place, and a crash of the machine may restore the
            old.
    """
    if len(body) > MAX_BYTES:
        raise SealedError(f"{path}: {len(body)} bytes are more than {MAX_BYTES}")
    temporary = path.with_name(path.name + ".new")
    try:
        with open(temporary, "wb") as file:
            file.write(xxhash.xxh3_128_digest(body) + body)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
        folder = os.open(path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
    except OSError as error:
        with contextlib.suppress(OSError):  # A useless file would take up space on a full disk.
            temporary.unlink(missing_ok=True)
        raise SealedError(f"{path}: {error.strerror or error}") from None
