"""A simulated engine on the platform's HTTP, in a process of its own that records what reaches it.

KV states are files in a folder that all engines share, since any of them may release a state: a prefill creates
a file, a decode takes it, a release removes it, and a decode that finds none is rejected because the state is
gone.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from pathlib import Path

from tuliptrack.decisions.concurrency_limit import ByteBudget
from tuliptrack.lab.soak.answer_faults import (
    EARLY_HINTS,
    SECOND_ANSWER,
    begins_malformed,
    raw_writer,
    rejection,
    write_long_answer,
    write_malformed,
)
from tuliptrack.lab.soak.hostile_values import hostile_headers, hostile_usage
from tuliptrack.lab.soak.records import Recorder
from tuliptrack.lab.soak.schedule import FaultKind
from tuliptrack.lab.soak.stream_faults import LARGE_EVENT, LARGE_EVENTS, disturb
from tuliptrack.rpc.http1 import HttpCall, HttpLimits, HttpServer, Rejection

__all__ = ["SoakEngine", "large_byte_budget", "no_early_rejection"]

_PREFILL_S, _FIRST_TOKEN_S, _EVENT_S, _EVENTS = (0.005, 0.06), (0.005, 0.5), (0.005, 0.03), 6
_TOKEN = b'data: {"at":%.6f,"choices":[{"index":0,"delta":{"content":"abc"},"finish_reason":null}]}\n\n'
"""Each event carries the time of its write, on the monotonic clock that all processes share."""
_END = (
    b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":6,'
    b'"prompt_tokens_details":{"cached_tokens":4}}}\n\ndata: [DONE]\n\n'
)
_STATE_LOST, _FAILED = 410, 500
_SECOND_ANSWER_AFTER_S = 0.003
_BODY_BYTES = 1 << 30  # bytes of all bodies at once
_STATE_PATH = "/bootstrap/rooms/"


class SoakEngine:
    """One engine. The first letter of its name is its role: `r` prefill, `w` decode, `m` both."""

    def __init__(self, name: str, folder: Path, seed: int, recorder: Recorder) -> None:
        self.name, self.recorder = name, recorder
        self.is_hanging = False
        """Whether the engine accepts requests without answering them."""
        self.hostile_turn: int | None = None
        """Number of the unusable value in its load reports and token counts; None: it sends none."""
        self.stream_fault: FaultKind | None = None
        """The kind of fault with which the engine disturbs its streams; None: none."""
        self.writes_large_events = False
        self.message_faults: dict[FaultKind, int] = {}
        """The faults of its messages that are in force, with their numbers."""
        self._states = folder / "states"
        self._states.mkdir(exist_ok=True)
        self._random = random.Random(f"{seed} {name}")
        self._stream_random = random.Random(f"{seed} {name} streams")
        self._answering: set[asyncio.Task[None]] = set()
        limits = HttpLimits(request_timeout=60_000_000, idle=60_000_000)
        self.server = HttpServer(self._handle, no_early_rejection, limits, large_byte_budget())

    def _handle(self, call: HttpCall) -> None:
        """Handle a request that has arrived completely."""
        if call.method == "DELETE" and call.target.startswith(_STATE_PATH):
            self._release(call, call.target.removeprefix(_STATE_PATH))
            return
        call_id = call.headers.get("x-call-id", "")
        if not call_id:
            call.respond(404, b"")
            return
        self.recorder.note("taken", id=call_id, budget=float(call.headers.get("x-budget", "0")))
        call.on_cancelled = lambda reason: self._cancelled(call, call_id)
        if not self.is_hanging:
            task = asyncio.get_running_loop().create_task(self._answer(call, call_id))
            self._answering.add(task)
            task.add_done_callback(self._answering.discard)

    def _cancelled(self, call: HttpCall, call_id: str) -> None:
        """Handle an attempt that the node has cancelled. A decode engine that had not begun to answer holds the KV
        state again.
        """
        if self.name.startswith("w") and not call.started:
            (self._states / call_id).write_text(self.name)
            self.recorder.note("held again", id=call_id)
        else:
            self.recorder.note("broken off", id=call_id)

    def _release(self, call: HttpCall, call_id: str) -> None:
        self.recorder.note("released", id=call_id)
        (self._states / call_id).unlink(missing_ok=True)
        if not self.is_hanging:
            call.respond(204, b"")

    async def _answer(self, call: HttpCall, call_id: str) -> None:
        if self.name.startswith("r"):
            await self._prefill(call, call_id)
        else:
            await self._decode(call, call_id)

    async def _prefill(self, call: HttpCall, call_id: str) -> None:
        await asyncio.sleep(self._random.uniform(*_PREFILL_S))
        if not call.open or self._is_rejected(call, call_id):
            return
        (self._states / call_id).write_text(self.name)
        self.recorder.note("read", id=call_id)
        call.respond(202, json.dumps({"cached_tokens": 4}).encode(), self._load_report())

    def _load_report(self) -> list[tuple[str, str]]:
        return [] if self.hostile_turn is None else hostile_headers(self.hostile_turn)

    def _reject(self, call: HttpCall, call_id: str, status: int, body: bytes = b"") -> None:
        """Reject a request without having run it."""
        self.recorder.note("rejected", id=call_id)
        call.on_cancelled = lambda reason: None
        call.respond(status, body, [("x-rejected", "1")])

    def _is_rejected(self, call: HttpCall, call_id: str) -> bool:
        """Reject a request, or fail it, if that fault is in force; return whether it is."""
        number = self.message_faults.get(FaultKind.REJECTIONS)
        if number is None:
            return False
        status, body = rejection(number, self._stream_random)
        if status == _FAILED:
            call.on_cancelled = lambda reason: None
            (self._states / call_id).unlink(missing_ok=True)
            call.respond(status, body)
        else:
            self._reject(call, call_id, status, body)
            if self.name.startswith("w") and (self._states / call_id).exists():
                self.recorder.note("held again", id=call_id)
        return True

    async def _decode(self, call: HttpCall, call_id: str) -> None:
        if self._is_rejected(call, call_id):
            return
        try:
            (self._states / call_id).unlink()
        except FileNotFoundError:
            if not self.name.startswith("m"):
                self._reject(call, call_id, _STATE_LOST)
                return
            await asyncio.sleep(self._random.uniform(*_PREFILL_S))
        await asyncio.sleep(self._random.uniform(*_FIRST_TOKEN_S))
        if not call.open:
            return
        malformed = self.message_faults.get(FaultKind.MALFORMED_ANSWERS)
        if malformed is not None and begins_malformed(malformed):
            call.on_cancelled = lambda reason: self.recorder.note("broken off", id=call_id)
            await write_malformed(malformed, call, _TOKEN)
            return
        sends_more = FaultKind.MORE_THAN_ANSWERS in self.message_faults
        if sends_more:
            raw_writer(call)(EARLY_HINTS)
        write_raw = raw_writer(call)
        call.start(200, "text/event-stream", self._load_report())
        for index in range(_EVENTS):
            call.send(_TOKEN % time.monotonic())
            await asyncio.sleep(self._random.uniform(*_EVENT_S))
            if index == 0 and not await self._goes_on(call, call_id):
                return
        if self.hostile_turn is not None:
            call.send(hostile_usage(self.hostile_turn))
        call.send(_END)
        call.end()
        self.recorder.note("answered", id=call_id)
        if sends_more:
            await asyncio.sleep(_SECOND_ANSWER_AFTER_S)
            write_raw(SECOND_ANSWER)

    async def _goes_on(self, call: HttpCall, call_id: str) -> bool:
        """Play the faults of a stream that has begun; return whether the engine goes on with it."""
        if self.writes_large_events:
            for _ in range(LARGE_EVENTS):
                call.send(LARGE_EVENT)
        if (malformed := self.message_faults.get(FaultKind.MALFORMED_ANSWERS)) is not None:
            self.recorder.note("last event", id=call_id)
            await write_malformed(malformed, call, _TOKEN)
            return False
        if FaultKind.LONG_ANSWERS in self.message_faults:
            self.recorder.note("slow", id=call_id)
            await write_long_answer(call, self._stream_random)
            return call.open
        if self.stream_fault is None:
            return True
        return await disturb(self.stream_fault, call, call_id, self.recorder, self._stream_random)


def no_early_rejection(call: HttpCall) -> Rejection | None:
    """Reject no request by its head."""
    return None


def large_byte_budget() -> ByteBudget:
    """Return a budget that is large enough for the bodies of any soak."""
    return ByteBudget(_BODY_BYTES)
