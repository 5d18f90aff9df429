"""Addresses of a soak's processes, which no other soak on this machine takes meanwhile.

Ports below those that the system gives to outgoing connections are dealt out in blocks. Who listens on a
block's first port has the block.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["loopback_addresses"]

_FIRST, _END, _BLOCK = 10_000, 32_700, 100
_HOST = "127.0.0.1"


@contextmanager
def loopback_addresses(count: int) -> Iterator[list[str]]:
    """So many addresses as host:port, until the block's end; OSError where no block is free."""
    if count >= _BLOCK:
        raise ValueError(f"count: at most {_BLOCK - 1}, is {count}")
    blocks = list(range(_FIRST, _END, _BLOCK))
    start = os.getpid() % len(blocks)
    for block in blocks[start:] + blocks[:start]:
        with socket.socket() as owner:
            if not _listen(owner, block):
                continue
            free = [port for port in range(block + 1, block + _BLOCK) if _is_free(port)]
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
    with socket.socket() as probe:
        return _listen(probe, port)
