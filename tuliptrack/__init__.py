"""tuliptrack: routing decisions for model services with separate readers (prefill) and writers (decode)."""

from tuliptrack.brain import Router

__all__ = ["Router"]
