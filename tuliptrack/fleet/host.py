"""The hosts of a fleet, as configured for controllers."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Host"]


@dataclass(frozen=True, slots=True)
class Host:
    """One host. The fields are the keys of the operators' hosts file."""

    name: str
    zone: str
    agent: str
    """host:port of its agent."""
