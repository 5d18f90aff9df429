"""What a node was asked lately: by class, and by prefix."""

from __future__ import annotations

from tuliptrack.interface import Role

__all__ = ["PREFIXES_KEPT", "Asked"]

PREFIXES_KEPT = 256  # prefixes of which is known how often they came: far more than the requests that count


class Asked:
    """What this node was asked: mean tokens of prompt to read and of answer, by class and in all, and how
    much of it each prefix was lately. Bound: `PREFIXES_KEPT`; the one not asked for longest is forgotten."""

    def __init__(self) -> None:
        self.count = 0
        self.all = (0.0, 0.0)
        self.by_class: dict[int, tuple[float, float]] = {}
        self._prefixes: dict[int, tuple[float, int]] = {}
        """Requests with a prefix, fading as others come, and how many had come in all at the last one."""

    def note(self, cls: int, prompt: float, answer: float, weight: float, prefix: int = 0) -> None:
        """Take one more request, of which the first ones weigh more. What is known of all starts at nil, so
        that each class looks heavy at first: twice, then half again what it is, and so on."""
        new = (prompt, answer)
        self.count += 1
        if prefix:
            seen, at = self._prefixes.pop(prefix, (0.0, 0))
            self._prefixes[prefix] = (seen * (1 - weight) ** (self.count - at) + 1, self.count)
            if len(self._prefixes) > PREFIXES_KEPT:
                del self._prefixes[next(iter(self._prefixes))]
        weight = max(weight, 1 / (self.count + 1))
        self.all = _toward(self.all, new, weight)
        self.by_class[cls] = _toward(self.by_class.get(cls, new), new, weight)

    def part(self, prefix: int, weight: float) -> float:
        """The part of what was asked lately that had this prefix, 0 to 1; `weight` as in `note`. The first
        request with one says nothing of how many there are, so only those that came again count; as many
        requests as the fading spans are taken to have come before the first, each with another prefix, so
        that a node that has seen little does not call hot what came twice."""
        seen, at = self._prefixes.get(prefix, (0.0, 0))
        again = max(seen * (1 - weight) ** (self.count - at) - 1, 0.0)
        return again * weight / (2 - (1 - weight) ** self.count)

    def heaviness(self, cls: int, role: Role) -> float:
        """How many mean requests one of this class weighs: by its prompt at readers, by its answer at
        writers, by whichever is more at mixed servers."""
        prompt, answer = (own / max(of, 1.0) for own, of in zip(self.by_class[cls], self.all, strict=True))
        return prompt if role is Role.READ else answer if role is Role.WRITE else max(prompt, answer)


def _toward(old: tuple[float, float], new: tuple[float, float], weight: float) -> tuple[float, float]:
    return old[0] + weight * (new[0] - old[0]), old[1] + weight * (new[1] - old[1])
