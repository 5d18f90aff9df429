"""The settings of a soak's nodes, and the names and addresses that its processes share."""

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
"""One request class for each effect, with the same name."""
DRAIN_GRACE_S, REPEAT_WINDOW_S, COLD_S, FALL_S = 0.5, 1.5, 8.0, 1.0
SLACK_S = 0.3
"""What the platform adds to the time for which a KV state may be held."""
_REVISION_OF_SETTINGS = 1


@dataclass(frozen=True)
class World:
    """The schedule, folder and addresses of a soak, read by each of its processes."""

    schedule: Schedule
    folder: Path
    began: float
    """Second 0 of the soak, on the monotonic clock."""
    engines: dict[str, str]
    """The engines' own addresses."""
    proxies: dict[str, str]
    """The addresses that the list gives instead."""
    agents: dict[str, tuple[str, str]]
    """Two addresses of the agent for each node."""
    nodes: dict[str, str]

    def write(self) -> Path:
        """Write `world.json` for the other processes."""
        path = self.folder / "world.json"
        fields = {**self.__dict__, "schedule": self.schedule.as_json(), "folder": str(self.folder)}
        path.write_text(json.dumps(fields))
        return path

    @staticmethod
    def read(path: Path) -> World:
        """Read a file that `write` has written."""
        fields = json.loads(path.read_text())
        agents = {name: (first, second) for name, (first, second) in fields["agents"].items()}
        return World(
            **{
                **fields,
                "schedule": Schedule.from_json(fields["schedule"]),
                "folder": Path(fields["folder"]),
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
    """The settings that the platform gives to all nodes alike."""
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
            "resume": schedule.may_resume,
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
