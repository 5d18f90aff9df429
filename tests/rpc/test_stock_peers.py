"""Interoperability: the stock gRPC client with this server, and a stock server with this channel."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import grpc
import pytest
from grpc_health.v1 import health_pb2
from grpc_reflection.v1alpha import reflection_pb2
from grpc_status import rpc_status
from world import run, until, world

from tuliptrack.proto import generation_pb2 as pb
from tuliptrack.rpc.channel import Channel, End, EndReason, Options
from tuliptrack.rpc.core import Limits
from tuliptrack.rpc.server import Server, ServerCall, unary_request
from tuliptrack.rpc.status import Code, Status

METHOD = "/tuliptrack.v1.Generation/Generate"


def stub(channel: grpc.aio.Channel) -> Any:
    return channel.unary_stream(
        METHOD,
        request_serializer=pb.GenerateRequest.SerializeToString,
        response_deserializer=pb.GenerateResponse.FromString,
    )


def test_the_stock_client_streams_from_a_node_and_finds_it_by_health_and_reflection() -> None:
    async def go() -> None:
        async with world() as w, grpc.aio.insecure_channel(w.address) as channel:
            check = channel.unary_unary(
                "/grpc.health.v1.Health/Check",
                response_deserializer=health_pb2.HealthCheckResponse.FromString,
            )
            for service, good in (("", True), ("tuliptrack.v1.Generation", True), ("no.Such", False)):
                request = health_pb2.HealthCheckRequest(service=service).SerializeToString()
                if good:
                    assert (await check(request)).status == health_pb2.HealthCheckResponse.SERVING
                else:
                    with pytest.raises(grpc.aio.AioRpcError) as caught:
                        await check(request)
                    assert caught.value.code() is grpc.StatusCode.NOT_FOUND
            for version in ("v1", "v1alpha"):
                reflect = channel.stream_stream(
                    f"/grpc.reflection.{version}.ServerReflection/ServerReflectionInfo",
                    request_serializer=reflection_pb2.ServerReflectionRequest.SerializeToString,
                    response_deserializer=reflection_pb2.ServerReflectionResponse.FromString,
                )
                asks = [
                    reflection_pb2.ServerReflectionRequest(list_services=""),
                    reflection_pb2.ServerReflectionRequest(file_containing_symbol="tuliptrack.v1.Generation"),
                    reflection_pb2.ServerReflectionRequest(file_containing_symbol="no.Such"),
                ]
                answers = [a async for a in reflect(iter(asks))]
                names = [s.name for s in answers[0].list_services_response.service]
                assert "tuliptrack.v1.Generation" in names
                assert any(
                    b"GenerateRequest" in f for f in answers[1].file_descriptor_response.file_descriptor_proto
                )
                assert answers[2].error_response.error_code == int(Code.NOT_FOUND)
            request = pb.GenerateRequest(
                request_class="question", tenant="north", prompt="q1 what?", prompt_tokens=100
            )
            for compression in (grpc.Compression.NoCompression, grpc.Compression.Gzip):
                tokens = [t async for t in stub(channel)(request, timeout=8, compression=compression)]
                assert tokens[-1].finish_reason == pb.STOP and [t.index for t in tokens] == list(
                    range(len(tokens))
                )
            for wrong, field in (
                (pb.GenerateRequest(request_class="huh", tenant="north", prompt="x"), "request_class"),
                (pb.GenerateRequest(request_class="question", tenant="?", prompt="x"), "tenant"),
                (pb.GenerateRequest(request_class="question", tenant="north"), "prompt"),
                (
                    pb.GenerateRequest(request_class="question", tenant="north", prompt="x", max_tokens=-1),
                    "max_tokens",
                ),
                (
                    pb.GenerateRequest(
                        request_class="question", tenant="north", prompt="x", prompt_tokens=2**50
                    ),
                    "prompt_tokens",
                ),
            ):
                with pytest.raises(grpc.aio.AioRpcError) as caught:
                    [t async for t in stub(channel)(wrong, timeout=8)]
                assert (
                    caught.value.code() is grpc.StatusCode.INVALID_ARGUMENT
                    and field in caught.value.details()
                )
                assert caught.value.details().startswith(field)
                assert rpc_status.from_call(caught.value) is not None
            unknown = channel.unary_unary("/tuliptrack.v1.Generation/Nothing")
            with pytest.raises(grpc.aio.AioRpcError) as caught:
                await unknown(b"")
            assert caught.value.code() is grpc.StatusCode.UNIMPLEMENTED
            assert not w.node.table.open

    run(go)


def test_the_stock_client_reads_every_status_metadata_and_large_messages() -> None:
    async def go() -> None:
        server = Server(Limits(max_header_bytes=65_536, max_message_bytes=8_000_000))

        def act(call: ServerCall, request: pb.GenerateRequest) -> None:
            for _ in range(int(request.max_tokens)):
                call.send(pb.GenerateResponse(text=request.prompt).SerializeToString())
            echo = tuple((k, v) for k, v in call.metadata if k.startswith("x-"))
            call.end(Status(Code(request.prompt_tokens), "word % ü", b"\x08\x05"), echo)

        server.add("tuliptrack.v1.Generation", "Generate", unary_request(pb.GenerateRequest, act))
        address = await server.listen()
        options = [("grpc.max_receive_message_length", 8_000_000), ("grpc.max_metadata_size", 65_536)]
        async with grpc.aio.insecure_channel(address, options=options) as channel:
            for code in Code:
                sent = (("x-a", "plain"), ("x-b-bin", b"\0\xfe" * 2000))
                for tokens in (0, 2):  # answers of trailers only, and with messages before them
                    call = stub(channel)(
                        pb.GenerateRequest(prompt_tokens=int(code), max_tokens=tokens, prompt="p"),
                        metadata=sent,
                        timeout=8,
                    )
                    try:
                        assert len([t async for t in call]) == tokens
                    except grpc.aio.AioRpcError as error:
                        assert error.details() == "word % ü"
                    assert (await call.code()).value[0] == int(code)
                    trailers = await call.trailing_metadata()
                    assert all(pair in tuple(trailers) for pair in sent)
            for compression in (grpc.Compression.NoCompression, grpc.Compression.Gzip):
                big = pb.GenerateRequest(prompt="p" * 3_000_000, max_tokens=2)
                got = [t async for t in stub(channel)(big, timeout=20, compression=compression)]
                assert [len(t.text) for t in got] == [3_000_000] * 2
        assert not server.open_calls()
        await server.stop()

    run(go, 60)


def test_the_stock_client_cancels_times_out_and_survives_a_graceful_shutdown() -> None:
    async def go() -> None:
        server = Server()
        gone: list[str] = []

        def act(call: ServerCall, request: pb.GenerateRequest) -> None:
            call.on_cancelled = gone.append
            call.send(pb.GenerateResponse(text="one").SerializeToString())

        server.add("tuliptrack.v1.Generation", "Generate", unary_request(pb.GenerateRequest, act))
        address = await server.listen()
        async with grpc.aio.insecure_channel(address) as channel:
            call = stub(channel)(pb.GenerateRequest(), timeout=20)
            assert (await call.read()).text == "one"
            call.cancel()
            await until(lambda: len(gone) == 1)
            call = stub(channel)(pb.GenerateRequest(), timeout=0.3)
            with pytest.raises(grpc.aio.AioRpcError) as caught:
                [t async for t in call]
            assert caught.value.code() is grpc.StatusCode.DEADLINE_EXCEEDED
            await until(lambda: len(gone) == 2)
            call = stub(channel)(pb.GenerateRequest(), timeout=20)
            assert (await call.read()).text == "one"
            held = next(c for link in server.links for c in link.calls.values())
            stopping = asyncio.create_task(server.stop(5))
            await asyncio.sleep(0)
            held.send(pb.GenerateResponse(text="two").SerializeToString())
            held.end(Status(Code.OK))
            # An open stream completes during the shutdown of its server.
            assert (await call.read()).text == "two" and await call.read() == grpc.aio.EOF
            await stopping
        assert not server.links

    run(go)


async def ask(channel: Channel, method: str, message: bytes = b"", **more: Any) -> tuple[End, list[bytes]]:
    over: asyncio.Future[End] = asyncio.get_running_loop().create_future()
    got: list[bytes] = []
    channel.call(f"/t.S/{method}", message=message, on_message=got.append, on_end=over.set_result, **more)
    return await over, got


def test_the_channel_works_with_a_stock_server() -> None:
    async def go() -> None:
        async def echo(data: bytes, context: Any) -> AsyncIterator[bytes]:
            await context.send_initial_metadata((("x-lead", "1"),))
            for _ in range(3):
                yield data

        async def status(data: bytes, context: Any) -> bytes:
            context.set_trailing_metadata(
                (("x-trail-bin", b"\0\xff"), ("x-saw", dict(context.invocation_metadata())["x-me"]))
            )
            await context.abort(next(c for c in grpc.StatusCode if c.value[0] == data[0]), "why % ü")
            return b""

        async def sleep(data: bytes, context: Any) -> AsyncIterator[bytes]:
            yield b"begun"
            await asyncio.sleep(30)

        server = grpc.aio.server(compression=grpc.Compression.Gzip)
        handlers = {
            "Echo": grpc.unary_stream_rpc_method_handler(echo),
            "Status": grpc.unary_unary_rpc_method_handler(status),
            "Sleep": grpc.unary_stream_rpc_method_handler(sleep),
        }
        server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler("t.S", handlers),))
        address = f"127.0.0.1:{server.add_insecure_port('127.0.0.1:0')}"
        await server.start()
        channel = Channel(address)
        for size in (0, 10, 300_000):
            for compress in (False, True):
                end, got = await ask(channel, "Echo", b"z" * size, compress=compress)
                assert (end.how, end.status.code, got) == (EndReason.STATUS, Code.OK, [b"z" * size] * 3)
        for code in Code:
            if code is not Code.OK:
                end, _ = await ask(channel, "Status", bytes([code]), metadata=(("x-me", "you"),))
                assert (end.status.code, end.status.message) == (code, "why % ü")
                assert ("x-trail-bin", b"\0\xff") in end.metadata and ("x-saw", "you") in end.metadata
        end, _ = await ask(channel, "Nothing")
        assert end.status.code is Code.UNIMPLEMENTED
        end, got = await ask(channel, "Sleep", timeout=300_000)
        assert end.how is EndReason.TIMEOUT and got == [b"begun"]
        over: asyncio.Future[End] = asyncio.get_running_loop().create_future()
        begun = asyncio.Event()
        call = channel.call(
            "/t.S/Sleep", message=b"", on_message=lambda _: begun.set(), on_end=over.set_result
        )
        await begun.wait()
        call.cancel()
        assert (await over).how is EndReason.CANCELLED
        over = asyncio.get_running_loop().create_future()
        begun.clear()
        channel.call("/t.S/Sleep", message=b"", on_message=lambda _: begun.set(), on_end=over.set_result)
        await begun.wait()
        await server.stop(0)
        assert (await over).status.code in (Code.UNAVAILABLE, Code.CANCELLED)
        end, _ = await ask(channel, "Echo")
        assert end.how is EndReason.CONNECT and end.unprocessed
        await channel.close()

    run(go, 60)


def test_a_thousand_streams_on_one_connection() -> None:
    """All streams are served, also on a slow machine: the target and deadline of their class are so long that
    none is rejected for overload.
    """

    async def go() -> None:
        model = (
            "slots: 600 queue: 600 memory_tokens: 100000000 read_per_s: 1e9 answer_least: 12 answer_most: 12"
        )
        settings = """
            request_class { name: "patient" worth: 1 aim_ms: 86400000 deadline_ms: 86400000 }
            engines { connect_timeout_ms: 20000 }
            limits { streams_per_connection: 1000 }"""
        async with world(model=model, settings=settings) as w:
            w.channel.options = Options(connect_timeout=20_000_000, max_links=1)
            asked = []
            for n in range(1000):
                asked.append(w.ask(timeout=None, request_class="patient"))
                if n % 50 == 49:
                    await asyncio.sleep(0.02)
            ends = [await one.wait() for one in asked]
            assert len(w.channel.links) == 1
            assert [(end.how, end.status.code) for end in ends] == [(EndReason.STATUS, Code.OK)] * 1000
            for one in asked:
                one.check_tokens()

    run(go, 150)


def test_proof_pings_do_not_make_a_stock_server_end_the_connection() -> None:
    """A stock server closes the connection after a few pings without data between them. Successive calls that
    wait long for answers need many proofs, each with a ping.
    """

    async def go() -> None:
        answer = asyncio.Event()

        async def waits(request: bytes, context: grpc.aio.ServicerContext[bytes, bytes]) -> bytes:
            await answer.wait()
            return b"done"

        server = grpc.aio.server()
        handlers = {"Wait": grpc.unary_unary_rpc_method_handler(waits)}
        server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler("t.S", handlers),))
        address = f"127.0.0.1:{server.add_insecure_port('127.0.0.1:0')}"
        await server.start()
        channel = Channel(address, Options(max_links=1, prove_after=20_000))
        ends: list[End] = []
        calls = []
        for _ in range(12):
            calls.append(channel.call("/t.S/Wait", message=b"", on_end=ends.append))
            await asyncio.sleep(0.05)
        assert calls[0].arrived and calls[1].arrived
        answer.set()
        await until(lambda: len(ends) == len(calls))
        assert all(end.how is EndReason.STATUS and end.status.code is Code.OK for end in ends), ends
        assert channel.connects == 1
        await channel.close()
        await server.stop(0)

    run(go)
