"""The endpoints that a request may be sent to."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from random import Random

from tuliptrack.state.endpoint import Endpoint
from tuliptrack.state.selection import random_member
from tuliptrack.structures.sorted_members import SortedMembers

__all__ = ["Candidates"]

MAX_DRAWS = 64
"""Maximum number of random draws for a suitable endpoint; after them all candidates are examined."""
MAX_MEAN_DRAWS = 8
"""Random draws are used only if at most this many are needed on average to find a suitable endpoint."""


@dataclass(slots=True)
class Candidates:
    """The ready endpoints of a role that a request may be sent to: all except the excluded ones."""

    ready: SortedMembers[Endpoint]
    excluded: set[int]
    """Ids of ready endpoints that are not candidates."""
    with_slot: list[Endpoint]
    """The candidates in slow start that have an open slot for the request."""

    def __len__(self) -> int:
        return len(self.ready) - len(self.excluded)

    def __contains__(self, endpoint: Endpoint) -> bool:
        endpoint_id = endpoint.info.id
        return endpoint_id not in self.excluded and endpoint_id in self.ready

    def among(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Return those of the given endpoints that are candidates."""
        ready, excluded = self.ready.keys(), self.excluded
        return [
            endpoint
            for endpoint in endpoints
            if endpoint.info.id in ready and endpoint.info.id not in excluded
        ]

    def __iter__(self) -> Iterator[Endpoint]:
        return (endpoint for endpoint in self.ready if endpoint.info.id not in self.excluded)

    def draw(self, fits: Callable[[Endpoint], bool], count: int, random: Random) -> Endpoint | None:
        """Return a uniformly random one of the `count` candidates for which `fits` is true.

        If many of them fit, random endpoints are tried first, so that the cost does not grow with the fleet.
        """
        for _ in range(MAX_DRAWS if MAX_MEAN_DRAWS * count >= len(self.ready) else 0):
            endpoint = self.ready[int(random.random() * len(self.ready))]
            if fits(endpoint):
                return endpoint
        return random_member([endpoint for endpoint in self if fits(endpoint)], random)
