"""The folder of one host: the releases that can run there, and the files that the agent writes.

`programs/DIGEST/run` is called with the path of the settings and prints one JSON line once it is ready;
`settings/DIGEST` are the settings. The agent writes `state` (with a checksum), `owner` (a lock), and the
node's output and log.
"""

from __future__ import annotations

import os
import re
from pathlib import Path

from tuliptrack.decisions.rollout_plan import NodeRelease
from tuliptrack.store.sealed import SealedError

__all__ = ["HostFolder"]

DIGEST = re.compile(r"[0-9A-Za-z][0-9A-Za-z_.-]{0,127}")
"""Names of programs and settings; the pattern excludes paths out of their folder."""
LOCK_MODE = 0o644


class HostFolder:
    """Paths within a host's folder, and the lock that allows only one agent to use it."""

    def __init__(self, root: Path) -> None:
        """Create the folder if need be.

        Raises:
            SealedError: Another agent uses the folder.
        """
        self.root = root.resolve()
        root.mkdir(parents=True, exist_ok=True)
        self.state = root / "state"
        self.node_output = self.root / "node.out"
        self.node_log = self.root / "node.log"
        self._lock = _lock(root)

    def release_lock(self) -> None:
        """Let another agent have the folder."""
        os.close(self._lock)

    def program(self, release: NodeRelease) -> Path:
        """Return the path of a release's program."""
        return self.root / "programs" / release.program / "run"

    def settings(self, release: NodeRelease) -> Path:
        """Return the path of a release's settings."""
        return self.root / "settings" / release.settings

    def missing(self, release: NodeRelease) -> str:
        """Return why a release can't run on this host, as a text for operators; empty if it can."""
        for field, name in (("program", release.program), ("settings", release.settings)):
            if not DIGEST.fullmatch(name):
                return f"{field}: {name!r} is no digest"
        if not self.program(release).is_file():
            return f"program: {release.program!r} is not installed on this host"
        if not self.settings(release).is_file():
            return f"settings: {release.settings!r} are not installed on this host"
        return ""


def _lock(root: Path) -> int:
    """Return the descriptor that holds the lock until it is closed."""
    descriptor = os.open(root / "owner", os.O_CREAT | os.O_RDWR, LOCK_MODE)
    try:
        os.lockf(descriptor, os.F_TLOCK, 0)
    except OSError:
        os.close(descriptor)
        raise SealedError(f"{root}: another agent has this host") from None
    return descriptor
