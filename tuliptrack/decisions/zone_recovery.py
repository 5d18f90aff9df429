"""Detects zones that lost their endpoints, and ramps up their traffic once they have recovered.

Every node sees a recovery at nearly the same moment, in the endpoint list. If all nodes sent a recovered zone
its full traffic at once, the zone's queues would grow before any load report showed them. So sessions return
gradually: each has a position from 0 to 1, the same at all nodes, and those whose position is below a limit
return. The limit rises linearly over `RAMP_US`.

Each role of a zone is tracked separately. Times are in microseconds. The module does no I/O, reads no clock
and draws no random numbers. Memory bound: one entry for each zone and role that the endpoint list has named.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from tuliptrack.interface import Role

__all__ = ["ZoneChange", "ZoneRecovery", "ZoneState"]

LOST_SHARE = 0.5
"""A zone is lost while it has less than this share of its usual endpoints of a role."""
MIN_LOST_US = 3_000_000
"""Shortest loss after which traffic is ramped up; in a shorter one, sessions have not moved elsewhere yet."""
RAMP_US = 8_000_000
"""Time over which traffic is ramped up: a small multiple of the time until load reports show queues."""
INITIAL_SHARE = 0.1
"""Share of the sessions that return to a recovered zone at once, so that nodes observe its latency."""
FORGET_AFTER_US = 600_000_000
"""Time after which a lost zone's remaining endpoints count as its usual ones."""


class ZoneState(StrEnum):
    """What has happened to a zone's endpoints of one role; the values are logged."""

    LOST = "lost"
    RECOVERED = "recovered"
    """The zone was lost for less than `MIN_LOST_US`, so its traffic is not ramped up."""
    RECOVERING = "recovering"
    FORGOTTEN = "no longer expected back"


@dataclass(frozen=True, slots=True)
class ZoneChange:
    """A change of a zone's state, to be logged."""

    zone: int
    role: Role
    state: ZoneState

    def __str__(self) -> str:
        """Return the text for the log."""
        return f"zone {self.zone}: {self.role.value} endpoints {self.state.value}"


@dataclass(slots=True)
class _EndpointCount:
    """A zone's usual number of endpoints of one role, and the time since which the zone is lost."""

    usual: int
    lost_since_us: int | None = None


class ZoneRecovery:
    """The zones that are lost and those whose traffic is being ramped up, for each role."""

    def __init__(self) -> None:
        """Create the object without any known zones."""
        self._counts: dict[tuple[int, Role], _EndpointCount] = {}
        self._ramp_started_us: dict[tuple[int, Role], int] = {}

    @property
    def is_ramping_up(self) -> bool:
        """Whether the traffic of some zone is being ramped up."""
        return bool(self._ramp_started_us)

    def observe(self, now_us: int, usable: Iterable[tuple[int, Role]]) -> list[ZoneChange]:
        """Count usable endpoints, given as their zones and roles; return changes of zones' states."""
        counts: dict[tuple[int, Role], int] = {}
        for key in usable:
            counts[key] = counts.get(key, 0) + 1
        changes = []
        for key in counts.keys() | self._counts.keys():
            state = self._observe_count(now_us, key, counts.get(key, 0))
            if state is not None:
                changes.append(ZoneChange(*key, state))
        return sorted(changes, key=lambda change: (change.zone, change.role.value))

    def _observe_count(self, now_us: int, key: tuple[int, Role], count: int) -> ZoneState | None:
        known = self._counts.setdefault(key, _EndpointCount(count))
        is_lost = count < LOST_SHARE * known.usual
        if known.lost_since_us is None:
            if is_lost:
                known.lost_since_us = now_us
                return ZoneState.LOST
            known.usual = count
            return None
        if not is_lost:
            return self._recover(now_us, key, count, now_us - known.lost_since_us)
        if now_us - known.lost_since_us > FORGET_AFTER_US:
            known.usual, known.lost_since_us = count, None
            return ZoneState.FORGOTTEN
        self._ramp_started_us.pop(key, None)
        return None

    def _recover(self, now_us: int, key: tuple[int, Role], count: int, lost_us: int) -> ZoneState:
        known = self._counts[key]
        known.usual, known.lost_since_us = max(count, known.usual), None
        if lost_us < MIN_LOST_US:
            return ZoneState.RECOVERED
        self._ramp_started_us[key] = now_us
        return ZoneState.RECOVERING

    def admits(self, now_us: int, zone: int, role: Role, position: float) -> bool:
        """Whether a session may go to a zone; the session's `position` (0 to 1) is the same at all nodes."""
        started_us = self._ramp_started_us.get((zone, role))
        if started_us is None:
            return True
        admitted = INITIAL_SHARE + (1 - INITIAL_SHARE) * (now_us - started_us) / RAMP_US
        if admitted >= 1:
            del self._ramp_started_us[zone, role]
        return position < admitted
