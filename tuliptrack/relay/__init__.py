"""The node on the platform's HTTP protocol.

It imports no gRPC, stores or protobuf, so that it starts fast and stays small.

The platform is the environment in which this node is deployed. It sets the HTTP protocol of engines and
clients, the discovery agents, and the limits and waiting times that these modules call the platform's.
"""
