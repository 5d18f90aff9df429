"""The deployment size that the design must support: figures given by users, and values derived from them."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["TARGET", "Target"]


@dataclass(frozen=True, slots=True)
class Target:
    """Sizes, peak rates and budgets of the deployment."""

    nodes: int = 350
    engines: int = 3_400
    zones: int = 8
    regions: int = 2
    models: int = 4
    tenants: int = 450
    requests_per_s: float = 2_500.0
    tokens_per_s: float = 690_000.0
    prefill_share: float = 0.25
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
        """Mean request rate of one node."""
        return self.requests_per_s / self.nodes

    @property
    def answer_tokens(self) -> float:
        """Mean tokens of a response."""
        return self.tokens_per_s / self.requests_per_s

    @property
    def node_streams(self) -> float:
        """Mean number of concurrent streams of one node."""
        return self.node_requests_per_s * self.answer_tokens * self.token_gap_s

    @property
    def prefill_engines(self) -> float:
        """Number of prefill engines."""
        return self.engines * self.prefill_share

    @property
    def decode_engines(self) -> float:
        """Number of decode engines."""
        return self.engines - self.prefill_engines

    @property
    def zone_engines(self) -> int:
        """Number of engines of one zone."""
        return self.engines // self.zones

    @property
    def role_changes_per_day(self) -> float:
        """Changed entries of the list due to role changes: half of the prefill engines change to decode and back,
        and each change is two entries.
        """
        return 2 * 2 * self.prefill_engines / 2

    @property
    def list_changes_per_day(self) -> float:
        """Changed entries of the list: three for a restart (draining, removed, added), two for a failure
        (removed, added).
        """
        return 3 * self.restarts_per_day + 2 * self.failures_per_day + self.role_changes_per_day

    @property
    def list_changes_per_s(self) -> float:
        """Mean of `list_changes_per_day` per second."""
        return self.list_changes_per_day / 86_400

    @property
    def config_changes_per_s(self) -> float:
        """Mean of `config_changes_per_day` per second."""
        return self.config_changes_per_day / 86_400


TARGET = Target()
