"""The size that the design is to fit: the users' figures, and what follows from them."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["TARGET", "Target"]


@dataclass(frozen=True, slots=True)
class Target:
    """Sizes, rates and budgets at the peak."""

    nodes: int = 350
    engines: int = 3_400
    zones: int = 8
    regions: int = 2
    models: int = 4
    tenants: int = 450
    requests_per_s: float = 2_500.0
    tokens_per_s: float = 690_000.0
    reader_share: float = 0.25
    state_bytes_per_s: float = 780e9
    token_gap_s: float = 0.07
    config_changes_per_day: float = 5_300.0
    config_within_s: float = 9.0
    restarts_per_day: float = 900.0
    failures_per_day: float = 29.0
    control_core_share: float = 0.032
    control_memory_bytes: float = 256e6
    control_bytes_per_s: float = 20e3
    control_machines: int = 11

    @property
    def node_requests_per_s(self) -> float:
        """Of one node, on the mean."""
        return self.requests_per_s / self.nodes

    @property
    def answer_tokens(self) -> float:
        """Mean length of an answer."""
        return self.tokens_per_s / self.requests_per_s

    @property
    def node_streams(self) -> float:
        """Answers that run at once at one node."""
        return self.node_requests_per_s * self.answer_tokens * self.token_gap_s

    @property
    def readers(self) -> float:
        """Engines that read prompts."""
        return self.engines * self.reader_share

    @property
    def writers(self) -> float:
        """Engines that write answers."""
        return self.engines - self.readers

    @property
    def zone_engines(self) -> int:
        """Engines of one zone."""
        return self.engines // self.zones

    @property
    def role_changes_per_day(self) -> float:
        """Engines that change role: half of the readers' share, there and back; each is two entries of the
        list.
        """
        return 2 * 2 * self.readers / 2

    @property
    def list_changes_per_day(self) -> float:
        """Changed entries of the list: a restart drains, goes and comes back; a failure goes and comes
        back.
        """
        return 3 * self.restarts_per_day + 2 * self.failures_per_day + self.role_changes_per_day

    @property
    def list_changes_per_s(self) -> float:
        """The same on an ordinary second."""
        return self.list_changes_per_day / 86_400

    @property
    def config_changes_per_s(self) -> float:
        """Changes of configuration on an ordinary second."""
        return self.config_changes_per_day / 86_400


TARGET = Target()
