"""A grpc.aio proxy without routing: prefills at one engine, decodes at the others in turn, relays the bytes.

The baseline of `bench/relay.py`. Arguments: PREFILL DECODE [DECODE ...], each host:port. Prints its address
as JSON.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import sys

import grpc

from tuliptrack.proto import engine_pb2
from tuliptrack.proto import generation_pb2 as pb


async def main(prefill_address: str, decode_addresses: list[str]) -> None:
    prefill = grpc.aio.insecure_channel(prefill_address).unary_unary("/tuliptrack.v1.Engine/Read")
    decode_calls = itertools.cycle(
        [
            grpc.aio.insecure_channel(address).unary_stream("/tuliptrack.v1.Engine/Write")
            for address in decode_addresses
        ]
    )
    request_numbers = itertools.count()

    async def generate(data: bytes, context: grpc.aio.ServicerContext):  # type: ignore[no-untyped-def, type-arg]
        request = pb.GenerateRequest.FromString(data)
        work = engine_pb2.Work(
            request_id=f"proxy-{next(request_numbers)}",
            request_class=request.request_class,
            tenant=request.tenant,
            session=request.session,
            prompt=request.prompt,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
        )
        kv_state = engine_pb2.ReadResponse.FromString(
            await prefill(engine_pb2.ReadRequest(work=work).SerializeToString())
        )
        decode_request = engine_pb2.WriteRequest(work=work)
        decode_request.state.state_id, decode_request.state.address = kv_state.state_id, prefill_address
        async for message in next(decode_calls)(decode_request.SerializeToString()):
            yield message

    server = grpc.aio.server()
    handler = grpc.unary_stream_rpc_method_handler(generate)
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler("tuliptrack.v1.Generation", {"Generate": handler}),)
    )
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    print(json.dumps({"address": f"127.0.0.1:{port}"}), flush=True)
    await server.wait_for_termination()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2:]))
