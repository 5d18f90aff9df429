"""A stand-in engine on the platform's HTTP, as a process of its own that notes what reaches it.

Read states lie as files in a folder that all engines share, as any of them may let go of a state: a read
makes one, an answer takes it, a release removes it, and an answer that finds none says that the state is
gone.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from pathlib import Path

from tuliptrack.decisions.concurrency_limit import ByteBudget
from tuliptrack.lab.soak.hostile_values import hostile_head, hostile_usage
from tuliptrack.lab.soak.records import Recorder
from tuliptrack.rpc.http1 import HttpCall, HttpLimits, HttpServer, Rejection

__all__ = ["SoakEngine", "accept_everything", "nothing_early"]

_READ_S, _FIRST_TOKEN_S, _EVENT_S, _EVENTS = (0.005, 0.06), (0.005, 0.5), (0.005, 0.03), 6
_TOKEN = b'data: {"at":%.6f,"choices":[{"index":0,"delta":{"content":"abc"},"finish_reason":null}]}\n\n'
"""Each event tells when it was written, on the clock that all processes share."""
_END = (
    b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":6,'
    b'"prompt_tokens_details":{"cached_tokens":4}}}\n\ndata: [DONE]\n\n'
)
_BODIES = 1 << 30  # bytes of all bodies at once
_ROOM = "/bootstrap/rooms/"


class SoakEngine:
    """One engine: a reader, a writer or both by its name."""

    def __init__(self, name: str, folder: Path, seed: int, recorder: Recorder) -> None:
        self.name, self.recorder = name, recorder
        self.hangs = False
        """Requests are taken and nothing is said."""
        self.advice_turn: int | None = None
        """Which value its load reports and token counts have that cannot be used; None: it sends none."""
        self._states = folder / "states"
        self._states.mkdir(exist_ok=True)
        self._random = random.Random(f"{seed} {name}")
        self._playing: set[asyncio.Task[None]] = set()
        limits = HttpLimits(request_within=60_000_000, idle=60_000_000)
        self.server = HttpServer(self._handle, nothing_early, limits, accept_everything())

    def _handle(self, call: HttpCall) -> None:
        """A request whose last byte has come."""
        if call.method == "DELETE" and call.target.startswith(_ROOM):
            self._release(call, call.target.removeprefix(_ROOM))
            return
        call_id = call.headers.get("x-call-id", "")
        if not call_id:
            call.respond(404, b"")
            return
        self.recorder.note("taken", id=call_id, budget=float(call.headers.get("x-budget", "0")))
        call.on_cancelled = lambda reason: self._broken_off(call, call_id)
        if not self.hangs:
            task = asyncio.get_running_loop().create_task(self._play(call, call_id))
            self._playing.add(task)
            task.add_done_callback(self._playing.discard)

    def _broken_off(self, call: HttpCall, call_id: str) -> None:
        """The node has given an attempt up. What a writer had not begun to answer from is held again."""
        if self.name.startswith("w") and not call.started:
            (self._states / call_id).write_text(self.name)
            self.recorder.note("held again", id=call_id)
        else:
            self.recorder.note("broken off", id=call_id)

    def _release(self, call: HttpCall, call_id: str) -> None:
        self.recorder.note("released", id=call_id)
        (self._states / call_id).unlink(missing_ok=True)
        if not self.hangs:
            call.respond(204, b"")

    async def _play(self, call: HttpCall, call_id: str) -> None:
        if self.name.startswith("r"):
            await self._read(call, call_id)
        else:
            await self._write(call, call_id)

    async def _read(self, call: HttpCall, call_id: str) -> None:
        await asyncio.sleep(self._random.uniform(*_READ_S))
        if not call.open:
            return
        (self._states / call_id).write_text(self.name)
        self.recorder.note("read", id=call_id)
        call.respond(202, json.dumps({"cached_tokens": 4}).encode(), self._advice())

    def _advice(self) -> list[tuple[str, str]]:
        return [] if self.advice_turn is None else hostile_head(self.advice_turn)

    def _reject(self, call: HttpCall, call_id: str) -> None:
        """There is no state to go on from."""
        self.recorder.note("rejected", id=call_id)
        call.on_cancelled = lambda reason: None
        call.respond(410, b"", [("x-rejected", "1")])

    async def _write(self, call: HttpCall, call_id: str) -> None:
        try:
            (self._states / call_id).unlink()
        except FileNotFoundError:
            if not self.name.startswith("m"):
                self._reject(call, call_id)
                return
            await asyncio.sleep(self._random.uniform(*_READ_S))
        await asyncio.sleep(self._random.uniform(*_FIRST_TOKEN_S))
        if not call.open:
            return
        call.start(200, "text/event-stream", self._advice())
        for _ in range(_EVENTS):
            call.send(_TOKEN % time.monotonic())
            await asyncio.sleep(self._random.uniform(*_EVENT_S))
        if self.advice_turn is not None:
            call.send(hostile_usage(self.advice_turn))
        call.send(_END)
        call.end()
        self.recorder.note("answered", id=call_id)


def nothing_early(call: HttpCall) -> Rejection | None:
    """No request is refused from its head."""
    return None


def accept_everything() -> ByteBudget:
    """Room for the bodies of any soak."""
    return ByteBudget(_BODIES)
