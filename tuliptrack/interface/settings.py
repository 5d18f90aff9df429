"""The settings of a node. Times are microseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = [
    "CrossZoneCause",
    "Idempotency",
    "IdempotencyScope",
    "RequestClass",
    "Role",
    "Settings",
    "Tenant",
    "ZoneBudget",
]


class Role(Enum):
    """The stages of a request that a kind of endpoint serves."""

    PREFILL = "prefill"
    DECODE = "decode"
    PREFILL_AND_DECODE = "prefill and decode"


class Idempotency(Enum):
    """Whether a request may be sent more than once."""

    IDEMPOTENT = "idempotent"
    """Repeating it has no effect."""
    WITH_KEY = "with key"
    """It carries an idempotency key: endpoints of a scope drop repeats within the deduplication window."""
    NOT_IDEMPOTENT = "not idempotent"
    """Repeating it does harm."""


class IdempotencyScope(Enum):
    """The endpoints that share idempotency keys, and so drop repeats of each other's requests."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests. ValueError names a field that is out of range."""

    name: str
    priority_weight: float
    latency_objective_us: int
    """For the time to the first token."""
    deadline_us: int
    """For the time to the final answer."""
    objective_us_per_1000_tokens: float = 0.0
    """Added to the latency objective for each 1,000 tokens of the prompt."""
    inter_token_objective_us: float = 0.0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    idempotency_scope: IdempotencyScope = IdempotencyScope.ALL
    deduplication_window_us: int = 0

    def __post_init__(self) -> None:
        """Check the values."""
        _check_positive(self, "priority_weight", "latency_objective_us", "deadline_us")
        _check_not_negative(
            self,
            "objective_us_per_1000_tokens",
            "inter_token_objective_us",
            "deduplication_window_us",
        )


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant, and the requests per second that its quota allows over all nodes together."""

    name: str
    share: float
    quota_per_s: float

    def __post_init__(self) -> None:
        """Check the values."""
        _check_not_negative(self, "share", "quota_per_s")


class CrossZoneCause(Enum):
    """Why an attempt moves bytes between zones."""

    BUDGET = "budget"
    """The endpoint was chosen, and the budget had capacity."""
    FORCED = "forced"
    """No other endpoint could serve the request, or serve it in time, and the budget had no capacity."""
    RETRY = "retry"
    """A retry of a request's stage, within the budget."""


@dataclass(frozen=True, slots=True)
class ZoneBudget:
    """Bytes that may cross zones for some classes, or for all (`classes` empty), all nodes together.

    `bytes_per_s` in the long run, `burst` at once; granted to the nodes in rotation in units of `quantum`
    bytes, which is at least what a usual request moves. `by_traffic` is the share that the nodes earn by the
    requests that arrive there instead, measured by the tenants' quotas.
    """

    bytes_per_s: float
    burst: float
    quantum: float
    classes: frozenset[int] = frozenset()
    by_traffic: float = 0.0

    def __post_init__(self) -> None:
        """Check the values."""
        _check_not_negative(self, "bytes_per_s")
        if not 0 <= self.by_traffic <= 1:
            raise ValueError(f"by_traffic: must lie in [0, 1], got {self.by_traffic!r}")
        if not 0 < self.quantum <= self.burst:
            raise ValueError(
                f"quantum: must be above 0 and at most burst ({self.burst!r}), got {self.quantum!r}"
            )


@dataclass(frozen=True, slots=True)
class Settings:
    """The configuration of a node; the same for all nodes except for `replica_index`.

    How much an endpoint in slow start is sent follows from `replica_index`, `replicas` and the tenants'
    quotas, whose sum is used as the capacity of the whole fleet: each node needs an index of its own.

    Without `zone_budgets`, traffic between zones is neither limited nor priced. ValueError names a field that
    is out of range.
    """

    replicas: int
    """Nodes of the fleet."""
    classes: tuple[RequestClass, ...]
    roles: tuple[Role, ...]
    """The role of each kind of endpoint, by the kind's index."""
    tenants: tuple[Tenant, ...] = ()
    replica_index: int = 0
    """Index of this node, below `replicas`."""
    zone: int = 0
    """Zone of this node."""
    over_quota_weight_factor: float = 1.0
    """Multiplies the priority weight of requests above their tenant's quota."""
    max_attempts: int = 1
    """Attempts of one request, the prefill included."""
    release_within_us: int = 300_000
    """How long a KV state may stay reserved without an attempt at an endpoint."""
    drain_grace_us: int = 0
    """After an endpoint is listed as draining, how long new attempts there are tolerated."""
    must_subscribe: bool = False
    """Whether the endpoint list has to be subscribed to."""
    slow_start_us: int = 0
    """How long an endpoint is in slow start after its start."""
    slow_start_initial_share: float = 1.0
    """Share of its capacity that an endpoint has at its start."""
    slow_start_overload_factor: float = 1.0
    """Multiple of its capacity in a window at which an endpoint in slow start fails."""
    slow_start_window_us: int = 1_000_000
    connect_timeout_us: int = 250_000
    may_cancel: bool = False
    may_send_retry_after: bool = False
    may_resume: bool = False
    """Whether clients can resume streams, so that streams may be migrated."""
    max_retry_after_us: int = 0
    report_fields: tuple[str, ...] = ()
    """Names of the values of a load report. The router reads `in_flight` (requests, with reserved KV states),
    `memory_share` (0 to 1) and `tokens_waiting_k` (thousands of tokens to prefill or fetch)."""
    zone_budgets: tuple[ZoneBudget, ...] = ()
    prompt_bytes: float = 0.0
    """Bytes of a token of the prompt in cross-zone traffic."""
    state_bytes: float = 0.0
    """Bytes of a token of KV state."""
    answer_bytes: float = 0.0
    """Bytes of a token of output."""
    epoch_offset_us: int = 0
    """Offset from the host's clock to a clock that all nodes share."""

    def __post_init__(self) -> None:
        """Check the values."""
        _check_positive(
            self,
            "replicas",
            "max_attempts",
            "release_within_us",
            "slow_start_overload_factor",
            "slow_start_window_us",
        )
        _check_not_negative(
            self,
            "replica_index",
            "zone",
            "over_quota_weight_factor",
            "drain_grace_us",
            "slow_start_us",
            "connect_timeout_us",
            "max_retry_after_us",
        )
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        if not self.roles:
            raise ValueError("roles: at least one is needed")
        if not 0 < self.slow_start_initial_share <= 1:
            raise ValueError(
                f"slow_start_initial_share: must lie in (0, 1], got {self.slow_start_initial_share!r}"
            )


def _check_positive(record: object, *names: str) -> None:
    for name in names:
        if not getattr(record, name) > 0:
            raise ValueError(f"{name}: must be above 0, got {getattr(record, name)!r}")


def _check_not_negative(record: object, *names: str) -> None:
    for name in names:
        if not getattr(record, name) >= 0:
            raise ValueError(f"{name}: must not be negative, got {getattr(record, name)!r}")
