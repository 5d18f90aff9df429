"""The KServe v2 (Open Inference) protocol, as gRPC and as REST, on the same core as the other fronts.

`tensors.py` turns tensors into values and back, `mapping.py` turns a request's tensors and parameters into a
`ClientRequest`; `grpc.py` and `rest.py` carry them. No other package knows the terms of the protocol.
"""
