"""The node on the platform's HTTP. It imports no gRPC, stores or protobuf, to start fast and small.

The platform is the environment in which this node is deployed. It sets the HTTP protocol of engines and
clients, the discovery agents, and the limits and waits that the modules here cite as its own.
"""
