"""A stand-in engine: slots, a queue, memory, kept prompts, waiting read states, steps, and scripted troubles.

It speaks `tuliptrack.v1.Engine` on a real socket and writes down what it saw there, one JSON line an event,
in monotonic microseconds (one clock for all processes of a machine). Its answers follow from the request
alone, so that a judge can tell a token missing or twice.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import secrets
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import IO, Any

import xxhash
from xds.data.orca.v3.orca_load_report_pb2 import OrcaLoadReport

from tuliptrack.interface import Role
from tuliptrack.proto import config_pb2, engine_pb2, generation_pb2, lab_pb2
from tuliptrack.rpc.channel import Channel, ClientCall, End, Options
from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.core import Traffic
from tuliptrack.rpc.server import Server, ServerCall, unary_request
from tuliptrack.rpc.status import Code, Metadata, Status

__all__ = ["Engine", "answer_length", "answer_token", "request_of"]

SERVICE = "tuliptrack.v1.Engine"
STATE_TRAILER = "tuliptrack-state-bytes"
CONTROL = "tuliptrack.lab.v1.Control"
_ROLES = {
    config_pb2.READ: Role.PREFILL,
    config_pb2.WRITE: Role.DECODE,
    config_pb2.BOTH: Role.PREFILL_AND_DECODE,
}
_CHUNK = 32_768  # bytes of one message of a fetched state
DEFAULTS: dict[str, float] = {
    "slots": 32,
    "queue": 32,
    "memory_tokens": 200_000,
    "read_per_s": 40_000,
    "step_ms": 10,
    "per_answer_ms": 0.05,
    "kept_tokens": 100_000,
    "answer_least": 10,
    "answer_most": 40,
    "cold_from": 1,
    "cold_ms": 0,
    "fall_multiple": 2.5,
    "fall_window_ms": 3_000,
    "state_bytes_per_token": 16,
    "state_lease_ms": 10_000,
    "report_ms": 200,
    "seed": 1,
}


def request_of(prompt: str) -> str:
    """The client's name of the request: the first word of its prompt, without the number of the try."""
    return prompt.split(" ", 1)[0].split("/", 1)[0]


def answer_length(prompt: str, least: int, most: int) -> int:
    """Tokens of the whole answer to a prompt."""
    return least + xxhash.xxh3_64_intdigest(request_of(prompt).encode()) % max(most - least + 1, 1)


def answer_token(prompt: str, index: int) -> str:
    """Text of one token of it."""
    digest = xxhash.xxh3_64_intdigest(f"{request_of(prompt)}:{index}".encode())
    return f"{digest & 0xFFFF:04x} "


def _kept_names(work: engine_pb2.Work) -> list[tuple[str, int]]:
    """Under which names a prompt's beginning is kept, and how much of it each covers."""
    names = [(f"s:{work.tenant}:{work.session}", work.prompt_tokens)] if work.session else []
    return [*names, (f"p:{work.prefix}", work.prefix_tokens)] if work.prefix else names


@dataclass(eq=False)
class _Job:
    """One call that is being worked on."""

    call: ServerCall
    work: engine_pb2.Work
    kind: str
    to_read: int = 0
    memory: int = 0
    state: engine_pb2.StateRef | None = None
    fetch: ClientCall | None = None
    fetched: int = 0
    """Bytes of the state that have come."""
    done: bool = False
    running: bool = False
    index: int = 0
    end: int = 0
    breaks_at: int = -1
    silent: bool = False
    unread: bool = False
    """The node does not take what is sent: nothing is made for it meanwhile."""
    timers: list[asyncio.TimerHandle] = field(default_factory=list)


@dataclass
class _Waiting:
    """A read state that waits to be fetched."""

    request: str
    tokens: int
    lease: asyncio.TimerHandle


class Engine:
    """One stand-in. `start` listens; `stop` ends it and every task of it."""

    def __init__(
        self, name: str, model: lab_pb2.EngineModel, log: IO[str] | None = None, cold: bool = False
    ) -> None:
        self.name, self.model = name, model
        self.role = _ROLES[model.role]
        self.m = {k: float(getattr(model, k)) if model.HasField(k) else v for k, v in DEFAULTS.items()}
        self.random = random.Random(f"{int(self.m['seed'])}:{name}")
        self.log_file = log
        self.incarnation = secrets.token_hex(4)
        self.trouble = lab_pb2.Trouble()
        self.paused_until = 0
        self.started = now_us()
        self.cold = cold
        self.fell = False
        self.queue: deque[_Job] = deque()
        self.jobs: set[_Job] = set()
        self.reading: deque[_Job] = deque()
        self.writing: list[_Job] = []
        self.states: OrderedDict[str, _Waiting] = OrderedDict()
        self.kept: OrderedDict[str, int] = OrderedDict()
        self.fetched: OrderedDict[str, list[Traffic]] = OrderedDict()
        """What has left of each request's states; the last 10,000 requests."""
        self.moved: deque[tuple[str, engine_pb2.Work, Traffic]] = deque(maxlen=100_000)
        """Every Read and Write call with its bytes, for a judge; the last 100,000."""
        self.kept_sum = 0
        self.memory = 0
        self.sent: deque[tuple[int, float]] = deque()
        self.report: tuple[int, bytes] = (0, b"")
        self.channels: dict[str, Channel] = {}
        self.server = Server(max_connections=10_000)
        self.server.add(SERVICE, "Read", unary_request(engine_pb2.ReadRequest, self._read))
        self.server.add(SERVICE, "Write", unary_request(engine_pb2.WriteRequest, self._write))
        self.server.add(SERVICE, "Release", unary_request(engine_pb2.ReleaseRequest, self._release))
        self.server.add(SERVICE, "Hold", unary_request(engine_pb2.HoldRequest, self._hold))
        self.server.add(SERVICE, "Probe", unary_request(engine_pb2.ProbeRequest, self._probe))
        self.server.add(SERVICE, "Usage", unary_request(engine_pb2.UsageRequest, self._usage))
        self.server.add(SERVICE, "Fetch", unary_request(engine_pb2.FetchRequest, self._fetch))
        self.server.add(CONTROL, "Apply", unary_request(lab_pb2.Trouble, self._apply))
        self._wake = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    # -- life

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        address = await self.server.listen(host, port)
        self.server.gate = self._gate
        loop = asyncio.get_running_loop()
        if self.role is not Role.DECODE:
            self._tasks.append(loop.create_task(self._read_loop()))
        if self.role is not Role.PREFILL:
            self._tasks.append(loop.create_task(self._step_loop()))
        self.note("up", address=address, role=self.role.value, cold=self.cold)
        return address

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        for waiting in self.states.values():
            waiting.lease.cancel()
        for job in list(self.jobs):
            for timer in job.timers:
                timer.cancel()
        await self.server.stop(0)
        for channel in self.channels.values():
            await channel.close()
        self.note("down")

    def note(self, what: str, **facts: Any) -> None:
        """Write down what was seen."""
        if self.log_file:
            self.log_file.write(
                json.dumps({"t": now_us(), "engine": self.name, "what": what, **facts}) + "\n"
            )
            self.log_file.flush()

    # -- troubles

    def apply(self, trouble: lab_pb2.Trouble) -> None:
        """Replace what is wrong."""
        self.trouble = trouble
        if trouble.pause_ms:
            self.paused_until = now_us() + int(trouble.pause_ms * 1000)
        if trouble.forget:
            self.kept.clear()
            self.kept_sum = 0
        if trouble.lose_states:
            for state in list(self.states):
                self._drop_state(state, "lost")
        self.note("trouble", text=str(trouble).replace("\n", " "))

    def _apply(self, call: ServerCall, trouble: lab_pb2.Trouble) -> None:
        self.apply(trouble)
        call.send(b"")
        call.end(Status(Code.OK))

    async def _gate(self, writer: asyncio.StreamWriter) -> bool:
        """Whether a new connection is taken."""
        if self.fell or self.trouble.refuse_connects:
            return False
        if self.trouble.slow_connect_ms:
            await asyncio.sleep(self.trouble.slow_connect_ms / 1000)
        return True

    def capacity(self) -> float:
        """Part of its full speed that it has now."""
        if not self.cold or not self.m["cold_ms"]:
            return 1.0
        done = min((now_us() - self.started) / (self.m["cold_ms"] * 1000), 1.0)
        return self.m["cold_from"] + (1 - self.m["cold_from"]) * done

    def _speed(self) -> float:
        return self.capacity() / max(self.trouble.slow or 1.0, 1e-6)

    def _weigh(self, work: float) -> None:
        """Cold engines fall over when they are sent too much within the window."""
        if not self.cold or now_us() - self.started > self.m["cold_ms"] * 1000:
            return
        now, span = now_us(), self.m["fall_window_ms"] * 1000
        self.sent.append((now, work))
        while self.sent[0][0] < now - span:
            self.sent.popleft()
        per_s = (
            self.m["read_per_s"] if self.role is Role.PREFILL else self.m["slots"] * 1000 / self.m["step_ms"]
        )
        budget = self.m["fall_multiple"] * per_s * self.capacity() * span / 1e6
        if sum(w for _, w in self.sent) > budget:
            self.fell = True
            self.note("fell", budget=budget)
            for link in list(self.server.links):
                link.close("fell over")

    # -- calls

    def _taken(self, call: ServerCall, work: engine_pb2.Work, kind: str) -> _Job | None:
        """Note a new call of Read or Write; None where it was turned away."""
        self.note(
            "call",
            kind=kind,
            request=work.request_id,
            attempt=work.attempt,
            tag=work.prompt.split(" ", 1)[0],
            cls=work.request_class,
            peer=call.peer,
            model=f"{work.model}:{work.model_version}",
        )
        job = _Job(call, work, kind)
        call.on_cancelled = lambda reason: self._gone(job, reason)
        self.jobs.add(job)
        self.moved.append((kind, work, call.traffic))
        self._weigh(work.prompt_tokens if kind == "read" else self._length(work.prompt))
        if self.fell:
            return None
        if self.trouble.full and self.random.random() < self.trouble.full:
            job.timers.append(
                asyncio.get_running_loop().call_later(
                    self.trouble.full_after_ms / 1000,
                    self._finish,
                    job,
                    Status(Code.RESOURCE_EXHAUSTED, "throttled"),
                )
            )
            return None
        if len(self.jobs) > self.m["slots"] + self.m["queue"]:
            self._finish(job, Status(Code.RESOURCE_EXHAUSTED, "no room"))
            return None
        if work.request_class in self.trouble.drop_class:
            job.silent = True
            return None
        return job

    def _finish(self, job: _Job, status: Status) -> None:
        """End a call with a status and the load report."""
        if job.done:
            return
        self._off(job)
        self.note(
            "end",
            kind=job.kind,
            request=job.work.request_id,
            attempt=job.work.attempt,
            code=status.code.name,
            tokens=job.index,
        )
        fetched = ((STATE_TRAILER, str(job.fetched)),) if job.state else ()
        job.call.end(status, self.trailer() + fetched)

    def _gone(self, job: _Job, reason: str) -> None:
        if not job.done:
            self._off(job)
            self.note(
                "gone",
                kind=job.kind,
                request=job.work.request_id,
                attempt=job.work.attempt,
                reason=reason,
                tokens=job.index,
            )

    def _off(self, job: _Job) -> None:
        job.done = True
        self.jobs.discard(job)
        if job in self.writing:
            self.writing.remove(job)
        self.memory -= job.memory
        job.memory = 0
        for timer in job.timers:
            timer.cancel()
        if job.fetch:
            job.fetch.cancel()
        self._wake.set()

    def trailer(self) -> Metadata:
        """The load report, as old as its last making."""
        if now_us() - self.report[0] > self.m["report_ms"] * 1000:
            waiting = sum(j.to_read for j in self.reading) + sum(j.to_read for j in self.queue)
            report = OrcaLoadReport(mem_utilization=min(max(self.memory, 0) / self.m["memory_tokens"], 1.0))
            report.named_metrics["in_flight"] = len(self.jobs) + len(self.states)
            report.named_metrics["tokens_waiting_k"] = waiting / 1000
            self.report = (now_us(), report.SerializeToString())
        return (("endpoint-load-metrics-bin", self.report[1]),)

    def _unread(self, work: engine_pb2.Work) -> tuple[int, int]:
        """Tokens to be read and tokens kept, of a prompt; what is kept is touched."""
        kept = 0
        for name, most in _kept_names(work):
            if name in self.kept:
                self.kept.move_to_end(name)
                kept = max(kept, min(self.kept[name], most))
        kept = min(kept, work.prompt_tokens - 1)
        return work.prompt_tokens - kept + work.resume.next_index, kept

    def _keep(self, work: engine_pb2.Work) -> None:
        for name, size in _kept_names(work):
            self.kept_sum += size - self.kept.pop(name, 0)
            self.kept[name] = size
        while self.kept_sum > self.m["kept_tokens"] and self.kept:
            self.kept_sum -= self.kept.popitem(last=False)[1]

    def _read(self, call: ServerCall, request: engine_pb2.ReadRequest) -> None:
        if job := self._taken(call, request.work, "read"):
            job.to_read, job.index = self._unread(request.work)[0], 0
            self.reading.append(job)
            self._wake.set()

    def _write(self, call: ServerCall, request: engine_pb2.WriteRequest) -> None:
        job = self._taken(call, request.work, "write")
        if job is None:
            return
        if request.HasField("state"):
            job.state = request.state
        self.queue.append(job)
        self._wake.set()

    def _release(self, call: ServerCall, request: engine_pb2.ReleaseRequest) -> None:
        for state in [s for s, w in self.states.items() if w.request == request.request_id]:
            self._drop_state(state, "released")
        call.send(b"")
        call.end(Status(Code.OK), self.trailer())

    def _hold(self, call: ServerCall, request: engine_pb2.HoldRequest) -> None:
        self.note("hold", request=request.work.request_id)
        held = len(self.jobs) < self.m["slots"] and not self.queue
        call.send(engine_pb2.HoldResponse(held=held).SerializeToString())
        call.end(Status(Code.OK), self.trailer())

    def _probe(self, call: ServerCall, request: engine_pb2.ProbeRequest) -> None:
        call.send(engine_pb2.ProbeResponse(incarnation=self.incarnation).SerializeToString())
        call.end(Status(Code.OK), self.trailer())

    def _usage(self, call: ServerCall, request: engine_pb2.UsageRequest) -> None:
        sent = sum(t.sent for t in self.fetched.get(request.request_id, []))
        call.send(engine_pb2.UsageResponse(state_bytes=sent).SerializeToString())
        call.end(Status(Code.OK), self.trailer())

    # -- reading

    def _rest(self) -> float:
        """Seconds for which it is paused."""
        return max(self.paused_until - now_us(), 0) / 1e6

    async def _read_loop(self) -> None:
        while True:
            self._wake.clear()
            while self.reading and self.reading[0].done:
                self.reading.popleft()
            need = self.reading[0].work.prompt_tokens - self.reading[0].memory if self.reading else 0
            if not self.reading or self.memory + need > self.m["memory_tokens"]:
                await self._wake.wait()
                continue
            if rest := self._rest():
                await asyncio.sleep(rest)
                continue
            job = self.reading.popleft()
            self.memory += need
            job.memory += need
            unread, kept = self._unread(job.work)
            await asyncio.sleep(unread / self.m["read_per_s"] / self._speed())
            await asyncio.sleep(self._rest())
            if job.done:
                continue
            self._keep(job.work)
            if job.kind == "write":  # read in place
                self._run(job)
                continue
            if self.trouble.lose_before and self.random.random() < self.trouble.lose_before:
                job.silent = True
                continue
            state = f"{self.incarnation}-{job.work.request_id}-{job.work.attempt}"
            lease = asyncio.get_running_loop().call_later(
                self.m["state_lease_ms"] / 1000, self._drop_state, state, "lease"
            )
            self.states[state] = _Waiting(job.work.request_id, job.memory, lease)
            job.memory = 0  # It is the state's now.
            self.note("kept", request=job.work.request_id, state=state)
            job.call.send(engine_pb2.ReadResponse(state_id=state, kept_tokens=kept).SerializeToString())
            self._finish(job, Status(Code.OK))

    def _drop_state(self, state: str, why: str) -> None:
        if waiting := self.states.pop(state, None):
            waiting.lease.cancel()
            self.memory -= waiting.tokens
            self.note("let go", request=waiting.request, state=state, why=why)
            self._wake.set()

    def _fetch(self, call: ServerCall, request: engine_pb2.FetchRequest) -> None:
        waiting = self.states.get(request.state_id)
        if waiting is None:
            call.end(Status(Code.NOT_FOUND, "state_id: no such state waits here"))
            return
        self.fetched.setdefault(waiting.request, []).append(call.traffic)
        if len(self.fetched) > 10_000:
            self.fetched.popitem(last=False)
        left = int(waiting.tokens * self.m["state_bytes_per_token"])
        first = True
        while left > 0:
            part = engine_pb2.FetchResponse(
                chunk=b"\0" * min(left, _CHUNK), tokens=waiting.tokens if first else 0
            )
            call.send(part.SerializeToString())
            left, first = left - _CHUNK, False
        self._drop_state(request.state_id, "fetched")
        call.end(Status(Code.OK))

    # -- writing

    def _admit(self) -> None:
        """Take from the queue what has a slot and memory."""
        while self.queue and (
            self.queue[0].done
            or (
                len(self.writing) + sum(1 for j in self.jobs if j.running and j not in self.writing)
                < self.m["slots"]
                and self.memory + self.queue[0].work.prompt_tokens <= self.m["memory_tokens"]
            )
        ):
            job = self.queue.popleft()
            if job.done:
                continue
            job.running = True
            job.memory = job.work.prompt_tokens
            self.memory += job.memory
            if job.state:
                self._start_fetch(job)
            elif self.role is Role.PREFILL_AND_DECODE:
                self.reading.append(job)
                self._wake.set()
            else:
                delay = self._unread(job.work)[0] / self.m["read_per_s"] / self._speed()
                self._keep(job.work)
                job.timers.append(asyncio.get_running_loop().call_later(delay, self._run, job))

    def _start_fetch(self, job: _Job, again: bool = True) -> None:
        """Fetch a state from its reader; once more where the connection alone broke."""
        assert job.state is not None
        address = job.state.address
        channel = self.channels.setdefault(address, Channel(address, Options(connect_timeout=250_000)))

        def ended(end: End) -> None:
            job.fetched = job.fetch.traffic.received if job.fetch else 0
            job.fetch = None
            if job.done:
                return
            if end.status.code is Code.OK:
                self._run(job)
            elif end.is_connection_only and again:
                self._start_fetch(job, again=False)
            else:
                self._finish(job, Status(Code.FAILED_PRECONDITION, f"state: {end.status.message or 'gone'}"))

        request = engine_pb2.FetchRequest(state_id=job.state.state_id)
        job.fetch = channel.call(
            f"/{SERVICE}/Fetch", message=request.SerializeToString(), timeout=2_000_000, on_end=ended
        )

    def _length(self, prompt: str) -> int:
        return answer_length(prompt, int(self.m["answer_least"]), int(self.m["answer_most"]))

    def _run(self, job: _Job) -> None:
        if job.done:
            return
        work = job.work
        job.index = work.resume.next_index
        job.end = min(self._length(work.prompt), work.max_tokens)
        if self.trouble.lose_before and self.random.random() < self.trouble.lose_before:
            job.silent = True
            return
        if self.trouble.lose_after and self.random.random() < self.trouble.lose_after:
            job.breaks_at = job.index + max(self.trouble.lose_after_tokens, 1)
        job.call.on_writable = lambda: setattr(job, "unread", False)
        self.note("begun", request=work.request_id, attempt=work.attempt, index=job.index)
        self.writing.append(job)
        self._wake.set()

    async def _step_loop(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            self._admit()
            if not self.writing:
                self._wake.clear()
                if not self.writing:
                    await self._wake.wait()
                due = loop.time()
                continue
            due += (self.m["step_ms"] + self.m["per_answer_ms"] * len(self.writing)) / 1000 / self._speed()
            await asyncio.sleep(max(due - loop.time(), 0) + self._rest())
            for job in list(self.writing):
                if not job.unread and not job.done:
                    self._emit(job)

    def _emit(self, job: _Job) -> None:
        prompt, index = job.work.prompt, job.index
        if index == job.breaks_at:
            self._off(job)
            self.note(
                "gone",
                kind=job.kind,
                request=job.work.request_id,
                attempt=job.work.attempt,
                reason="lost",
                tokens=index,
            )
            job.call.reset()
            return
        message = generation_pb2.GenerateResponse(index=index, text=answer_token(prompt, index))
        last = index + 1 >= job.end
        if last:
            cut = job.work.max_tokens < self._length(prompt)
            message.finish_reason = generation_pb2.LENGTH if cut else generation_pb2.STOP
        job.index += 1
        job.unread = not job.call.send(message.SerializeToString())
        if last:
            self._finish(job, Status(Code.OK))
