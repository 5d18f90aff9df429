"""Decisions about a new request before its router sees it: which router it goes to, and its admission."""

from __future__ import annotations

from dataclasses import dataclass

from tuliptrack.decisions.model_catalog import Model
from tuliptrack.routing.router import Router

__all__ = ["AdmissionDecision", "RouterChoice"]


@dataclass(frozen=True, slots=True)
class RouterChoice:
    """The router chosen for a request by the model that it names."""

    model: Model
    router: Router
    rejection_reason: str = ""
    """Why the model can't be served now; empty if it can."""


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Whether a node admits a request, and if not, why."""

    rejection_reason: str = ""
    """Why the request is rejected; empty if it is admitted."""
    retry_after_us: int = 0
    """Delay after which a retry of a rejected request may be admitted; 0 if unknown."""
    is_over_budget: bool = False
    """Whether the tenant is over its token budget."""
