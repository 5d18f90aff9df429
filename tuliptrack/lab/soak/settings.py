"""The settings that a soak's nodes are told, and the names that its processes share."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tuliptrack.lab.soak.schedule import Schedule

__all__ = [
    "COLD_S",
    "DRAIN_GRACE_S",
    "EFFECTS",
    "FALL_S",
    "REPEAT_WINDOW_S",
    "SLACK_S",
    "World",
    "node_config",
    "node_settings",
]

EFFECTS = ("free", "guarded", "single_shot")
"""A class of each effect, named after it."""
DRAIN_GRACE_S, REPEAT_WINDOW_S, COLD_S, FALL_S = 0.5, 1.5, 8.0, 1.0
SLACK_S = 0.3
"""What the platform adds to the time for which a state may be held."""
_REVISION_OF_SETTINGS = 1


@dataclass(frozen=True)
class World:
    """A soak's schedule, folder and addresses, as each of its processes reads them."""

    schedule: Schedule
    folder: Path
    began: float
    """On the monotonic clock."""
    engines: dict[str, str]
    """The engines' own addresses."""
    proxies: dict[str, str]
    """What the list says instead."""
    agents: dict[str, tuple[str, str]]
    """Two addresses of the list's agent for each node."""
    nodes: dict[str, str]

    def write(self) -> Path:
        """Write it down for the other processes."""
        path = self.folder / "world.json"
        told = {**self.__dict__, "schedule": self.schedule.as_json(), "folder": str(self.folder)}
        path.write_text(json.dumps(told))
        return path

    @staticmethod
    def read(path: Path) -> World:
        """The world of a file."""
        told = json.loads(path.read_text())
        agents = {name: (first, second) for name, (first, second) in told["agents"].items()}
        return World(
            **{
                **told,
                "schedule": Schedule.from_json(told["schedule"]),
                "folder": Path(told["folder"]),
                "agents": agents,
            }
        )


def _class(effect: str, deadline_s: float, aim_s: float) -> dict[str, Any]:
    return {
        "name": effect,
        "importance": 1.0,
        "promise": int(min(deadline_s, aim_s) * 1e6),
        "deadline": int(deadline_s * 1e6),
        "effect": effect,
        "dedupWindow": int(REPEAT_WINDOW_S * 1e6),
        "stream": True,
    }


def node_settings(schedule: Schedule) -> dict[str, Any]:
    """What the platform tells every node alike."""
    classes = [
        _class(effect, deadline, schedule.aim_s)
        for effect, deadline in zip(EFFECTS, schedule.deadlines_s, strict=True)
    ]
    return {
        "classes": classes,
        "discovery": "automatic",
        "failureDomains": ["z"],
        "hostTypes": ["reads", "writes", "both"],
        "granularity": 4_000,
        "limits": {
            "cancel": True,
            "connIdle": 3_000_000,
            "connectTimeout": 250_000,
            "maxRetryAfter": 500_000,
            "mostTries": 5,
            "openCap": 20_000,
            "retryAfter": True,
        },
        "obligations": {
            "answerSlack": 16_000,
            "cold": int(COLD_S * 1e6),
            "coldFrom": schedule.cold_from,
            "drainGrace": int(DRAIN_GRACE_S * 1e6),
            "fall": int(FALL_S * 1e6),
            "fallMultiple": schedule.fall_multiple,
        },
        "projects": [{"name": "acme", "quotaPerS": schedule.quota_per_s, "share": 1.0}],
        "replicasOfMe": schedule.nodes,
        "slotNo": 0,
        "reporting": {"fields": ["inflight", "x0"], "how": "piggyback"},
        "specifics": {
            "dutyByKind": ["read", "write", "both"],
            "letGoBy": int(schedule.release_within_s * 1e6),
            "resume": True,
            "writersRead": False,
        },
    }


def node_config(world: World, node: str, agent: str, members: list[dict[str, Any]]) -> str:
    """A node's configuration file."""
    settings = {**node_settings(world.schedule), "slotNo": world.schedule.node_names.index(node)}
    return json.dumps(
        {
            "name": node,
            "listen": world.nodes[node],
            "discovery": agent,
            "seed": f"{world.schedule.seed:x}",
            "settings": settings,
            "limits": {"memory_mb": 128, "sockets": 512},
            "known": {"revision": _REVISION_OF_SETTINGS, "complete": True, "members": members},
        }
    )
