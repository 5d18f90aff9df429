"""The state that the parts of a core share: settings, tables, clock and timers, and the hooks of a node.

`Core` (in `core.py`) assembles the parts. Each part takes a `CoreState` and reads its attributes only when it
uses them, so that a node can set `engines` and `source` after the core is created.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any

from tuliptrack import interface as io
from tuliptrack.decisions.concurrency_limit import ConcurrencyLimiter, ConcurrencyLimits
from tuliptrack.decisions.model_catalog import Model
from tuliptrack.fronts.port import ClientRequest
from tuliptrack.node.admission import AdmissionDecision, RouterChoice
from tuliptrack.node.counters import Counters
from tuliptrack.node.kv_state_leases import KvStateLeases
from tuliptrack.node.port import AttemptResult, EngineClient
from tuliptrack.node.request_reader import CoreLimits, RequestReader
from tuliptrack.node.requests import Attempt, RequestRecord, RequestTable
from tuliptrack.node.timers import NodeClock, TimerSet
from tuliptrack.routing.router import Router
from tuliptrack.rpc.loop_errors import log_fault

__all__ = ["CoreState"]


class CoreState(ABC):
    """The state of a core, and the operations that its parts call on each other."""

    engines: EngineClient
    """The engine client, which carries out attempts; set by the node."""
    source: Any
    """The source of the endpoint list; set by the node."""

    def __init__(
        self,
        settings: io.Settings,
        seed: int,
        instance: str,
        limits: CoreLimits,
        concurrency_limits: ConcurrencyLimits,
    ) -> None:
        """Start without requests.

        Args:
            settings: the settings of the routers.
            seed: the seed of the routers' random choices.
            instance: a name unique to this incarnation of the node.
            limits: size and time limits of the node.
            concurrency_limits: how many requests may be in flight.
        """
        self.settings = settings
        self.limits = limits
        self.instance = instance
        self.router = Router(settings, seed)
        """The router of endpoints without a model label; it also keeps the subscription to the endpoint list,
        and the state that the routers of all models share."""
        self.table = RequestTable(instance)
        self.concurrency = ConcurrencyLimiter(concurrency_limits)
        self.counters = Counters()
        self.request_reader = RequestReader(settings, limits)
        self.clock = NodeClock()
        self.timers = TimerSet()
        self.leases = KvStateLeases(settings.release_within_us, lambda: self.engines, self.now, self.counters)
        self.stopping = False
        """Whether the node is shutting down, so that new requests are rejected."""
        self.decisions = 0
        """Number of events that routers have handled."""

    def now(self) -> int:
        """Return the monotonic time in microseconds."""
        return self.clock.now_us()

    def class_of(self, record: RequestRecord) -> io.RequestClass:
        """Return the class of a request."""
        return self.request_reader.class_of(record.client_request)

    def record_fault(self, where: str, error: Exception) -> None:
        """Count and log an error that only a bug in this program can raise."""
        log_fault(error)
        self.counters.record_violation(
            "no_unexpected_error", where=where, type=type(error).__name__, reason=str(error)
        )

    def cap_retry_after_us(self, retry_after_us: int) -> int:
        """Limit an estimated retry delay to the maximum that the settings allow."""
        return min(retry_after_us, self.settings.max_retry_after_us)

    # Operations that the parts call on the core.

    @abstractmethod
    def dispatch(self, event: io.Event, router: Router | None = None) -> None:
        """Pass an event to its router and carry out the actions that follow."""

    @abstractmethod
    def defer(self, event: io.Event, router: Router | None = None) -> None:
        """Queue an event behind the one that is being handled."""

    @abstractmethod
    def client_disconnected(self, record: RequestRecord, reason: str) -> None:
        """Handle the disconnection of a request's client."""

    @abstractmethod
    def remove_if_finished(self, record: RequestRecord) -> None:
        """Remove a request if it has its final state and no attempt in flight."""

    # Hooks that a node may override.

    def choose_router(self, client_request: ClientRequest) -> RouterChoice:
        """Return the model and router of a request, and the reason if the request is rejected.

        Raises:
            InvalidRequestError: the request names no model that is served.
        """
        return RouterChoice(Model(), self.router)

    def admit(self, now_us: int, record: RequestRecord, class_index: int) -> AdmissionDecision:
        """Decide whether a request is admitted."""
        return AdmissionDecision()

    def stream_started(self, record: RequestRecord) -> None:  # noqa: B027  # Overriding is optional.
        """Called when the first token of a request has arrived."""

    def attempt_sent(  # noqa: B027  # Overriding is optional.
        self, record: RequestRecord, attempt: Attempt, action: io.SendAttempt
    ) -> None:
        """Called when an attempt has started."""

    def cross_zone_bytes(
        self, record: RequestRecord, attempt: Attempt, attempt_result: AttemptResult
    ) -> float:
        """Return the bytes that an attempt has transferred between zones."""
        return 0.0

    def request_removed(self, record: RequestRecord) -> None:  # noqa: B027  # Overriding is optional.
        """Called when a request has been removed from the table."""
