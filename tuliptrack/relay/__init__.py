"""The node on the platform's HTTP/1.1: its wiring on `node/core.py`. `python -m tuliptrack.relay` starts
it."""
