"""The node on the platform's HTTP. It imports no gRPC, stores or protobuf, to start fast and small."""
