"""A proxy that decides nothing, on grpc.aio: reads at one engine, writes at another, passes the bytes on.

The yardstick of `bench/relay.py`. Arguments: READER WRITER [WRITER ...], each host:port. Prints its address.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import sys

import grpc

from tuliptrack.proto import engine_pb2
from tuliptrack.proto import generation_pb2 as pb


async def main(reader: str, writers: list[str]) -> None:
    read = grpc.aio.insecure_channel(reader).unary_unary("/tuliptrack.v1.Engine/Read")
    turns = itertools.cycle(
        [grpc.aio.insecure_channel(w).unary_stream("/tuliptrack.v1.Engine/Write") for w in writers]
    )
    numbers = itertools.count()

    async def generate(data: bytes, context: grpc.aio.ServicerContext):  # type: ignore[no-untyped-def, type-arg]
        asked = pb.GenerateRequest.FromString(data)
        work = engine_pb2.Work(
            request_id=f"proxy-{next(numbers)}",
            request_class=asked.request_class,
            tenant=asked.tenant,
            session=asked.session,
            prompt=asked.prompt,
            prompt_tokens=asked.prompt_tokens,
            max_tokens=asked.max_tokens,
        )
        state = engine_pb2.ReadResponse.FromString(
            await read(engine_pb2.ReadRequest(work=work).SerializeToString())
        )
        write = engine_pb2.WriteRequest(work=work)
        write.state.state_id, write.state.address = state.state_id, reader
        async for token in next(turns)(write.SerializeToString()):
            yield token

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
