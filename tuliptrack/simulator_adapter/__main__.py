"""Runs the adapter on standard input and output."""

from __future__ import annotations

import sys

from tuliptrack.simulator_adapter.errors import WireError
from tuliptrack.simulator_adapter.host import serve

__all__ = ["main"]

EXIT_BAD_INPUT = 2


def main() -> int:
    """Answer batches until the input ends; return the exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"tuliptrack.simulator_adapter: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    except BrokenPipeError:
        return EXIT_BAD_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
