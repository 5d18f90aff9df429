"""The running node: its core, which knows no protocol, and the gRPC node on it."""
