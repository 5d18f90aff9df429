"""tuliptrack: routing decisions for model services with separate readers (prefill) and writers (decode)."""

from tuliptrack.routing.router import Router

__all__ = ["Router"]
