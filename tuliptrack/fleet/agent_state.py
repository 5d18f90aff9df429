"""The state that an agent keeps on disk: its part in the consensus, and the last order that it carried out.

The stored form is JSON in a file with a checksum (`store/sealed.py`); its keys are part of the format.
"""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tuliptrack.decisions.consensus import Acceptor, Ballot
from tuliptrack.decisions.rollout_plan import NodeRelease
from tuliptrack.store import sealed

__all__ = ["FORMAT_VERSION", "AgentState", "load_state", "save_state"]

FORMAT_VERSION = 1


@dataclass(frozen=True, slots=True)
class AgentState:
    """The state of an agent. A change is stored before it takes effect."""

    acceptor: Acceptor
    order: Ballot
    """Ballot of the rollout record from which the last stored order was derived."""
    release: NodeRelease
    """The release that the node has to run."""
    change_count: int = 0
    """Orders that changed the release."""


def load_state(path: Path) -> AgentState | None:
    """Return the stored state, or None if there never was one.

    Raises:
        SealedError: The file is damaged, or of a newer format.
    """
    content = sealed.read(path)
    if content is None:
        return None
    stored: dict[str, Any] = json.loads(content)
    if stored["format"] > FORMAT_VERSION:
        raise sealed.SealedError(
            f"{path.resolve()}: format {stored['format']} is newer than {FORMAT_VERSION}"
        )
    return AgentState(
        Acceptor(stored["promised"], Ballot(*stored["mark"]), base64.b64decode(stored["value"])),
        Ballot(*stored["order"]),
        NodeRelease(*stored["release"]),
        stored["changes"],
    )


def save_state(path: Path, state: AgentState) -> None:
    """Store the state; on disk when this returns.

    Raises:
        SealedError: It could not be stored.
    """
    acceptor, release = state.acceptor, state.release
    stored = {
        "format": FORMAT_VERSION,
        "promised": acceptor.promised_epoch,
        "mark": acceptor.ballot,
        "order": state.order,
        "changes": state.change_count,
        "value": base64.b64encode(acceptor.value).decode(),
        "release": [release.program, release.settings],
    }
    sealed.write(path, json.dumps(stored).encode())
