"""Stand-in clients: they arrive by a script, retry, resume, leave, read slowly, and write down what they
saw.
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

_NOTICED = 2_000_000  # microseconds after which a dead node gets no more clients
V2_STREAM = "/inference.GRPCInferenceService/ModelStreamInfer"
GENERATE = "/tuliptrack.v1.Generation/Generate"


@dataclass
class Try:
    """One call, as its client saw it. Times in monotonic microseconds."""

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
    """Microseconds of a refusal's advice; -1: it was no refusal."""
    finished: bool = False
    """The last token came, marked as such."""
    left: bool = False
    slow: bool = False
    fault: str = ""
    """What was wrong with the tokens, if anything."""
    v2: bool = False

    @property
    def tag(self) -> str:
        return f"{self.request}/{self.number}"


@dataclass
class Arrival:
    """One client that comes."""

    at: float
    """Seconds after the day's start."""
    name: str
    load: lab_pb2.Load
    prompt_tokens: int
    prefix: str
    session: str
    leaves_after: float
    slow: bool
    seed: int
    tries: list[Try] = field(default_factory=list)
    aim: int = 0
    v2: bool = False
    """It comes by the KServe v2 stream."""


def arrivals(scenario: lab_pb2.Scenario, seed: int) -> Iterator[Arrival]:
    """Every client of a day, load by load; the same for the same seed."""
    length = scenario.length_ms / 1000
    for number, load in enumerate(scenario.load):
        chance = random.Random(f"{seed}:{number}")
        at = load.from_ms / 1000
        until = load.to_ms / 1000 if load.HasField("to_ms") else length
        least, most = load.prompt_least or 200, load.prompt_most or 800
        count = 0
        while load.per_s > 0:
            at += chance.expovariate(load.per_s)
            if at >= until:
                break
            count += 1
            own = int(least * (most / least) ** chance.random())
            which = int(load.prefixes * chance.random() ** 2)  # the first ones are the most used
            name = load.name or load.request_class
            yield Arrival(
                at,
                f"{name}-{number}-{count}",
                load,
                own + load.prefix_tokens,
                f"{name}:{which}" if load.prefixes else "",
                f"s{number}-{count // 2}",
                chance.random() * (load.leave_within_ms or 1000) / 1000
                if chance.random() < load.leave
                else -1.0,
                chance.random() < load.slow_readers,
                chance.getrandbits(32),
                v2=random.Random(f"{seed}:{number}:{count}").random() < load.v2,
            )


class Client:
    """Plays arrivals against nodes. `nodes` gives each node's channel; `classes` what is promised."""

    def __init__(self, nodes: list[Channel], classes: dict[str, RequestClass]) -> None:
        self.nodes, self.classes = nodes, classes
        self.unreached: dict[int, int] = {}
        """Nodes that could not be reached, and since when: after a while the layer in front leaves them
        out."""

    async def play(self, one: Arrival) -> None:
        """One client from its arrival to its last try."""
        chance = random.Random(one.seed)
        load, cls = one.load, self.classes[one.load.request_class]
        grown = cls.objective_us_per_1000_tokens * one.prompt_tokens / 1000
        one.aim = cls.latency_objective_us + int(grown)
        patience = int(load.deadline_ms * 1000) or 3 * cls.deadline_us + int(2 * grown)
        have, text = 0, ""
        retries = load.retries if load.HasField("retries") else 2
        node = self._node(chance)
        for number in range(1 + retries):
            made = Try(
                one.name,
                number,
                node,
                cls.name,
                load.tenant,
                now_us(),
                now_us() + patience,
                have,
                slow=one.slow,
                v2=one.v2,
            )
            one.tries.append(made)
            request = pb.GenerateRequest(
                request_class=cls.name,
                tenant=load.tenant,
                session=one.session,
                prefix=one.prefix,
                prompt=f"{made.tag} " + "lorem " * min(one.prompt_tokens // 2, 4000),
                prompt_tokens=one.prompt_tokens,
                prefix_tokens=load.prefix_tokens if one.prefix else 0,
                max_tokens=load.max_tokens or 4096,
                repeat=number > 0,
            )
            if have:
                request.resume.next_index, request.resume.text = have, text
            watch = _WatchV2 if one.v2 else _Watch
            text += await watch(
                made,
                request,
                patience,
                one.leaves_after if number == 0 else -1.0,
                load.slow_read_ms / 1000 or 0.05,
            ).run(self.nodes[node])
            have += made.tokens
            if made.how == EndReason.CONNECT.value:
                self.unreached.setdefault(node, now_us())
            else:
                self.unreached.pop(node, None)
            if made.left or made.code == "OK" or made.finished:
                return
            refused, reached = made.retry_after >= 0, made.how != EndReason.CONNECT.value
            if not refused and reached and cls.idempotency is not Idempotency.IDEMPOTENT:
                return  # It may have run: only the client's user can tell whether to repeat it.
            wait = made.retry_after / 1e6 if made.retry_after > 0 else (load.retry_after_ms or 100) / 1000
            await asyncio.sleep(wait * (0.5 + chance.random()))
            node = self._node(chance)

    def _node(self, chance: random.Random) -> int:
        """A node by chance, as a plain layer in front picks it; a dead one is left out after a while, but for
        a trial.
        """
        good = [
            n
            for n in range(len(self.nodes))
            if now_us() - self.unreached.get(n, now_us()) < _NOTICED or chance.random() < 0.02
        ]
        return chance.choice(good or list(range(len(self.nodes))))


class _Watch:
    """One call and what comes of it."""

    def __init__(
        self, made: Try, request: pb.GenerateRequest, patience: int, leaves_after: float, pause: float
    ) -> None:
        self.made, self.request, self.patience = made, request, patience
        self.leaves_after, self.pause = leaves_after, pause
        self.text = ""
        self.over = asyncio.Event()
        self.call: ClientCall

    async def run(self, channel: Channel) -> str:
        """The text that came."""
        loop = asyncio.get_running_loop()
        self._start(channel)
        timer = loop.call_later(self.leaves_after, self._leave) if self.leaves_after >= 0 else None
        await self.over.wait()
        if timer:
            timer.cancel()
        return self.text

    def _start(self, channel: Channel) -> None:
        self.call = channel.call(
            GENERATE,
            message=self.request.SerializeToString(),
            timeout=self.patience,
            on_message=lambda data: self._token(pb.GenerateResponse.FromString(data)),
            on_end=self._end,
        )

    def _leave(self) -> None:
        if self.call.open:
            self.made.left = True
            self.call.cancel()

    def _token(self, token: pb.GenerateResponse) -> None:
        made = self.made
        made.last = now_us()
        made.first = made.first or made.last
        expected = made.resume_from + made.tokens
        if made.finished:
            made.fault = made.fault or f"token {token.index} after the last one"
        elif token.index != expected or token.text != answer_token(self.request.prompt, expected):
            made.fault = made.fault or f"token {token.index} {token.text!r} came where {expected} was to come"
        made.tokens += 1
        self.text += token.text
        made.finished = bool(token.finish_reason)
        if made.slow and not made.finished:
            self.call.pause()
            asyncio.get_running_loop().call_later(self.pause, self.call.resume)

    def _end(self, end: End) -> None:
        made = self.made
        made.end, made.how, made.code = now_us(), end.how.value, end.status.code.name
        made.reason = end.status.message
        for detail in end.status.parsed():
            if isinstance(detail, error_details_pb2.RetryInfo):
                made.retry_after = detail.retry_delay.ToMicroseconds()
        if end.status.code is Code.OK and not made.finished:
            made.fault = made.fault or "it ended well without a last token"
        self.over.set()


class _WatchV2(_Watch):
    """The same by a ModelStreamInfer of its own; how its request ended is put in the first front's words."""

    def _start(self, channel: Channel) -> None:
        ask = self.request
        message = v2.ModelInferRequest(model_name=ask.model or "model", id=self.made.tag)
        message.inputs.add(name="text_input", datatype="BYTES", shape=[1]).contents.bytes_contents.append(
            ask.prompt.encode()
        )
        for name in ("request_class", "tenant", "session", "prefix"):
            message.parameters[name].string_param = getattr(ask, name)
        for name in ("prompt_tokens", "prefix_tokens", "max_tokens"):
            message.parameters[name].int64_param = getattr(ask, name)
        message.parameters["repeat"].bool_param = ask.repeat
        if ask.HasField("resume"):
            message.parameters["resume_index"].int64_param = ask.resume.next_index
            message.parameters["resume_text"].string_param = ask.resume.text
        self.call = channel.call(
            V2_STREAM,
            message=message.SerializeToString(),
            timeout=self.patience,
            on_message=self._response,
            on_end=self._stream_end,
        )
        self.error: End | None = None

    def _response(self, data: bytes) -> None:
        got = v2.ModelStreamInferResponse.FromString(data)
        facts = got.infer_response.parameters
        if got.error_message:
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
            self.error = End(EndReason.STATUS, with_details(code, got.error_message, *details))
            return
        reason = pb.STOP if facts["triton_final_response"].bool_param else pb.FINISH_REASON_UNSPECIFIED
        text = got.infer_response.raw_output_contents[0][4:].decode()
        self._token(pb.GenerateResponse(index=facts["index"].int64_param, text=text, finish_reason=reason))

    def _stream_end(self, end: End) -> None:
        self._end(self.error if self.error and end.how is EndReason.STATUS else end)


def as_row(one: Try) -> dict[str, Any]:
    """One try as a line of the day's log."""
    return {
        "t": one.sent,
        "what": "try",
        "tag": one.tag,
        **{k: getattr(one, k) for k in Try.__dataclass_fields__},
    }
