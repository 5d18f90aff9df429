"""Stand-in clients: they arrive by a scenario, retry, resume, disconnect or read slowly, and record what they
see on their sockets.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from google.rpc import error_details_pb2

from tuliptrack.interface import Idempotency, RequestClass
from tuliptrack.lab.engine import answer_token
from tuliptrack.proto import generation_pb2 as pb
from tuliptrack.proto import kserve_pb2 as v2
from tuliptrack.proto import lab_pb2
from tuliptrack.rpc.channel import Channel, ClientCall, End, EndReason
from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.status import Code, rejection_details, with_details

__all__ = ["Arrival", "Client", "Try", "arrivals"]

_EJECT_AFTER_US = 2_000_000  # an unreachable node gets no more clients after this time
V2_STREAM = "/inference.GRPCInferenceService/ModelStreamInfer"
GENERATE = "/tuliptrack.v1.Generation/Generate"


@dataclass
class Try:
    """One call as its client saw it. Times are monotonic microseconds."""

    request: str
    number: int
    node: int
    cls: str
    tenant: str
    sent: int
    deadline: int
    resume_from: int
    first: int = 0
    last: int = 0
    tokens: int = 0
    end: int = 0
    how: str = ""
    code: str = ""
    reason: str = ""
    retry_after: int = -1
    """Microseconds of the rejection's retry-after advice; -1: the call was not rejected."""
    finished: bool = False
    """The token marked as the last one was received."""
    left: bool = False
    slow: bool = False
    fault: str = ""
    """The first fault in the sequence of tokens, if any."""
    v2: bool = False

    @property
    def tag(self) -> str:
        return f"{self.request}/{self.number}"


@dataclass
class Arrival:
    """One client of a scenario."""

    at: float
    """Seconds after the start of the run."""
    name: str
    load: lab_pb2.Load
    prompt_tokens: int
    prefix: str
    session: str
    leaves_after: float
    """Seconds until the client disconnects from its first try; -1: it does not."""
    slow: bool
    seed: int
    tries: list[Try] = field(default_factory=list)
    aim: int = 0
    v2: bool = False
    """The client uses the KServe v2 stream."""


def arrivals(scenario: lab_pb2.Scenario, seed: int) -> Iterator[Arrival]:
    """All clients of a scenario, load by load; the same seed gives the same clients."""
    length = scenario.length_ms / 1000
    for number, load in enumerate(scenario.load):
        rng = random.Random(f"{seed}:{number}")
        at = load.from_ms / 1000
        until = load.to_ms / 1000 if load.HasField("to_ms") else length
        least, most = load.prompt_least or 200, load.prompt_most or 800
        count = 0
        while load.per_s > 0:
            at += rng.expovariate(load.per_s)
            if at >= until:
                break
            count += 1
            suffix_tokens = int(least * (most / least) ** rng.random())
            prefix = int(load.prefixes * rng.random() ** 2)  # squared: low numbers are drawn more often
            name = load.name or load.request_class
            yield Arrival(
                at,
                f"{name}-{number}-{count}",
                load,
                suffix_tokens + load.prefix_tokens,
                f"{name}:{prefix}" if load.prefixes else "",
                f"s{number}-{count // 2}",
                rng.random() * (load.leave_within_ms or 1000) / 1000 if rng.random() < load.leave else -1.0,
                rng.random() < load.slow_readers,
                rng.getrandbits(32),
                v2=random.Random(f"{seed}:{number}:{count}").random() < load.v2,
            )


class Client:
    """Runs clients against nodes. `nodes` has each node's channel, `classes` the objectives and deadlines."""

    def __init__(self, nodes: list[Channel], classes: dict[str, RequestClass]) -> None:
        self.nodes, self.classes = nodes, classes
        self.unreached: dict[int, int] = {}
        """Unreachable nodes and since when. Like a load balancer, `_pick_node` ejects them after a while."""

    async def play(self, arrival: Arrival) -> None:
        """Run one client from its arrival to its last try."""
        rng = random.Random(arrival.seed)
        load, cls = arrival.load, self.classes[arrival.load.request_class]
        prompt_allowance = cls.objective_us_per_1000_tokens * arrival.prompt_tokens / 1000
        arrival.aim = cls.latency_objective_us + int(prompt_allowance)
        patience = int(load.deadline_ms * 1000) or 3 * cls.deadline_us + int(2 * prompt_allowance)
        next_index, text = 0, ""
        retries = load.retries if load.HasField("retries") else 2
        node = self._pick_node(rng)
        for number in range(1 + retries):
            result = Try(
                arrival.name,
                number,
                node,
                cls.name,
                load.tenant,
                now_us(),
                now_us() + patience,
                next_index,
                slow=arrival.slow,
                v2=arrival.v2,
            )
            arrival.tries.append(result)
            request = pb.GenerateRequest(
                request_class=cls.name,
                tenant=load.tenant,
                session=arrival.session,
                prefix=arrival.prefix,
                prompt=f"{result.tag} " + "lorem " * min(arrival.prompt_tokens // 2, 4000),
                prompt_tokens=arrival.prompt_tokens,
                prefix_tokens=load.prefix_tokens if arrival.prefix else 0,
                max_tokens=load.max_tokens or 4096,
                repeat=number > 0,
            )
            if next_index:
                request.resume.next_index, request.resume.text = next_index, text
            runner = _V2CallRunner if arrival.v2 else _CallRunner
            text += await runner(
                result,
                request,
                patience,
                arrival.leaves_after if number == 0 else -1.0,
                load.slow_read_ms / 1000 or 0.05,
            ).run(self.nodes[node])
            next_index += result.tokens
            if result.how == EndReason.CONNECT.value:
                self.unreached.setdefault(node, now_us())
            else:
                self.unreached.pop(node, None)
            if result.left or result.code == "OK" or result.finished:
                return
            is_rejected, is_reached = result.retry_after >= 0, result.how != EndReason.CONNECT.value
            if not is_rejected and is_reached and cls.idempotency is not Idempotency.IDEMPOTENT:
                return  # It may have been executed: only the user can decide whether to repeat it.
            wait = result.retry_after / 1e6 if result.retry_after > 0 else (load.retry_after_ms or 100) / 1000
            await asyncio.sleep(wait * (0.5 + rng.random()))
            node = self._pick_node(rng)

    def _pick_node(self, rng: random.Random) -> int:
        """A random node, as a simple load balancer picks it. A node that stays unreachable is ejected, but is still
        a candidate in 2% of the picks.
        """
        candidates = [
            n
            for n in range(len(self.nodes))
            if now_us() - self.unreached.get(n, now_us()) < _EJECT_AFTER_US or rng.random() < 0.02
        ]
        return rng.choice(candidates or list(range(len(self.nodes))))


class _CallRunner:
    """Runs one call and records its tokens and its end."""

    def __init__(
        self, result: Try, request: pb.GenerateRequest, patience: int, leaves_after: float, read_pause: float
    ) -> None:
        self.result, self.request, self.patience = result, request, patience
        self.leaves_after, self.read_pause = leaves_after, read_pause
        self.text = ""
        self.ended = asyncio.Event()
        self.call: ClientCall

    async def run(self, channel: Channel) -> str:
        """Run the call to its end; return the text received."""
        loop = asyncio.get_running_loop()
        self._start(channel)
        timer = loop.call_later(self.leaves_after, self._disconnect) if self.leaves_after >= 0 else None
        await self.ended.wait()
        if timer:
            timer.cancel()
        return self.text

    def _start(self, channel: Channel) -> None:
        self.call = channel.call(
            GENERATE,
            message=self.request.SerializeToString(),
            timeout=self.patience,
            on_message=lambda data: self._on_token(pb.GenerateResponse.FromString(data)),
            on_end=self._on_end,
        )

    def _disconnect(self) -> None:
        if self.call.open:
            self.result.left = True
            self.call.cancel()

    def _on_token(self, token: pb.GenerateResponse) -> None:
        result = self.result
        result.last = now_us()
        result.first = result.first or result.last
        expected = result.resume_from + result.tokens
        if result.finished:
            result.fault = result.fault or f"token {token.index} after the last one"
        elif token.index != expected or token.text != answer_token(self.request.prompt, expected):
            result.fault = (
                result.fault or f"received token {token.index} {token.text!r}, expected token {expected}"
            )
        result.tokens += 1
        self.text += token.text
        result.finished = bool(token.finish_reason)
        if result.slow and not result.finished:
            self.call.pause()
            asyncio.get_running_loop().call_later(self.read_pause, self.call.resume)

    def _on_end(self, end: End) -> None:
        result = self.result
        result.end, result.how, result.code = now_us(), end.how.value, end.status.code.name
        result.reason = end.status.message
        for detail in end.status.parsed():
            if isinstance(detail, error_details_pb2.RetryInfo):
                result.retry_after = detail.retry_delay.ToMicroseconds()
        if end.status.code is Code.OK and not result.finished:
            result.fault = result.fault or "status OK without a last token"
        self.ended.set()


class _V2CallRunner(_CallRunner):
    """Runs the call on a ModelStreamInfer of its own; maps its end to the status codes of Generate."""

    def _start(self, channel: Channel) -> None:
        request = self.request
        message = v2.ModelInferRequest(model_name=request.model or "model", id=self.result.tag)
        message.inputs.add(name="text_input", datatype="BYTES", shape=[1]).contents.bytes_contents.append(
            request.prompt.encode()
        )
        for name in ("request_class", "tenant", "session", "prefix"):
            message.parameters[name].string_param = getattr(request, name)
        for name in ("prompt_tokens", "prefix_tokens", "max_tokens"):
            message.parameters[name].int64_param = getattr(request, name)
        message.parameters["repeat"].bool_param = request.repeat
        if request.HasField("resume"):
            message.parameters["resume_index"].int64_param = request.resume.next_index
            message.parameters["resume_text"].string_param = request.resume.text
        self.call = channel.call(
            V2_STREAM,
            message=message.SerializeToString(),
            timeout=self.patience,
            on_message=self._on_response,
            on_end=self._on_stream_end,
        )
        self.error: End | None = None

    def _on_response(self, data: bytes) -> None:
        response = v2.ModelStreamInferResponse.FromString(data)
        facts = response.infer_response.parameters
        if response.error_message:
            kind = facts["error"].string_param
            code = {
                "REFUSED": Code.UNAVAILABLE,
                "BROKEN": Code.ABORTED,
                "HANDED_BACK": Code.ABORTED,
                "LOST": Code.UNKNOWN,
                "DEADLINE": Code.DEADLINE_EXCEEDED,
                "STALLED": Code.CANCELLED,
            }.get(kind, Code.INVALID_ARGUMENT)
            details = (
                rejection_details(kind, facts["retry_after_ms"].int64_param * 1000)
                if kind == "REFUSED"
                else []
            )
            self.error = End(EndReason.STATUS, with_details(code, response.error_message, *details))
            return
        reason = pb.STOP if facts["triton_final_response"].bool_param else pb.FINISH_REASON_UNSPECIFIED
        text = response.infer_response.raw_output_contents[0][4:].decode()
        self._on_token(pb.GenerateResponse(index=facts["index"].int64_param, text=text, finish_reason=reason))

    def _on_stream_end(self, end: End) -> None:
        self._on_end(self.error if self.error and end.how is EndReason.STATUS else end)


def as_row(result: Try) -> dict[str, Any]:
    """One try as a row of clients.json."""
    return {
        "t": result.sent,
        "what": "try",
        "tag": result.tag,
        **{k: getattr(result, k) for k in Try.__dataclass_fields__},
    }
