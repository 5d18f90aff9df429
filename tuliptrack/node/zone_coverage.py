"""Warns about zones without a ready prefill or decode endpoint: requests from there have to cross zones."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import structlog

from tuliptrack.interface import EndpointState, Role
from tuliptrack.state.endpoint import Endpoint

__all__ = ["ZoneCoverage"]

log = structlog.get_logger("node")


class ZoneCoverage:
    """Tracks which roles each zone lacks, as of the last endpoint list."""

    def __init__(self, zones: Iterable[int], zone_name: Callable[[int], str]) -> None:
        """Start with no zone known to lack a role.

        Args:
            zones: Zones that are checked even if they have no endpoint.
            zone_name: Returns the name of a zone, for the log.
        """
        self.zones, self.zone_name = frozenset(zones), zone_name
        self._missing: set[tuple[str, str]] = set()
        """Zones and their missing roles, by name, at the last check."""

    def check(self, endpoints: Iterable[Endpoint]) -> None:
        """Log the zones that lack a role now but did not at the last check."""
        ready = [endpoint for endpoint in endpoints if endpoint.info.state is EndpointState.READY]
        served = {(endpoint.info.zone, role) for endpoint in ready for role in _roles_of(endpoint)}
        zones = self.zones | {endpoint.info.zone for endpoint in ready}
        missing = {
            (self.zone_name(zone), role.value)
            for zone in zones
            for role in (Role.PREFILL, Role.DECODE)
            if (zone, role) not in served
        }
        for zone, role_name in sorted(missing - self._missing):
            log.warning("zone lacks a role", zone=zone, role=role_name)
        self._missing = missing


def _roles_of(endpoint: Endpoint) -> tuple[Role, ...]:
    if endpoint.role is Role.PREFILL_AND_DECODE:
        return Role.PREFILL, Role.DECODE
    return (endpoint.role,)
