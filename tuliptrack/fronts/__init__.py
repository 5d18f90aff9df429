"""Client protocols, in a module or package each; `installed` lists those that the gRPC node serves."""
