"""What clients have asked of this node lately: the size of requests by class, and how often each prefix
came.
"""

from __future__ import annotations

from dataclasses import dataclass

from tuliptrack.interface import Role
from tuliptrack.state.smoothing import smoothed

__all__ = ["MAX_PREFIXES", "REQUEST_WEIGHT", "DemandStatistics", "RequestSize"]

MAX_PREFIXES = 256
"""Prefixes whose frequency is known; many more than the requests that the averages reflect."""
REQUEST_WEIGHT = 0.05
"""Weight of one request in the averages, which so reflect about the last twenty."""


@dataclass(frozen=True, slots=True)
class RequestSize:
    """Tokens of a request, or of the mean request."""

    prompt_tokens: float = 0.0
    """Prompt tokens that have to be prefilled."""
    output_tokens: float = 0.0

    def moved_towards(self, other: RequestSize, weight: float) -> RequestSize:
        """Return the average of this after a sample of the given weight."""
        return RequestSize(
            smoothed(self.prompt_tokens, other.prompt_tokens, weight),
            smoothed(self.output_tokens, other.output_tokens, weight),
        )


class DemandStatistics:
    """Mean request sizes by class and in all, and the share of requests that each prefix had.

    Bound: `MAX_PREFIXES` prefixes; the one that was not requested for the longest time is forgotten first.
    """

    def __init__(self) -> None:
        self.request_count = 0
        self.mean_size = RequestSize()
        self.mean_size_by_class: dict[int, RequestSize] = {}
        self._prefixes: dict[int, tuple[float, int]] = {}
        """For each prefix: its requests, decayed by the requests since, and the request count at its last
        one."""

    def record(self, class_index: int, size: RequestSize, prefix: int = 0) -> None:
        """Take one more request into account.

        The first requests weigh more than later ones. The overall mean starts at zero, so each class first
        counts as heavier than it is: twice, then one and a half times, and so on.
        """
        self.request_count += 1
        if prefix:
            self._record_prefix(prefix)
        weight = max(REQUEST_WEIGHT, 1 / (self.request_count + 1))
        self.mean_size = self.mean_size.moved_towards(size, weight)
        known = self.mean_size_by_class.get(class_index, size)
        self.mean_size_by_class[class_index] = known.moved_towards(size, weight)

    def _record_prefix(self, prefix: int) -> None:
        requests, count = self._prefixes.pop(prefix, (0.0, 0))
        decayed = requests * (1 - REQUEST_WEIGHT) ** (self.request_count - count)
        self._prefixes[prefix] = (decayed + 1, self.request_count)
        if len(self._prefixes) > MAX_PREFIXES:
            del self._prefixes[next(iter(self._prefixes))]

    def prefix_share(self, prefix: int) -> float:
        """Return the share of recent requests that had this prefix, from 0 to 1.

        A first request says nothing about how many will follow, so only repeated ones count. As many requests
        with other prefixes as the decay spans are assumed to precede the first one; a node that has seen few
        requests then does not take a prefix that came twice for a popular one.
        """
        requests, count = self._prefixes.get(prefix, (0.0, 0))
        repeated = max(requests * (1 - REQUEST_WEIGHT) ** (self.request_count - count) - 1, 0.0)
        return repeated * REQUEST_WEIGHT / (2 - (1 - REQUEST_WEIGHT) ** self.request_count)

    def relative_cost(self, class_index: int, role: Role) -> float:
        """Return how many mean requests one of this class costs an endpoint of a role.

        Prefill endpoints are charged for the prompt, decode endpoints for the output, endpoints that do both
        for the larger of the two.
        """
        own, mean = self.mean_size_by_class[class_index], self.mean_size
        prompt = own.prompt_tokens / max(mean.prompt_tokens, 1.0)
        output = own.output_tokens / max(mean.output_tokens, 1.0)
        if role is Role.PREFILL:
            return prompt
        return output if role is Role.DECODE else max(prompt, output)
