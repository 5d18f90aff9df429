"""Sources of the gRPC node's endpoint list: a file, a feed, and the list cached on disk."""
