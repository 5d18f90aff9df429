"""Client protocols: one thin file or folder each; `installed` lists those of the gRPC node."""
