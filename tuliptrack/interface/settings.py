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
    """A repeat of the request has no further effect."""
    WITH_KEY = "with key"
    """The request carries an idempotency key: endpoints in the scope of the key drop repeats of the request
    within the deduplication window."""
    NOT_IDEMPOTENT = "not idempotent"
    """A repeat of the request does harm."""


class IdempotencyScope(Enum):
    """The endpoints that share idempotency keys, and so drop repeats of each other's requests."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests. A field that is out of range raises a ValueError, which names the field."""

    name: str
    priority_weight: float
    latency_objective_us: int
    """Objective for the time from a request's arrival to its first token."""
    deadline_us: int
    """Limit of the time from a request's arrival to its final answer."""
    objective_us_per_1000_tokens: float = 0.0
    """Microseconds that are added to the latency objective for each 1,000 tokens of the prompt."""
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
    """The router chose an endpoint in another zone, and the budget had capacity."""
    FORCED = "forced"
    """No other endpoint could serve the request, or serve it in time, and the budget had no capacity."""
    RETRY = "retry"
    """A retry of a request's stage, within the budget."""


@dataclass(frozen=True, slots=True)
class ZoneBudget:
    """A limit on the bytes that all nodes together may move between zones.

    The limit applies to the request classes in `classes`, or to all classes if `classes` is empty. Up to
    `bytes_per_s` may be moved in the long run, and up to `burst` bytes at once. The bytes are granted to the
    nodes in rotation, in units of `quantum` bytes, which is at least what a usual request moves. The
    fraction `by_traffic` of the budget is not granted in rotation: the nodes earn it by the requests that
    arrive at them, measured by the tenants' quotas.
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

    Each node needs an index of its own: the number of requests that a node sends to an endpoint in slow start
    follows from `replica_index`, `replicas` and the tenants' quotas. The sum of the quotas is used as the
    capacity of the whole fleet.

    Without `zone_budgets`, traffic between zones is neither limited nor priced. A field that is out of range
    raises a ValueError, which names the field.
    """

    replicas: int
    """Number of nodes that share the traffic, including this node."""
    classes: tuple[RequestClass, ...]
    roles: tuple[Role, ...]
    """The role of each kind of endpoint, by the kind's index."""
    tenants: tuple[Tenant, ...] = ()
    replica_index: int = 0
    """Index of this node, below `replicas`."""
    zone: int = 0
    """Zone of this node."""
    over_quota_weight_factor: float = 1.0
    """Factor for the priority weight of requests above their tenant's quota."""
    max_attempts: int = 1
    """Maximum number of attempts of one request; prefills count as attempts."""
    release_within_us: int = 300_000
    """Time for which a KV state may stay reserved while its request has no attempt at any endpoint."""
    drain_grace_us: int = 0
    """Time for which new attempts at an endpoint are tolerated after it is listed as draining."""
    must_subscribe: bool = False
    """Whether the router has to subscribe to the endpoint list."""
    slow_start_us: int = 0
    """Duration of slow start, from the start of the endpoint."""
    slow_start_initial_share: float = 1.0
    """Share of its capacity that an endpoint has at its start."""
    slow_start_overload_factor: float = 1.0
    """Load at which an endpoint in slow start fails, as a multiple of its capacity in a window of
    `slow_start_window_us`."""
    slow_start_window_us: int = 1_000_000
    connect_timeout_us: int = 250_000
    may_cancel: bool = False
    may_send_retry_after: bool = False
    may_resume: bool = False
    """Whether clients can resume streams, so that streams may be migrated."""
    max_retry_after_us: int = 0
    report_fields: tuple[str, ...] = ()
    """Names of the values in a load report, in their order. The router reads `in_flight` (number of requests,
    including those with a reserved KV state), `memory_share` (0 to 1) and `tokens_waiting_k` (thousands of
    tokens that wait to be prefilled or fetched)."""
    zone_budgets: tuple[ZoneBudget, ...] = ()
    prompt_bytes: float = 0.0
    """Number of bytes that one prompt token adds to cross-zone traffic."""
    state_bytes: float = 0.0
    """Number of bytes that the KV state of one token adds to cross-zone traffic."""
    answer_bytes: float = 0.0
    """Number of bytes that one output token adds to cross-zone traffic."""
    epoch_offset_us: int = 0
    """Microseconds to add to the host's clock to obtain the clock that all nodes share."""

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
