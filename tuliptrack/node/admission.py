"""What a node decides on a new request before its router sees it: its router, and whether it is admitted."""

from __future__ import annotations

from dataclasses import dataclass

from tuliptrack.decisions.model_catalog import Model
from tuliptrack.routing.router import Router

__all__ = ["AdmissionDecision", "RouterChoice"]


@dataclass(frozen=True, slots=True)
class RouterChoice:
    """The router of a request, by the model that it names."""

    model: Model
    router: Router
    rejection_reason: str = ""
    """Why the model cannot be served now; empty if it can."""


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Whether a node admits a request."""

    rejection_reason: str = ""
    """Empty if it is admitted."""
    retry_after_us: int = 0
    """If it is rejected: after how long a retry may be admitted; 0 if that is not known."""
    is_over_budget: bool = False
    """Its tenant is over the token budget."""
