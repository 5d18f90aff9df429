"""The node on the platform's HTTP. It imports no gRPC, stores or protobuf, so that it starts quickly and small."""
