"""Edge cases of the v2 protocol on real sockets: streams of many requests, models and versions, slow and
misbehaving clients.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from world import World, run, until, world

from tuliptrack.interface import SendAttempt
from tuliptrack.lab.engine import answer_length, answer_token
from tuliptrack.proto import fleet_pb2, lab_pb2
from tuliptrack.proto import kserve_pb2 as pb
from tuliptrack.rpc.channel import ClientCall, End
from tuliptrack.rpc.status import Code

KSERVE = """kserve { rest_listen: "127.0.0.1:0" request_class: "question" tenant: "north" priority_class: "summary"
  request_ms: 700 } """
HEAD = b"POST /v2/models/m/generate HTTP/1.1\r\nhost: x\r\n"
SERVICE = "/inference.GRPCInferenceService/"


def request(prompt: str, id_: str = "", model: str = "", **parameters: Any) -> pb.ModelInferRequest:
    made = pb.ModelInferRequest(model_name=model, id=id_)
    made.inputs.add(name="text_input", datatype="BYTES", shape=[1]).contents.bytes_contents.append(
        prompt.encode()
    )
    for name, value in parameters.items():
        kind = {bool: "bool_param", int: "int64_param", str: "string_param"}[type(value)]
        setattr(made.parameters[name], kind, value)
    return made


class Stream:
    """A ModelStreamInfer of the test, and what it received, by request ID."""

    def __init__(self, w: World) -> None:
        self.text: dict[str, list[str]] = {}
        self.finals: dict[str, int] = {}
        self.errors: dict[str, str] = {}
        self.facts: dict[str, dict[str, Any]] = {}
        self.ends: list[End] = []
        self.call: ClientCall = w.channel.call(
            SERVICE + "ModelStreamInfer", on_message=self.message, on_end=self.ends.append
        )

    def message(self, data: bytes) -> None:
        got = pb.ModelStreamInferResponse.FromString(data)
        response = got.infer_response
        if got.error_message:
            self.errors[response.id] = got.error_message
        for raw in response.raw_output_contents:
            self.text.setdefault(response.id, []).append(raw[4:].decode())
        facts = {
            k: getattr(v, v.WhichOneof("parameter_choice") or "") for k, v in response.parameters.items()
        }
        self.facts[response.id] = facts
        self.finals[response.id] = self.finals.get(response.id, 0) + facts.get("triton_final_response", False)

    def ask(self, id_: str, prompt: str = "", **parameters: Any) -> None:
        self.call.send(request(prompt or f"q{id_} what?", id_, **parameters).SerializeToString())


def answer(prompt: str, least: int = 10, most: int = 30) -> str:
    return "".join(answer_token(prompt, n) for n in range(answer_length(prompt, least, most)))


def test_requests_of_one_stream_are_rejected_fail_and_are_cancelled_independently() -> None:
    async def go() -> None:
        async with world(settings=KSERVE, model="answer_least: 60 answer_most: 60 step_ms: 4") as w:
            stream = Stream(w)
            stream.ask("1")
            stream.ask("2")
            await until(lambda: len(stream.text) == 2)
            w.node.concurrency.limits = type(w.node.concurrency.limits)(2, 20, 20)  # Full with these two.
            stream.ask("3")
            await until(lambda: "3" in stream.errors)
            assert (
                stream.errors["3"].startswith("refused: too many requests")
                and "harmless" in stream.errors["3"]
            )
            assert stream.facts["3"]["error"] == "REFUSED" and stream.facts["3"]["retry_after_ms"] > 0
            w.node.concurrency.limits = type(w.node.concurrency.limits)(1000, 1000, 1000)
            stream.ask("4")
            await until(lambda: all(stream.finals.get(n) for n in "124"))
            for name in ("w0", "w1"):
                w.engines[name].apply(lab_pb2.Trouble(lose_after=1.0, lose_after_tokens=5))
            stream.ask("5")
            await until(lambda: "5" in stream.errors)
            assert (
                "it can go on from token 5" in stream.errors["5"] and stream.facts["5"]["error"] == "BROKEN"
            )
            for name in ("w0", "w1"):
                w.engines[name].apply(lab_pb2.Trouble())
            for n in ("6", "7", "8", "9", "10"):
                stream.ask(n)
            await until(lambda: len(stream.text.get("7", [])) > 3)
            assert not stream.ends  # Neither the rejection nor the failure has ended the stream.
            stream.call.cancel()
            await until(lambda: not w.node.table.open)
            for n in "124":
                assert "".join(stream.text[n]) == answer(f"q{n}", 60, 60) and stream.finals[n] == 1
            assert stream.finals["3"] == stream.finals["5"] == 1
            gone = {row["request"] for row in w.seen("gone", kind="write")}
            assert len(gone) >= 5  # The fifth, and those that the client cancelled.
            assert (
                w.node.concurrency.in_flight == 0
                and not w.node.concurrency.by_tenant
                and not w.node.concurrency.by_connection
            )

    run(go, virtual=True)


def test_a_half_closed_stream_ends_after_its_responses() -> None:
    async def go() -> None:
        async with world(settings=KSERVE) as w:
            stream = Stream(w)
            for n in "123":
                stream.ask(n, triton_enable_empty_final_response=n == "3", stream=n != "2")
            stream.call.half_close()
            await until(lambda: stream.ends)
            assert stream.ends[0].status.code is Code.OK
            assert {n: "".join(t) for n, t in stream.text.items()} == {n: answer(f"q{n}") for n in "123"}
            assert stream.finals == {"1": 1, "2": 1, "3": 1} and len(stream.text["2"]) == 1
            empty = Stream(w)
            empty.call.half_close()
            await until(lambda: empty.ends)
            assert empty.ends[0].status.code is Code.OK

    run(go, virtual=True)


def test_the_final_flag_is_set_where_the_decode_engine_resets_after_its_last_token() -> None:
    async def go() -> None:
        async with world("r0 w0", settings=KSERVE) as w:
            engine = w.engines["w0"]
            finish = engine._finish

            def finish_or_reset(job: Any, status: Any) -> None:
                if job.kind == "write":  # Its last token has been sent.
                    asyncio.get_running_loop().call_later(0.05, job.call.reset)
                else:
                    finish(job, status)

            engine._finish = finish_or_reset  # type: ignore[method-assign]
            stream = Stream(w)
            stream.ask("1")
            await until(lambda: stream.finals.get("1"))
            await until(lambda: not w.node.table.open)
            assert "".join(stream.text["1"]) == answer("q1") and not stream.errors
            assert stream.facts["1"]["finish_reason"] == "stop" and stream.finals["1"] == 1

    run(go, virtual=True)


def test_an_id_may_be_reused_only_after_its_response_has_ended() -> None:
    async def go() -> None:
        async with world(settings=KSERVE, model="answer_least: 40 answer_most: 40 step_ms: 4") as w:
            stream = Stream(w)
            stream.ask("1")
            await until(lambda: stream.text)
            stream.ask("1", "another")
            await until(lambda: stream.errors)
            assert stream.errors["1"] == "id: '1' is still open on this stream"
            await until(lambda: stream.finals["1"] == 2)  # Of the error and of the response: both have ended.
            assert "".join(stream.text["1"]) == answer("q1", 40, 40)  # The first request was not affected.
            stream.text.clear()
            stream.ask("1", "another")
            await until(lambda: stream.finals["1"] == 3)
            assert "".join(stream.text["1"]) == answer("another", 40, 40)
            # On another call the same ID is a separate request: clients choose IDs, and many count from 1.
            other = Stream(w)
            stream.ask("5")
            await until(lambda: "5" in stream.text)
            other.ask("5")
            await until(lambda: stream.finals.get("5") and other.finals.get("5"))
            assert "".join(stream.text["5"]) == "".join(other.text["5"])

    run(go, virtual=True)


def test_an_invalid_request_gets_an_error_with_its_field_and_does_not_affect_others() -> None:
    def raw(**change: Any) -> pb.ModelInferRequest:
        made = request("q what?")
        tensor = made.inputs[0]
        for name, value in change.items():
            if name == "shape":
                del tensor.shape[:]
                tensor.shape.extend(value)
            else:
                setattr(tensor, name, value)
        return made

    double = request("q")
    double.inputs.add().CopyFrom(double.inputs[0])
    mixed = request("q")
    mixed.raw_input_contents.append(b"\1\0\0\0q")
    short = pb.ModelInferRequest()
    short.inputs.add(name="text_input", datatype="BYTES", shape=[1])
    short.raw_input_contents.append(b"\5\0\0\0abc")
    out = request("q")
    out.outputs.add(name="logits")
    cases = [
        (raw(shape=[2]), "inputs.text_input", "has 2 elements, but 1 came"),
        (raw(shape=[-1]), "inputs.text_input.shape", ""),
        (raw(name="huh"), "inputs.huh", ""),
        (raw(datatype="INT32"), "inputs.text_input.contents", "bytes_contents is set"),
        (raw(datatype="HUH"), "inputs.text_input.datatype", "among"),
        (double, "inputs.text_input", "twice"),
        (mixed, "inputs.text_input.contents", "beside"),
        (short, "inputs.text_input", "ends past"),
        (out, "outputs.logits", ""),
        (request("q", timeout=-1), "parameters.timeout", "from 0"),
        (request("q", session=3), "parameters.session", "string"),
        (request("q", request_class="x"), "request_class", ""),
        (request("q", huh=True), "parameters.huh", ""),
        (request(""), "prompt", "required"),
    ]

    async def go() -> None:
        async with world(settings=KSERVE) as w:
            for message, field, words in cases:
                ends: list[End] = []
                w.channel.call(
                    SERVICE + "ModelInfer", message=message.SerializeToString(), on_end=ends.append
                )
                await until(lambda ends=ends: ends)  # type: ignore[misc]
                status = ends[0].status
                bad_request = next(d for d in status.parsed() if d.DESCRIPTOR.name == "BadRequest")
                assert status.code is Code.INVALID_ARGUMENT
                violation = bad_request.field_violations[0]  # type: ignore[attr-defined]
                assert violation.field == field and words in violation.description, (violation, field, words)
            stream = Stream(w)
            for number, (message, _, _) in enumerate(cases):
                message.id = f"bad{number}"
                stream.call.send(message.SerializeToString())
            stream.call.send(b"\xff\xff")
            stream.ask("good")
            await until(lambda: stream.finals.get("good"))
            assert len(stream.errors) == len(cases) + 1 and "".join(stream.text["good"]) == answer("qgood")
            assert not w.seen("call", kind="read", tag="q")  # None of them reached an engine.

    run(go, virtual=True)


MODELS = {
    "r0": ("tulip", "1"),
    "w0": ("tulip", "1"),
    "r1": ("tulip", "2"),
    "w1": ("tulip", "2"),
    "m0": ("rose", "1"),
}


async def infer(
    w: World, prompt: str, model: str, version: str = "", **parameters: Any
) -> tuple[End, pb.ModelInferResponse]:
    made, got, ends = request(prompt, model=model, **parameters), list[bytes](), list[End]()
    made.model_version = version
    w.channel.call(
        SERVICE + "ModelInfer",
        message=made.SerializeToString(),
        on_message=got.append,
        on_end=ends.append,
        timeout=10_000_000,
    )
    await until(lambda: ends)
    return ends[0], pb.ModelInferResponse.FromString(got[0] if got else b"")


def test_models_and_versions_are_routed_separately_and_sessions_stay_on_a_version() -> None:
    async def go() -> None:
        async with world("r0 w0 r1 w1 m0", settings=KSERVE, models=MODELS) as w:
            assert (await infer(w, "q1", "rose"))[0].status.code is Code.OK
            assert {row["engine"] for row in w.seen("call")} == {"m0"}
            for version, engines in (("1", {"r0", "w0"}), ("2", {"r1", "w1"})):
                before = len(w.seen("call"))
                for n in range(3):
                    end, response = await infer(w, f"q{n}", "tulip", version)
                    assert end.status.code is Code.OK and response.model_name == "tulip"
                assert {row["engine"] for row in w.seen("call")[before:]} == engines
            # Without a version, each session stays on one version, and both versions get sessions.
            used: dict[str, set[str]] = {}
            for n in range(30):
                before = len(w.seen("call"))
                await infer(w, f"s{n % 10} {n}", "tulip", session=f"s{n % 10}")
                used.setdefault(f"s{n % 10}", set()).update(row["model"] for row in w.seen("call")[before:])
            assert all(len(models) == 1 for models in used.values())
            assert set.union(*used.values()) == {"tulip:1", "tulip:2"}
            for model, version, field in (
                ("lily", "", "model"),
                ("tulip", "3", "model_version"),
                ("", "", "model"),
            ):
                end, _ = await infer(w, "q", model, version)
                assert end.status.code is Code.NOT_FOUND and end.status.message.startswith(field)
            # A failure of one model does not affect the other: each model has a router of its own, and only
            # that of `rose` counts the failure.
            w.engines["m0"].apply(lab_pb2.Trouble(lose_before=1.0))
            await infer(w, "q9", "rose", timeout=400_000)
            assert (await infer(w, "q1", "tulip"))[0].status.code is Code.OK
            assert len({id(router) for router in w.node.model_routers.routers.values()}) == 4
            assert all(
                router.quotas is w.node.router.quotas for router in w.node.model_routers.routers.values()
            )

    run(go, virtual=True)


def test_a_model_that_no_engine_serves_any_more_is_rejected_and_then_unknown() -> None:
    async def go() -> None:
        async with world("r0 w0 r1 w1 m0", settings=KSERVE, models=MODELS) as w:
            w.engines["m0"].apply(lab_pb2.Trouble(pause_ms=60_000))
            waits = [asyncio.ensure_future(infer(w, f"q{n}", "rose", timeout=2_500_000)) for n in range(3)]
            await until(lambda: len(w.seen("call", engine="m0")) == 3)
            w.feed.change(w.entry("m0", fleet_pb2.ServerEntry.DRAINING))
            await until(lambda: not w.node.models.ready("rose"))
            end, _ = await infer(w, "q8", "rose")  # Known, but no engine is ready; one may come back.
            assert (
                end.status.code is Code.UNAVAILABLE and "no engines of 'rose' are ready" in end.status.message
            )
            w.feed.change(w.entry("m0", fleet_pb2.ServerEntry.GONE))
            await until(lambda: "rose" not in {m.name for m in w.node.models.listed()})
            end, _ = await infer(w, "q9", "rose")
            assert end.status.code is Code.NOT_FOUND
            for end, _ in await asyncio.gather(*waits):
                assert (
                    end.status.code in (Code.DEADLINE_EXCEEDED, Code.UNAVAILABLE)
                    and end.how.value == "status"
                )
            assert (await infer(w, "q1", "tulip"))[0].status.code is Code.OK
            # Its router is removed with the next list, as none of its requests is open any more.
            w.feed.change(w.entry("r0"))
            await until(lambda: not any(m.name == "rose" for m in w.node.model_routers.routers))

    run(go, virtual=True)


class Rest:
    """A REST client on plain sockets, which can be slow or break the protocol."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, method: str, path: str, body: bytes = b"", *headers: str) -> None:
        head = [f"{method} {path} HTTP/1.1", "host: x", f"content-length: {len(body)}", *headers]
        self.writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)

    def generate(self, prompt: str, stream: bool = False, **more: Any) -> None:
        operation = "generate_stream" if stream else "generate"
        self.send("POST", f"/v2/models/m/{operation}", json.dumps({"text_input": prompt, **more}).encode())

    async def head(self) -> tuple[int, dict[str, str]]:
        lines = (await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), 10)).decode().split("\r\n")
        headers = {k.lower(): v for k, _, v in (line.partition(": ") for line in lines[1:] if line)}
        return int(lines[0].split()[1]), headers

    async def answer(self) -> tuple[int, Any]:
        status, headers = await self.head()
        if status == 100:
            status, headers = await self.head()
        body = await asyncio.wait_for(self.reader.readexactly(int(headers["content-length"])), 10)
        return status, json.loads(body)

    async def events(self) -> AsyncIterator[dict[str, Any]]:
        while size := int(await asyncio.wait_for(self.reader.readline(), 10), 16):
            chunk = await self.reader.readexactly(size + 2)
            yield json.loads(chunk[6:-4])
        await self.reader.readline()


@asynccontextmanager
async def rest(w: World) -> AsyncIterator[Rest]:
    host, _, port = w.rest.rpartition(":")
    plain = socket.create_connection((host, int(port)))
    plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    plain.setblocking(False)
    client = Rest(*await asyncio.open_connection(sock=plain, limit=8192))
    try:
        yield client
    finally:
        client.writer.close()


def test_rest_answers_in_order_on_one_connection_as_json_and_as_events() -> None:
    async def go() -> None:
        async with world(settings=KSERVE) as w, rest(w) as client:
            client.generate("q1 what?")  # Two at once: the second waits for the first.
            client.generate("q2 what?", max_tokens=3, id="two")
            assert (await client.answer())[1]["text_output"] == answer("q1")
            status, got = await client.answer()
            assert (status, got["id"], got["completion_tokens"], got["finish_reason"]) == (
                200,
                "two",
                3,
                "length",
            )
            client.generate("q3 what?", stream=True, parameters={"priority": 1})
            status, headers = await client.head()
            assert status == 200 and headers["content-type"] == "text/event-stream"
            events = [event async for event in client.events()]
            assert (
                "".join(e["text_output"] for e in events) == answer("q3")
                and events[-1]["finish_reason"] == "stop"
            )
            assert [e["index"] for e in events] == list(range(len(events)))
            assert {row["cls"] for row in w.seen("call") if row["tag"] == "q3"} == {"summary"}
            for path, status in (("/v2/models/m/huh", 404), ("/v3", 404), ("/v2/models/m/generate", 405)):
                client.send("GET", path)
                assert (await client.answer())[0] == status
            client.send("GET", "/v2/health/ready")
            assert await client.answer() == (200, {"ready": True})
            for body, field in (
                (b"{", "body"),
                (b'{"text_input": 3}', "text_input"),
                (b'{"text_input": "q", "x": []}', "x"),
                (b'{"text_input": "q", "parameters": 1}', "parameters"),
                (b"[" * 100_000, "body"),
            ):
                client.send("POST", "/v2/models/m/generate", body)
                status, got = await client.answer()
                assert status == 400 and got["field"].startswith(("parameters", "body", "text_input")), (
                    body[:30],
                    got,
                    field,
                )

    run(go, virtual=True)


def test_rest_reports_rejections_and_failures_before_and_within_a_stream() -> None:
    async def go() -> None:
        async with world(settings=KSERVE, model="answer_least: 60 answer_most: 60") as w, rest(w) as client:
            for name in ("w0", "w1"):
                w.engines[name].apply(lab_pb2.Trouble(lose_after=1.0, lose_after_tokens=4))
            client.generate("q1 what?", stream=True)
            await client.head()
            events = [event async for event in client.events()]
            assert len(events) == 5 and events[-1]["kind"] == "BROKEN" and events[-1]["next_index"] == 4
            client.generate("q1 what?")
            status, got = await client.answer()
            assert status == 502 and got["kind"] == "BROKEN"
            w.node.concurrency.limits = type(w.node.concurrency.limits)(
                0, 1, 1
            )  # Full: the headers suffice to reject.
            client.send("POST", "/v2/models/m/generate", b"", "expect: 100-continue", "x: y")
            status, headers = await client.head()
            assert status == 503 and headers["retry-after"] == "1" and headers["connection"] == "close"

    run(go, virtual=True)


SLOW_ENGINE = "read_per_s: 20"


# Guards against REST requests that a stopping node fails at once, as no gRPC client has a call open.
def test_a_rest_request_has_the_whole_grace_period_to_end() -> None:
    async def go() -> None:
        async with world("m0", model=SLOW_ENGINE, settings=KSERVE) as w, rest(w) as client:
            client.generate("a prompt that takes an engine some time to read")
            await until(lambda: any(one.attempt for one in w.node.table.open.values()))
            stopping = asyncio.ensure_future(w.node.stop(10))
            assert (await client.answer())[0] == 200
            await stopping

    run(go, virtual=True)


# Guards against a request that a stopping node closes with no answer when its grace period is over.
def test_a_rest_request_that_is_open_when_the_grace_period_ends_gets_its_answer() -> None:
    async def go() -> None:
        async with world("m0", model=SLOW_ENGINE, settings=KSERVE) as w, rest(w) as client:
            client.generate("a prompt that takes an engine some time to read")
            call = w.ask()
            await until(lambda: sum(bool(one.attempt) for one in w.node.table.open.values()) == 2)
            stop_server = w.node.server.stop

            async def stop_later(grace: float) -> None:
                await stop_server(grace + 0.1)

            w.node.server.stop = stop_later  # type: ignore[method-assign, assignment]
            stopping = asyncio.ensure_future(w.node.stop(0.2))
            status, body = await client.answer()
            assert status in (502, 503) and "shut down" in body["error"]
            await call.wait()
            await stopping

    run(go, virtual=True)


def test_the_end_of_the_grace_period_ends_requests_of_all_fronts() -> None:
    async def go() -> None:
        async with world("m0", model=SLOW_ENGINE, settings=KSERVE) as w, rest(w) as client:
            client.generate("a prompt that takes an engine some time to read")
            await until(lambda: any(one.attempt for one in w.node.table.open.values()))
            stopping = asyncio.ensure_future(w.node.stop(10))
            await asyncio.sleep(0.1)
            w.node.end_grace_period()
            assert (await client.answer())[0] in (502, 503)
            await stopping

    run(go, virtual=True)


def test_rest_clients_that_are_slow_send_too_much_or_dont_read_affect_no_others() -> None:
    async def go() -> None:
        limits = "limits { message_bytes: 20000 answer_bytes: 4096 client_stall_ms: 400 body_bytes: 30000 }"
        model = "answer_least: 30000 answer_most: 30000 step_ms: 0.2 per_answer_ms: 0"
        async with (
            world(settings=KSERVE + limits, model=model) as w,
            rest(w) as slow,
            rest(w) as big,
            rest(w) as not_reading,
        ):
            slow.writer.write(HEAD + b"content-length: 100\r\n\r\n{")
            big.send("POST", "/v2/models/m/generate", b"")
            assert (await big.answer())[0] == 400
            big.writer.write(HEAD + b"content-length: 20001\r\n\r\n")
            assert (await big.answer())[0] == 413  # Without a byte of the body.
            async with rest(w) as chunked:  # A body without a length is not read past the limit either.
                chunked.writer.write(HEAD + b"transfer-encoding: chunked\r\n\r\n")
                chunked.writer.write(
                    b"4000\r\n" + b" " * 0x4000 + b"\r\n" + b"4000\r\n" + b" " * 0x4000 + b"\r\n"
                )
                assert (await chunked.answer())[0] == 413
            async with rest(w) as arriving:  # Its body, still arriving, leaves no room for the next one.
                arriving.writer.write(HEAD + b"content-length: 19000\r\n\r\n{")
                await until(lambda: w.node.bodies.used_bytes >= 19_000)
                async with rest(w) as rejected:
                    rejected.writer.write(HEAD + b"content-length: 19000\r\n\r\n{")
                    status, got = await rejected.answer()
                    assert status == 503 and "too many bytes" in got["error"]
            status, got = await slow.answer()
            assert status == 408 and "0.7 s" in got["error"]
            await until(lambda: w.node.bodies.used_bytes == 0)
            not_reading.generate("q1 what?", stream=True)
            await until(lambda: any(record.stream.paused_at_us for record in w.node.table.open.values()))
            async with rest(w) as other:
                other.generate("q2 what?", max_tokens=20)
                assert (await other.answer())[1]["completion_tokens"] == 20
            await until(lambda: not w.node.table.open)  # The client read too slowly, so it was cut off.
            assert w.node.bodies.used_bytes == 0

    run(go)


def test_all_fronts_lead_to_the_same_requests_and_the_same_decisions() -> None:
    """The same requests cause the same router events and decisions through each front, except request numbers."""
    recorded: dict[str, list[Any]] = {}

    async def go(form: str) -> None:
        async with world("r0 r1 w0 w1", settings=KSERVE) as w:
            seen = recorded.setdefault(form, [])
            handle = w.node.router.handle

            def record(now: int, events: list[Any]) -> Any:
                actions = handle(now, events)
                for event in events:
                    if type(event).__name__ == "Request":
                        names = "class_index prompt_tokens prefix_tokens max_tokens session prefix tenant is_retry is_resumed"
                        facts = {name: getattr(event, name) for name in names.split()}
                        seen.append(("asked", facts))
                seen.extend(("send", a.endpoint_id) for a in actions if isinstance(a, SendAttempt))
                return actions

            w.node.router.handle = record  # type: ignore[method-assign]
            for n in range(12):
                words: Any = {
                    "session": f"s{n % 3}",
                    "prefix": "p",
                    "prompt_tokens": 400,
                    "prefix_tokens": 300,
                    "request_class": "summary",
                    "tenant": "south",
                }
                if form == "first":
                    assert (await w.ask(f"q{n} what?", max_tokens=9, **words).wait()).status.code is Code.OK
                elif form == "v2":
                    end, _ = await infer(w, f"q{n} what?", "", max_tokens=9, **words)
                    assert end.status.code is Code.OK
                else:
                    async with rest(w) as client:
                        client.generate(f"q{n} what?", parameters={**words, "max_tokens": 9})
                        assert (await client.answer())[0] == 200

    for form in ("first", "v2", "rest"):
        run(lambda form=form: go(form))  # type: ignore[misc]
    assert recorded["first"] == recorded["v2"] == recorded["rest"] and len(recorded["first"]) == 36


def test_a_full_node_rejects_a_large_body_before_reading_it() -> None:
    async def go() -> None:
        async with world(settings=KSERVE + "limits { body_bytes: 100000 }") as w:
            w.node.concurrency.limits = type(w.node.concurrency.limits)(0, 1, 1)
            end = await w.ask("q" * 3_000_000).wait()
            assert end.status.code is Code.UNAVAILABLE and "harmless" in end.status.message
            assert w.node.bodies.peak_bytes == 0 and w.node.server.rejected_early == 1
            w.node.concurrency.limits = type(w.node.concurrency.limits)(9, 9, 9)
            call = w.ask("q" * 3_000_000)  # Requests are accepted, but such a body exceeds the budget.
            end = await call.wait()
            assert end.status.code is Code.UNAVAILABLE and "too many bytes" in end.status.message
            assert w.node.bodies.used_bytes == 0 and w.node.bodies.peak_bytes <= 100_000
            assert (await w.ask("q" * 60_000).wait()).status.code is Code.OK
            assert w.node.bodies.used_bytes == 0 and w.node.bodies.peak_bytes > 30_000

    run(go, virtual=True)
