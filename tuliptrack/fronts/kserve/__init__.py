"""The KServe v2 (Open Inference) protocol, as gRPC and as REST, on the same core as the first front.

`tensors.py` turns tensors into values and back, `mapping.py` a request's tensors and parameters into an
`Ask`; `grpc.py` and `rest.py` carry them. The words of the protocol end here: the core knows none of them.
"""
