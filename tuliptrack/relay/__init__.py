"""The node on the platform's HTTP protocol. It imports no gRPC, stores or protobuf, to start fast and small.

The platform is the environment in which this node is deployed. It sets the HTTP protocol of engines and
clients, the discovery agents, and the limits and waiting times that these modules call the platform's.
"""
