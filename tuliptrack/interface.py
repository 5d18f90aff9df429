"""The interface of the decision module: settings, events and actions, in the field's own terms.

A host builds one `tuliptrack.brain.Router(settings, seed)` for each node, feeds it events with
`handle(now, events)` and carries out the actions that come back, in order. All times are whole
microseconds on the host's own clock, which only goes forward; all sizes are tokens. Nothing here
decides anything: it is a vocabulary, so that the module stays free of any transport's words.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = [
    "Action",
    "Cancel",
    "Cause",
    "ClientGone",
    "CloseIdle",
    "Effect",
    "Event",
    "Fail",
    "FetchFleet",
    "FleetChange",
    "HandBack",
    "HoldAhead",
    "KeyScope",
    "ListKind",
    "Log",
    "Outcome",
    "PeerMessage",
    "PlaceNote",
    "Probe",
    "ProbeResult",
    "Refuse",
    "Release",
    "Request",
    "RequestClass",
    "Role",
    "Send",
    "Server",
    "ServerState",
    "SetTimer",
    "Settings",
    "Started",
    "Status",
    "Subscribe",
    "TellPeers",
    "Tenant",
    "Timer",
    "ZoneBudget",
]


class Role(Enum):
    """What a kind of server does with a request."""

    READ = "read"
    WRITE = "write"
    BOTH = "both"


class Effect(Enum):
    """What repeating a request does: nothing, nothing within a group and window, or harm."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class KeyScope(Enum):
    """The group of servers that drops the repeats of one keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ServerState(Enum):
    """What the server list last said of a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a change of the server list is to be applied to the list already held."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class Status(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    READ = "read"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"

    def may_have_run(self, reading: bool) -> bool:
        """Whether an attempt that ended so may have had an effect. A read has none unless it was given up:
        where its engine hangs it may run yet."""
        if reading:
            return self is Status.TIMEOUT
        return self not in (Status.FULL, Status.CONNECT_FAILED, Status.MOOT, Status.READ)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests: its worth, its times and what repeating it does."""

    name: str
    worth: float
    aim: int
    deadline: int
    aim_per_1000_tokens: float = 0.0
    token_aim: float = 0.0
    late_share: float = 0.0
    effect: Effect = Effect.SAFE
    key_scope: KeyScope = KeyScope.ALL
    dedup_window: int = 0
    streamed: bool = True

    def __post_init__(self) -> None:
        _positive(self, "worth", "aim", "deadline")
        _not_negative(self, "aim_per_1000_tokens", "token_aim", "late_share", "dedup_window")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer, with the requests a second that its share allows over all nodes together."""

    name: str
    share: float
    quota_per_s: float

    def __post_init__(self) -> None:
        _not_negative(self, "share", "quota_per_s")


class Cause(Enum):
    """Why bytes cross zones."""

    BUDGET = "budget"
    """Chosen, and the budget had room."""
    FORCED = "forced"
    """Nothing else could serve, or serve in time, and the budget had no room."""
    RETRY = "retry"
    """A further attempt of a request's stage, within the budget."""


@dataclass(frozen=True, slots=True)
class ZoneBudget:
    """Bytes that may cross zones for some classes, or for all (`classes` empty), all nodes together.

    `bytes_per_s` on the long run, `burst` at once; dealt out to the nodes in turns of `quantum` bytes, which
    is at least what a usual request crosses with. `by_traffic` is the part that the nodes earn by the
    requests that come to them instead, measured by the tenants' quotas."""

    bytes_per_s: float
    burst: float
    quantum: float
    classes: frozenset[int] = frozenset()
    by_traffic: float = 0.0

    def __post_init__(self) -> None:
        _not_negative(self, "bytes_per_s")
        if not 0 <= self.by_traffic <= 1:
            raise ValueError(f"by_traffic: must lie in [0, 1], got {self.by_traffic!r}")
        if not 0 < self.quantum <= self.burst:
            raise ValueError(
                f"quantum: must be above 0 and at most burst ({self.burst!r}), got {self.quantum!r}"
            )


@dataclass(frozen=True, slots=True)
class Settings:
    """What a node is told when it starts; the same for every node but for `slot`.

    `report_fields` names the values of a load report, of which the module reads `in_flight` (requests held,
    waiting states too), `memory_share` (0 to 1) and `tokens_waiting_k` (thousands of prompt tokens to read or
    fetch); others are ignored.

    How much a server that has just started is sent follows from `slot`, `replicas` and the tenants' quotas,
    whose sum is taken for what the whole fleet can do: each node needs a slot of its own, below `replicas`.

    Without `zone_budgets` zones cost nothing. With them, `prompt_bytes`, `state_bytes` and `answer_bytes` say
    what a token weighs on its way, and `epoch_offset` what to add to the host's clock for a time that all
    nodes share."""

    replicas: int
    classes: tuple[RequestClass, ...]
    roles: tuple[Role, ...]
    memory_tokens: tuple[float, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    slot: int = 0
    zone: int = 0
    over_share_worth: float = 1.0
    max_attempts: int = 1
    release_within: int = 300_000
    answer_slack: int = 0
    drain_grace: int = 0
    ask_within: int = 0
    must_subscribe: bool = False
    cold_for: int = 0
    cold_from: float = 1.0
    fall_multiple: float = 1.0
    fall_window: int = 1_000_000
    tick: int = 1_000
    connect_timeout: int = 250_000
    may_cancel: bool = False
    may_probe: bool = False
    may_hold_ahead: bool = False
    may_advise_retry: bool = False
    may_resume: bool = False
    writers_read: bool = False
    second_copies: bool = False
    max_retry_after: int = 0
    far_price: float = 0.0
    report_fields: tuple[str, ...] = ()
    zone_budgets: tuple[ZoneBudget, ...] = ()
    prompt_bytes: float = 0.0
    state_bytes: float = 0.0
    answer_bytes: float = 0.0
    epoch_offset: int = 0

    def __post_init__(self) -> None:
        _positive(self, "replicas", "max_attempts", "release_within", "fall_multiple", "fall_window", "tick")
        _not_negative(
            self,
            "slot",
            "zone",
            "over_share_worth",
            "answer_slack",
            "drain_grace",
            "ask_within",
            "cold_for",
            "connect_timeout",
            "max_retry_after",
            "far_price",
        )
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        if not self.roles:
            raise ValueError("roles: at least one is needed")
        if not 0 < self.cold_from <= 1:
            raise ValueError(f"cold_from: must lie in (0, 1], got {self.cold_from!r}")


def _positive(record: object, *names: str) -> None:
    for name in names:
        if not getattr(record, name) > 0:
            raise ValueError(f"{name}: must be above 0, got {getattr(record, name)!r}")


def _not_negative(record: object, *names: str) -> None:
    for name in names:
        if not getattr(record, name) >= 0:
            raise ValueError(f"{name}: must not be negative, got {getattr(record, name)!r}")


# ---------------------------------------------------------------- events


@dataclass(frozen=True, slots=True)
class Server:
    """One entry of the server list. `started_at` is 0 where the server has run for long, else a time
    on the host's clock: until `Settings.cold_for` later the server counts as cold."""

    id: int
    kind: int
    state: ServerState = ServerState.READY
    weight: float = 1.0
    cell: int = 0
    zone: int = 0
    started_at: int = 0


@dataclass(frozen=True, slots=True)
class FleetChange:
    """A change of the server list, or (`FAILED`) word that a call for it failed. `part` of the tenants'
    quotas is what these servers are built for, where the fleet has others for other models."""

    kind: ListKind
    version: int = 0
    servers: tuple[Server, ...] = ()
    part: float = 1.0


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request; exactly one final answer is owed for it within `time_left`."""

    id: int
    cls: int
    time_left: int
    prompt_tokens: float = 0.0
    prefix_tokens: float = 0.0
    max_tokens: float = 0.0
    session: int = 0
    prefix: int = 0
    tenant: int = 0
    hint: int | None = None
    repeat: bool = False
    resumed: bool = False
    over_budget: bool = False
    """It is past its tenant's token budget."""


@dataclass(frozen=True, slots=True)
class Started:
    """The answer's first token has gone out: the attempt now belongs to the client."""

    id: int
    attempt: int
    server: int
    latency: int


@dataclass(frozen=True, slots=True)
class Outcome:
    """The end of one attempt. `over` says that nothing more is owed for the request.

    `state_lost` accompanies `FULL` where the read state is gone; `kept_tokens` are the prompt tokens that
    needed no reading; `load` holds the values named in `Settings.report_fields`, or nothing. `crossed` are
    the bytes that this attempt has moved between zones, by the host's account. `lone` accompanies `RESET` and
    `CONNECT_FAILED` where only this one connection broke, or brought what can't be read: it had been kept and
    was let go at the other end, or others to the same server stand."""

    id: int
    attempt: int
    server: int
    status: Status
    latency: int
    over: bool = False
    kept_tokens: int = 0
    state_lost: bool = False
    load: tuple[float, ...] = ()
    crossed: float = 0.0
    lone: bool = False


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client left: no answer is owed any more, but attempts out still end with an `Outcome`."""

    id: int


@dataclass(frozen=True, slots=True)
class Timer:
    """A time asked for with `SetTimer` has come."""

    token: int


@dataclass(frozen=True, slots=True)
class PlaceNote:
    """Word on a place asked for with `HoldAhead`."""

    id: int
    attempt: int
    server: int
    held: bool


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """How a `Probe` ended."""

    server: int
    status: Status
    latency: int
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Bytes from another node."""

    sender: int
    data: bytes


Event = FleetChange | Request | Started | Outcome | ClientGone | Timer | PlaceNote | ProbeResult | PeerMessage


# ---------------------------------------------------------------- actions


@dataclass(frozen=True, slots=True)
class Send:
    """Make an attempt at a server; attempts of a request are numbered from 0. 0: no own time-out.
    `crossing` says why it may move bytes between zones; None where it doesn't, or nobody counts."""

    id: int
    server: int
    timeout: int = 0
    crossing: Cause | None = None


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt; its outcome still comes."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not served, and trying again is harmless."""

    id: int
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: an error that promises nothing."""

    id: int


@dataclass(frozen=True, slots=True)
class Release:
    """Let go of every state and place held for a request."""

    id: int


@dataclass(frozen=True, slots=True)
class HoldAhead:
    """Ask a writer to keep a place while the prompt is read."""

    id: int
    server: int


@dataclass(frozen=True, slots=True)
class HandBack:
    """Give a begun stream back to its client, which returns with a new request."""

    id: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `Timer` after `delay`; timers can't be unset."""

    delay: int
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Check a server, where that is allowed."""

    server: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close idle connections to a server."""

    server: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Open or close a standing subscription to the server list."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class FetchFleet:
    """Ask for the whole server list once."""


@dataclass(frozen=True, slots=True)
class TellPeers:
    """Send bytes to one node, or (None) to all others."""

    data: bytes
    peer: int | None = None


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators."""

    text: str


Action = (
    Send
    | Cancel
    | Refuse
    | Fail
    | Release
    | HoldAhead
    | HandBack
    | SetTimer
    | Probe
    | CloseIdle
    | Subscribe
    | FetchFleet
    | TellPeers
    | Log
)
