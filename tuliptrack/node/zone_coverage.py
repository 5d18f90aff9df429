"""Warns of zones without a ready prefill or decode endpoint, from which every request has to cross."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import structlog

from tuliptrack.interface import EndpointState, Role
from tuliptrack.state.endpoint import Endpoint

__all__ = ["ZoneCoverage"]

log = structlog.get_logger("node")


class ZoneCoverage:
    """What each zone lacks, as of the last endpoint list."""

    def __init__(self, zones: Iterable[int], zone_name: Callable[[int], str]) -> None:
        """Begin without warnings.

        Args:
            zones: Zones that are looked at even if no endpoint stands there.
            zone_name: Returns the name of a zone, for the log.
        """
        self.zones, self.zone_name = frozenset(zones), zone_name
        self._missing: set[tuple[str, str]] = set()
        """Zone and role, by name, that were missing when last looked at."""

    def check(self, endpoints: Iterable[Endpoint]) -> None:
        """Log the zones that lack a role now and did not before."""
        ready = [one for one in endpoints if one.info.state is EndpointState.READY]
        served = {(one.info.zone, role) for one in ready for role in _roles_of(one)}
        zones = self.zones | {one.info.zone for one in ready}
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
