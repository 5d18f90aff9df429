"""The protocols that clients speak. A new one is a file here and a line in `FRONTS`; `node/` knows none by name."""

from __future__ import annotations

from collections.abc import Callable

from tuliptrack.fronts import generation
from tuliptrack.fronts.port import Core
from tuliptrack.rpc.server import Server

__all__ = ["FRONTS"]

FRONTS: tuple[Callable[[Server, Core], None], ...] = (generation.install,)
"""Each serves its protocol on a server, for a core."""
