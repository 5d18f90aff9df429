"""A stand-in engine: slots, a queue, memory, a prompt cache, KV states, decode steps, and scripted faults.

It serves `tuliptrack.v1.Engine` on a real socket and logs what it sees there, one JSON line per event, in
monotonic microseconds (one clock for all processes of a machine). An answer depends on the request alone, so
that the judge can detect missing and duplicate tokens.
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

__all__ = ["Engine", "answer_length", "answer_token", "request_name"]

SERVICE = "tuliptrack.v1.Engine"
STATE_TRAILER = "tuliptrack-state-bytes"
CONTROL = "tuliptrack.lab.v1.Control"
_ROLES = {
    config_pb2.READ: Role.PREFILL,
    config_pb2.WRITE: Role.DECODE,
    config_pb2.BOTH: Role.PREFILL_AND_DECODE,
}
_CHUNK = 32_768  # bytes of KV state in one message of a fetch
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


def request_name(prompt: str) -> str:
    """The client's name of the request: the first word of its prompt, without the try's number."""
    return prompt.split(" ", 1)[0].split("/", 1)[0]


def answer_length(prompt: str, least: int, most: int) -> int:
    """Length of the full answer to a prompt, in tokens."""
    return least + xxhash.xxh3_64_intdigest(request_name(prompt).encode()) % max(most - least + 1, 1)


def answer_token(prompt: str, index: int) -> str:
    """Text of the answer's token at `index`."""
    digest = xxhash.xxh3_64_intdigest(f"{request_name(prompt)}:{index}".encode())
    return f"{digest & 0xFFFF:04x} "


def _cache_keys(work: engine_pb2.Work) -> list[tuple[str, int]]:
    """Cache keys for a prompt (its session, its prefix) and the number of tokens that each covers."""
    keys = [(f"s:{work.tenant}:{work.session}", work.prompt_tokens)] if work.session else []
    return [*keys, (f"p:{work.prefix}", work.prefix_tokens)] if work.prefix else keys


@dataclass(eq=False)
class _Job:
    """A Read or Write call in progress."""

    call: ServerCall
    work: engine_pb2.Work
    kind: str
    prefill_tokens: int = 0
    memory: int = 0
    state: engine_pb2.StateRef | None = None
    state_fetch: ClientCall | None = None
    fetched_bytes: int = 0
    """Bytes of KV state received."""
    done: bool = False
    running: bool = False
    index: int = 0
    """Index of the next token."""
    end_index: int = 0
    break_index: int = -1
    silent: bool = False
    """A scripted fault: the call is never answered."""
    unread: bool = False
    """The node does not read what is sent: no tokens are generated until it does."""
    timers: list[asyncio.TimerHandle] = field(default_factory=list)


@dataclass
class _KvState:
    """A KV state that waits to be fetched."""

    request: str
    tokens: int
    lease: asyncio.TimerHandle


class Engine:
    """One stand-in engine. `start` listens; `stop` ends the server and all tasks."""

    def __init__(
        self, name: str, model: lab_pb2.EngineModel, log: IO[str] | None = None, cold: bool = False
    ) -> None:
        self.name, self.model = name, model
        self.role = _ROLES[model.role]
        self.params = {k: float(getattr(model, k)) if model.HasField(k) else v for k, v in DEFAULTS.items()}
        self.random = random.Random(f"{int(self.params['seed'])}:{name}")
        self.log_file = log
        self.incarnation = secrets.token_hex(4)
        self.trouble = lab_pb2.Trouble()
        self.paused_until = 0
        self.started = now_us()
        self.cold = cold
        self.crashed = False
        self.queue: deque[_Job] = deque()
        self.jobs: set[_Job] = set()
        self.prefill_queue: deque[_Job] = deque()
        self.decoding: list[_Job] = []
        self.states: OrderedDict[str, _KvState] = OrderedDict()
        self.prompt_cache: OrderedDict[str, int] = OrderedDict()
        self.fetched: OrderedDict[str, list[Traffic]] = OrderedDict()
        """Traffic of the KV state fetches of each request; the last 10,000 requests."""
        self.transfers: deque[tuple[str, engine_pb2.Work, Traffic]] = deque(maxlen=100_000)
        """Kind, work and traffic of each Read and Write call, to check accounts against; the last 100,000."""
        self.cached_tokens = 0
        self.memory = 0
        self.recent_work: deque[tuple[int, float]] = deque()
        self.report: tuple[int, bytes] = (0, b"")
        self.channels: dict[str, Channel] = {}
        self.server = Server(max_connections=10_000)
        self.server.add(SERVICE, "Read", unary_request(engine_pb2.ReadRequest, self._handle_read))
        self.server.add(SERVICE, "Write", unary_request(engine_pb2.WriteRequest, self._handle_write))
        self.server.add(SERVICE, "Release", unary_request(engine_pb2.ReleaseRequest, self._handle_release))
        self.server.add(SERVICE, "Hold", unary_request(engine_pb2.HoldRequest, self._handle_hold))
        self.server.add(SERVICE, "Probe", unary_request(engine_pb2.ProbeRequest, self._handle_probe))
        self.server.add(SERVICE, "Usage", unary_request(engine_pb2.UsageRequest, self._handle_usage))
        self.server.add(SERVICE, "Fetch", unary_request(engine_pb2.FetchRequest, self._handle_fetch))
        self.server.add(CONTROL, "Apply", unary_request(lab_pb2.Trouble, self._handle_apply))
        self._wake = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    # -- start and stop

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        address = await self.server.listen(host, port)
        self.server.gate = self._gate
        loop = asyncio.get_running_loop()
        if self.role is not Role.DECODE:
            self._tasks.append(loop.create_task(self._prefill_loop()))
        if self.role is not Role.PREFILL:
            self._tasks.append(loop.create_task(self._decode_loop()))
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
        """Log one event as a JSON line."""
        if self.log_file:
            self.log_file.write(
                json.dumps({"t": now_us(), "engine": self.name, "what": what, **facts}) + "\n"
            )
            self.log_file.flush()

    # -- faults and cold start

    def apply(self, trouble: lab_pb2.Trouble) -> None:
        """Replace the current faults."""
        self.trouble = trouble
        if trouble.pause_ms:
            self.paused_until = now_us() + int(trouble.pause_ms * 1000)
        if trouble.forget:
            self.prompt_cache.clear()
            self.cached_tokens = 0
        if trouble.lose_states:
            for state in list(self.states):
                self._drop_state(state, "lost")
        self.note("trouble", text=str(trouble).replace("\n", " "))

    def _handle_apply(self, call: ServerCall, trouble: lab_pb2.Trouble) -> None:
        self.apply(trouble)
        call.send(b"")
        call.end(Status(Code.OK))

    async def _gate(self, writer: asyncio.StreamWriter) -> bool:
        """Whether to accept a new connection."""
        if self.crashed or self.trouble.refuse_connects:
            return False
        if self.trouble.slow_connect_ms:
            await asyncio.sleep(self.trouble.slow_connect_ms / 1000)
        return True

    def capacity(self) -> float:
        """Share of the full speed available now: below 1 during a cold start."""
        if not self.cold or not self.params["cold_ms"]:
            return 1.0
        done = min((now_us() - self.started) / (self.params["cold_ms"] * 1000), 1.0)
        return self.params["cold_from"] + (1 - self.params["cold_from"]) * done

    def _speed(self) -> float:
        return self.capacity() / max(self.trouble.slow or 1.0, 1e-6)

    def _crash_if_overloaded(self, work: float) -> None:
        """Crash a cold engine that is sent more work within the window than it tolerates."""
        if not self.cold or now_us() - self.started > self.params["cold_ms"] * 1000:
            return
        now, window = now_us(), self.params["fall_window_ms"] * 1000
        self.recent_work.append((now, work))
        while self.recent_work[0][0] < now - window:
            self.recent_work.popleft()
        per_s = (
            self.params["read_per_s"]
            if self.role is Role.PREFILL
            else self.params["slots"] * 1000 / self.params["step_ms"]
        )
        budget = self.params["fall_multiple"] * per_s * self.capacity() * window / 1e6
        if sum(w for _, w in self.recent_work) > budget:
            self.crashed = True
            self.note("fell", budget=budget)
            for link in list(self.server.links):
                link.close("fell over")

    # -- calls

    def _accept_call(self, call: ServerCall, work: engine_pb2.Work, kind: str) -> _Job | None:
        """Register a Read or Write call; None if the engine crashed, is full, or a scripted fault applies."""
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
        call.on_cancelled = lambda reason: self._on_cancelled(job, reason)
        self.jobs.add(job)
        self.transfers.append((kind, work, call.traffic))
        self._crash_if_overloaded(work.prompt_tokens if kind == "read" else self._answer_length(work.prompt))
        if self.crashed:
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
        if len(self.jobs) > self.params["slots"] + self.params["queue"]:
            self._finish(job, Status(Code.RESOURCE_EXHAUSTED, "no room"))
            return None
        if work.request_class in self.trouble.drop_class:
            job.silent = True
            return None
        return job

    def _finish(self, job: _Job, status: Status) -> None:
        """End a call with a status and, in the trailers, the load report."""
        if job.done:
            return
        self._remove_job(job)
        self.note(
            "end",
            kind=job.kind,
            request=job.work.request_id,
            attempt=job.work.attempt,
            code=status.code.name,
            tokens=job.index,
        )
        fetched = ((STATE_TRAILER, str(job.fetched_bytes)),) if job.state else ()
        job.call.end(status, self.trailer() + fetched)

    def _on_cancelled(self, job: _Job, reason: str) -> None:
        if not job.done:
            self._remove_job(job)
            self.note(
                "gone",
                kind=job.kind,
                request=job.work.request_id,
                attempt=job.work.attempt,
                reason=reason,
                tokens=job.index,
            )

    def _remove_job(self, job: _Job) -> None:
        job.done = True
        self.jobs.discard(job)
        if job in self.decoding:
            self.decoding.remove(job)
        self.memory -= job.memory
        job.memory = 0
        for timer in job.timers:
            timer.cancel()
        if job.state_fetch:
            job.state_fetch.cancel()
        self._wake.set()

    def trailer(self) -> Metadata:
        """The load report, rebuilt at most every `report_ms`."""
        if now_us() - self.report[0] > self.params["report_ms"] * 1000:
            waiting = sum(j.prefill_tokens for j in self.prefill_queue) + sum(
                j.prefill_tokens for j in self.queue
            )
            report = OrcaLoadReport(
                mem_utilization=min(max(self.memory, 0) / self.params["memory_tokens"], 1.0)
            )
            report.named_metrics["in_flight"] = len(self.jobs) + len(self.states)
            report.named_metrics["tokens_waiting_k"] = waiting / 1000
            self.report = (now_us(), report.SerializeToString())
        return (("endpoint-load-metrics-bin", self.report[1]),)

    def _tokens_to_prefill(self, work: engine_pb2.Work) -> tuple[int, int]:
        """Tokens to prefill and tokens found in the cache; marks the cache entries as recently used."""
        cached = 0
        for key, covered in _cache_keys(work):
            if key in self.prompt_cache:
                self.prompt_cache.move_to_end(key)
                cached = max(cached, min(self.prompt_cache[key], covered))
        cached = min(cached, work.prompt_tokens - 1)
        return work.prompt_tokens - cached + work.resume.next_index, cached

    def _cache_prompt(self, work: engine_pb2.Work) -> None:
        for key, size in _cache_keys(work):
            self.cached_tokens += size - self.prompt_cache.pop(key, 0)
            self.prompt_cache[key] = size
        while self.cached_tokens > self.params["kept_tokens"] and self.prompt_cache:
            self.cached_tokens -= self.prompt_cache.popitem(last=False)[1]

    def _handle_read(self, call: ServerCall, request: engine_pb2.ReadRequest) -> None:
        if job := self._accept_call(call, request.work, "read"):
            job.prefill_tokens, job.index = self._tokens_to_prefill(request.work)[0], 0
            self.prefill_queue.append(job)
            self._wake.set()

    def _handle_write(self, call: ServerCall, request: engine_pb2.WriteRequest) -> None:
        job = self._accept_call(call, request.work, "write")
        if job is None:
            return
        if request.HasField("state"):
            job.state = request.state
        self.queue.append(job)
        self._wake.set()

    def _handle_release(self, call: ServerCall, request: engine_pb2.ReleaseRequest) -> None:
        for state in [s for s, w in self.states.items() if w.request == request.request_id]:
            self._drop_state(state, "released")
        call.send(b"")
        call.end(Status(Code.OK), self.trailer())

    def _handle_hold(self, call: ServerCall, request: engine_pb2.HoldRequest) -> None:
        self.note("hold", request=request.work.request_id)
        can_hold = len(self.jobs) < self.params["slots"] and not self.queue
        call.send(engine_pb2.HoldResponse(held=can_hold).SerializeToString())
        call.end(Status(Code.OK), self.trailer())

    def _handle_probe(self, call: ServerCall, request: engine_pb2.ProbeRequest) -> None:
        call.send(engine_pb2.ProbeResponse(incarnation=self.incarnation).SerializeToString())
        call.end(Status(Code.OK), self.trailer())

    def _handle_usage(self, call: ServerCall, request: engine_pb2.UsageRequest) -> None:
        sent = sum(t.sent for t in self.fetched.get(request.request_id, []))
        call.send(engine_pb2.UsageResponse(state_bytes=sent).SerializeToString())
        call.end(Status(Code.OK), self.trailer())

    # -- prefill and KV states

    def _pause_left(self) -> float:
        """Seconds left of a scripted pause."""
        return max(self.paused_until - now_us(), 0) / 1e6

    async def _prefill_loop(self) -> None:
        while True:
            self._wake.clear()
            while self.prefill_queue and self.prefill_queue[0].done:
                self.prefill_queue.popleft()
            needed = (
                self.prefill_queue[0].work.prompt_tokens - self.prefill_queue[0].memory
                if self.prefill_queue
                else 0
            )
            if not self.prefill_queue or self.memory + needed > self.params["memory_tokens"]:
                await self._wake.wait()
                continue
            if pause := self._pause_left():
                await asyncio.sleep(pause)
                continue
            job = self.prefill_queue.popleft()
            self.memory += needed
            job.memory += needed
            uncached, cached = self._tokens_to_prefill(job.work)
            await asyncio.sleep(uncached / self.params["read_per_s"] / self._speed())
            await asyncio.sleep(self._pause_left())
            if job.done:
                continue
            self._cache_prompt(job.work)
            if job.kind == "write":  # prefill and decode on the same engine
                self._start_decoding(job)
                continue
            if self.trouble.lose_before and self.random.random() < self.trouble.lose_before:
                job.silent = True
                continue
            state = f"{self.incarnation}-{job.work.request_id}-{job.work.attempt}"
            lease = asyncio.get_running_loop().call_later(
                self.params["state_lease_ms"] / 1000, self._drop_state, state, "lease"
            )
            self.states[state] = _KvState(job.work.request_id, job.memory, lease)
            job.memory = 0  # The state owns it now.
            self.note("kept", request=job.work.request_id, state=state)
            job.call.send(engine_pb2.ReadResponse(state_id=state, kept_tokens=cached).SerializeToString())
            self._finish(job, Status(Code.OK))

    def _drop_state(self, state: str, why: str) -> None:
        if waiting := self.states.pop(state, None):
            waiting.lease.cancel()
            self.memory -= waiting.tokens
            self.note("let go", request=waiting.request, state=state, why=why)
            self._wake.set()

    def _handle_fetch(self, call: ServerCall, request: engine_pb2.FetchRequest) -> None:
        waiting = self.states.get(request.state_id)
        if waiting is None:
            call.end(Status(Code.NOT_FOUND, "state_id: no such state waits here"))
            return
        self.fetched.setdefault(waiting.request, []).append(call.traffic)
        if len(self.fetched) > 10_000:
            self.fetched.popitem(last=False)
        left = int(waiting.tokens * self.params["state_bytes_per_token"])
        first = True
        while left > 0:
            message = engine_pb2.FetchResponse(
                chunk=b"\0" * min(left, _CHUNK), tokens=waiting.tokens if first else 0
            )
            call.send(message.SerializeToString())
            left, first = left - _CHUNK, False
        self._drop_state(request.state_id, "fetched")
        call.end(Status(Code.OK))

    # -- decode

    def _admit(self) -> None:
        """Start queued jobs while there are a slot and memory for the next one."""
        while self.queue and (
            self.queue[0].done
            or (
                len(self.decoding) + sum(1 for j in self.jobs if j.running and j not in self.decoding)
                < self.params["slots"]
                and self.memory + self.queue[0].work.prompt_tokens <= self.params["memory_tokens"]
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
                self.prefill_queue.append(job)
                self._wake.set()
            else:
                delay = self._tokens_to_prefill(job.work)[0] / self.params["read_per_s"] / self._speed()
                self._cache_prompt(job.work)
                job.timers.append(asyncio.get_running_loop().call_later(delay, self._start_decoding, job))

    def _start_fetch(self, job: _Job, may_retry: bool = True) -> None:
        """Fetch a KV state from its prefill engine; retry once if only the connection failed."""
        assert job.state is not None
        address = job.state.address
        channel = self.channels.setdefault(address, Channel(address, Options(connect_timeout=250_000)))

        def ended(end: End) -> None:
            job.fetched_bytes = job.state_fetch.traffic.received if job.state_fetch else 0
            job.state_fetch = None
            if job.done:
                return
            if end.status.code is Code.OK:
                self._start_decoding(job)
            elif end.is_connection_only and may_retry:
                self._start_fetch(job, may_retry=False)
            else:
                self._finish(job, Status(Code.FAILED_PRECONDITION, f"state: {end.status.message or 'gone'}"))

        request = engine_pb2.FetchRequest(state_id=job.state.state_id)
        job.state_fetch = channel.call(
            f"/{SERVICE}/Fetch", message=request.SerializeToString(), timeout=2_000_000, on_end=ended
        )

    def _answer_length(self, prompt: str) -> int:
        return answer_length(prompt, int(self.params["answer_least"]), int(self.params["answer_most"]))

    def _start_decoding(self, job: _Job) -> None:
        if job.done:
            return
        work = job.work
        job.index = work.resume.next_index
        job.end_index = min(self._answer_length(work.prompt), work.max_tokens)
        if self.trouble.lose_before and self.random.random() < self.trouble.lose_before:
            job.silent = True
            return
        if self.trouble.lose_after and self.random.random() < self.trouble.lose_after:
            job.break_index = job.index + max(self.trouble.lose_after_tokens, 1)
        job.call.on_writable = lambda: setattr(job, "unread", False)
        self.note("begun", request=work.request_id, attempt=work.attempt, index=job.index)
        self.decoding.append(job)
        self._wake.set()

    async def _decode_loop(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            self._admit()
            if not self.decoding:
                self._wake.clear()
                if not self.decoding:
                    await self._wake.wait()
                due = loop.time()
                continue
            due += (
                (self.params["step_ms"] + self.params["per_answer_ms"] * len(self.decoding))
                / 1000
                / self._speed()
            )
            await asyncio.sleep(max(due - loop.time(), 0) + self._pause_left())
            for job in list(self.decoding):
                if not job.unread and not job.done:
                    self._emit(job)

    def _emit(self, job: _Job) -> None:
        prompt, index = job.work.prompt, job.index
        if index == job.break_index:
            self._remove_job(job)
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
        is_last = index + 1 >= job.end_index
        if is_last:
            cut = job.work.max_tokens < self._answer_length(prompt)
            message.finish_reason = generation_pb2.LENGTH if cut else generation_pb2.STOP
        job.index += 1
        job.unread = not job.call.send(message.SerializeToString())
        if is_last:
            self._finish(job, Status(Code.OK))
