"""Recent demand at this node: mean request sizes by class, and how often each prefix was requested."""

from __future__ import annotations

from dataclasses import dataclass

from tuliptrack.interface import Role
from tuliptrack.state.smoothing import smoothed

__all__ = ["MAX_PREFIXES", "REQUEST_WEIGHT", "DemandStatistics", "RequestSize"]

MAX_PREFIXES = 256
"""Maximum number of prefixes whose frequency is stored. It is much higher than the number of requests that
the averages reflect."""
REQUEST_WEIGHT = 0.05
"""Weight of one request in the averages, which therefore reflect about the last twenty requests."""


@dataclass(slots=True)
class RequestSize:
    """Tokens of a request, or of the mean request."""

    prompt_tokens: float = 0.0
    """Prompt tokens that have to be prefilled."""
    output_tokens: float = 0.0

    def averaged_with(self, other: RequestSize, weight: float) -> RequestSize:
        """Return this average after one more sample with the given weight."""
        return RequestSize(
            smoothed(self.prompt_tokens, other.prompt_tokens, weight),
            smoothed(self.output_tokens, other.output_tokens, weight),
        )


class DemandStatistics:
    """Mean request sizes by class and overall, and the share of requests that each prefix had.

    The statistics hold at most `MAX_PREFIXES` prefixes; the least recently requested one is evicted first.
    """

    def __init__(self) -> None:
        self.request_count = 0
        self.mean_size = RequestSize()
        self.mean_size_by_class: dict[int, RequestSize] = {}
        self._prefixes: dict[int, tuple[float, int]] = {}
        """For each prefix: its number of requests, which decays with each request of any prefix, and the
        value of `request_count` at the prefix's last request, up to which the number is decayed."""

    def record(self, class_index: int, size: RequestSize, prefix: int = 0) -> None:
        """Record one request.

        The first requests weigh more than later ones. The overall mean starts at zero, so at first each class
        seems more costly in relation to it than it is: by a factor of 2 after the first request, of 1.5 after
        the second, and so on.
        """
        self.request_count += 1
        if prefix:
            self._record_prefix(prefix)
        weight = max(REQUEST_WEIGHT, 1 / (self.request_count + 1))
        self.mean_size = self.mean_size.averaged_with(size, weight)
        class_mean = self.mean_size_by_class.get(class_index, size)
        self.mean_size_by_class[class_index] = class_mean.averaged_with(size, weight)

    def _record_prefix(self, prefix: int) -> None:
        requests, count = self._prefixes.pop(prefix, (0.0, 0))
        decayed = requests * (1 - REQUEST_WEIGHT) ** (self.request_count - count)
        self._prefixes[prefix] = (decayed + 1, self.request_count)
        if len(self._prefixes) > MAX_PREFIXES:
            del self._prefixes[next(iter(self._prefixes))]

    def prefix_share(self, prefix: int) -> float:
        """Return the share of recent requests that had this prefix, from 0 to 1.

        A first request says nothing about how many will follow, so only repeated ones count. The first
        request is treated as if it were preceded by as many requests with other prefixes as the decay spans,
        so a node that has seen few requests does not consider a prefix popular after two of them.
        """
        requests, count = self._prefixes.get(prefix, (0.0, 0))
        repeated = max(requests * (1 - REQUEST_WEIGHT) ** (self.request_count - count) - 1, 0.0)
        return repeated * REQUEST_WEIGHT / (2 - (1 - REQUEST_WEIGHT) ** self.request_count)

    def relative_cost(self, class_index: int, role: Role) -> float:
        """Return the cost of a request of a class to an endpoint of a role, in multiples of the mean request.

        Prefill endpoints are charged for the prompt, decode endpoints for the output, endpoints that do both
        for the larger of the two.
        """
        class_mean, mean = self.mean_size_by_class[class_index], self.mean_size
        prompt = class_mean.prompt_tokens / max(mean.prompt_tokens, 1.0)
        output = class_mean.output_tokens / max(mean.output_tokens, 1.0)
        if role is Role.PREFILL:
            return prompt
        return output if role is Role.DECODE else max(prompt, output)
