"""Allocates the addresses of a soak's processes, so that soaks on the same machine don't take each other's.

The ports below the system's range for outgoing connections are divided into blocks. A soak owns a block while it
listens on the block's first port.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["loopback_addresses"]

_FIRST_PORT, _END_PORT, _BLOCK_SIZE = 10_000, 32_700, 100
_HOST = "127.0.0.1"


@contextmanager
def loopback_addresses(count: int) -> Iterator[list[str]]:
    """Reserve `count` addresses (host:port) until the `with` block ends. Raises OSError if no block is free."""
    if count >= _BLOCK_SIZE:
        raise ValueError(f"count: at most {_BLOCK_SIZE - 1}, is {count}")
    blocks = list(range(_FIRST_PORT, _END_PORT, _BLOCK_SIZE))
    start = os.getpid() % len(blocks)
    for block in blocks[start:] + blocks[:start]:
        with socket.socket() as block_owner:
            if not _listen(block_owner, block):
                continue
            free = [port for port in range(block + 1, block + _BLOCK_SIZE) if _is_free(port)]
            if len(free) >= count:
                yield [f"{_HOST}:{port}" for port in free[:count]]
                return
    raise OSError("no block of loopback ports is free")


def _listen(listener: socket.socket, port: int) -> bool:
    try:
        listener.bind((_HOST, port))
        listener.listen(1)
    except OSError:
        return False
    return True


def _is_free(port: int) -> bool:
    with socket.socket() as listener:
        return _listen(listener, port)
