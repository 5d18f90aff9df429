"""The running node: a protocol-independent core, and the gRPC node built on it."""
