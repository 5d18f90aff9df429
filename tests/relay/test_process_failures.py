"""Failures around a node's process: its log cannot be written, its settings file cannot be read, its listening
address is taken, signals come at bad moments."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import os
import signal
import socket
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from relay_harness import (
    SETTINGS,
    Peer,
    Platform,
    answer_decode,
    answer_prefill,
    platform,
    read_reply,
    request,
)
from relay_process import CLOSED, settings_text, spawn_node, start_node
from world import run, until

READY_WITHIN_S = 10.0
LONG_OBJECTIVE_US = 60_000_000
FAULT_S = 0.8
"""Time during which the system fails for a node that starts or reloads."""
RELOADED_WITHIN_S = 4.0
"""Time within which a node loads its settings after a SIGHUP at which they could not be read."""

FAILING_OPEN = f"""
import errno, io, os, time
_open, _started = io.open, time.monotonic()
def failing(file, *args, **kwargs):
    if str(file) == os.environ["RELAY_CONFIG"] and time.monotonic() < _started + {FAULT_S}:
        raise OSError(int(os.environ["FAILS_WITH"]), "fails for a moment")
    return _open(file, *args, **kwargs)
io.open = failing
"""


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return int(listener.getsockname()[1])


async def send_request(port: int, name: str) -> int:
    """Send one request and return the status of its answer; 0: nobody listens, -1: the answer is incomplete."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return 0
    try:
        writer.write(request(name))
        reply = await asyncio.wait_for(read_reply(reader), 5)
        return reply.status if reply.is_complete else -1
    finally:
        writer.close()


async def wait_until_it_serves(process: asyncio.subprocess.Process, port: int) -> None:
    """Wait until a node serves, without its log, which may be unreadable."""
    async with asyncio.timeout(READY_WITHIN_S):
        while await send_request(port, "is-ready") != 200:
            assert process.returncode is None, f"the node has ended: {process.returncode}"
            await asyncio.sleep(0.02)


def known_list(p: Platform) -> dict[str, object]:
    """Return the platform's engines as the endpoint list of a settings file."""
    return {"revision": 1, "complete": True, "members": p.members()}


@contextlib.contextmanager
def full_disk() -> Iterator[int]:
    descriptor = os.open("/dev/full", os.O_WRONLY)
    yield descriptor
    os.close(descriptor)


@contextlib.contextmanager
def pipe_without_reader() -> Iterator[int]:
    reading, writing = os.pipe()
    os.close(reading)
    yield writing
    os.close(writing)


@contextlib.contextmanager
def full_pipe() -> Iterator[int]:
    """Yield the write end of a pipe that nobody reads and whose buffer is full: a write to it blocks
    forever."""
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(writing, b"x" * 4096)
    os.set_blocking(writing, True)
    yield writing
    os.close(reading)
    os.close(writing)


@contextlib.contextmanager
def closed_descriptor() -> Iterator[int]:
    yield CLOSED


LOGS: dict[str, Callable[[], contextlib.AbstractContextManager[int]]] = {
    "a full disk": full_disk,
    "a reader that has gone": pipe_without_reader,
    "a reader that stands still": full_pipe,
    "closed": closed_descriptor,
}


def settings_without_shedding() -> dict[str, object]:
    """Return settings with a long latency objective, so that no request is shed because stub engines answer
    late on a slow machine."""
    classes = [{**request_class, "promise": LONG_OBJECTIVE_US} for request_class in SETTINGS["classes"]]
    return {**SETTINGS, "classes": classes}


@pytest.mark.parametrize("log", LOGS)
def test_requests_are_served_if_the_log_cannot_be_written(log: str, tmp_path: Path) -> None:
    async def go() -> None:
        async with platform(r0=answer_prefill, w0=answer_decode) as p:
            port = free_port()
            with LOGS[log]() as standard_error:
                process = await spawn_node(
                    tmp_path / "config.json",
                    settings_text(
                        p.agent.address,
                        listen=f"127.0.0.1:{port}",
                        known=known_list(p),
                        settings=settings_without_shedding(),
                    ),
                    standard_error,
                )
                try:
                    await wait_until_it_serves(process, port)
                    statuses = await asyncio.gather(*(send_request(port, f"q{n}") for n in range(20)))
                    assert statuses == [200] * 20
                    process.send_signal(signal.SIGTERM)
                    assert await asyncio.wait_for(process.wait(), 10) == 0
                finally:
                    await kill(process)

    run(go)


async def kill(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()
    await process.wait()


@asynccontextmanager
async def starting(
    path: Path, text: str, shim: str = "", **environment: str
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Start a node's process, whose log is discarded, and kill it at the end."""
    with open(os.devnull, "wb") as unread:
        process = await spawn_node(path, text, unread.fileno(), shim, environment)
        try:
            yield process
        finally:
            await kill(process)


@pytest.mark.parametrize(
    "number",
    [errno.ENFILE, errno.EMFILE, errno.EIO, errno.ENOMEM, errno.ENOENT],
    ids=["ENFILE", "EMFILE", "EIO", "ENOMEM", "ENOENT"],
)
def test_a_node_starts_although_its_settings_cannot_be_read_at_first(number: int, tmp_path: Path) -> None:
    async def go() -> None:
        async with platform(r0=answer_prefill, w0=answer_decode) as p:
            port = free_port()
            text = settings_text(p.agent.address, listen=f"127.0.0.1:{port}", known=known_list(p))
            async with starting(
                tmp_path / "config.json", text, FAILING_OPEN, FAILS_WITH=str(number)
            ) as process:
                await wait_until_it_serves(process, port)

    run(go)


def test_a_node_starts_although_its_predecessor_still_listens_at_first(tmp_path: Path) -> None:
    async def go() -> None:
        async with platform(r0=answer_prefill, w0=answer_decode) as p:
            with socket.create_server(("127.0.0.1", 0)) as predecessor:
                port = predecessor.getsockname()[1]
                text = settings_text(p.agent.address, listen=f"127.0.0.1:{port}", known=known_list(p))
                async with starting(tmp_path / "config.json", text) as process:
                    await asyncio.sleep(FAULT_S)
                    predecessor.close()
                    await wait_until_it_serves(process, port)

    run(go)


def program_has_begun(process: asyncio.subprocess.Process) -> bool:
    """Return whether the shell has replaced itself by the node."""
    return "tuliptrack.relay" in Path(f"/proc/{process.pid}/cmdline").read_text().split("\0")


def test_a_node_survives_sighup_during_its_start_and_loads_the_new_settings(
    tmp_path: Path,
) -> None:
    async def go() -> None:
        async with platform(r0=answer_prefill, w0=answer_decode) as p:
            other = await Peer(p.answer_poll).start()
            port, path = free_port(), tmp_path / "config.json"
            changes = {"listen": f"127.0.0.1:{port}", "known": known_list(p)}
            async with starting(path, settings_text(p.agent.address, **changes)) as process:
                await until(lambda: program_has_begun(process))
                # The signals come from the program's first instruction on, during its imports and its start.
                for _ in range(20):
                    process.send_signal(signal.SIGHUP)
                    await asyncio.sleep(0.01)
                replace_file(path, settings_text(other.address, **changes))
                while await send_request(port, "is-ready") != 200:
                    assert process.returncode is None, f"the node has ended: {process.returncode}"
                    process.send_signal(signal.SIGHUP)
                    await asyncio.sleep(0.002)
                await until(lambda: bool(other.all_received), RELOADED_WITHIN_S)
            await other.stop()

    run(go)


SIGHUP_AS_THE_LOOP_REGISTERS_ITS_HANDLER = """
import asyncio, os, signal
_register = asyncio.unix_events._UnixSelectorEventLoop.add_signal_handler
def register(loop, number, *args):
    if number == signal.SIGHUP:
        os.kill(os.getpid(), signal.SIGHUP)
    _register(loop, number, *args)
asyncio.unix_events._UnixSelectorEventLoop.add_signal_handler = register
"""


def test_a_sighup_as_the_loop_registers_its_handler_reloads_the_settings_once(
    tmp_path: Path,
) -> None:
    """Guards against two reloads for one signal: the signal could be recorded as one that came before the
    event loop ran, and be read from the loop's wakeup descriptor too."""

    async def go() -> None:
        async with platform(r0=answer_prefill, w0=answer_decode) as p:
            settings = settings_text(p.agent.address, known=known_list(p))
            process = await spawn_node(
                tmp_path / "config.json",
                settings,
                asyncio.subprocess.PIPE,
                SIGHUP_AS_THE_LOOP_REGISTERS_ITS_HANDLER,
            )
            assert process.stderr
            try:
                while "settings reloaded" not in (line := (await process.stderr.readline()).decode()):
                    assert line, "the node has ended"
                process.send_signal(signal.SIGTERM)
                lines = (await process.stderr.read()).decode().splitlines()
                assert await process.wait() == 0
                assert not [line for line in lines if "settings reloaded" in line], "reloaded once"
            finally:
                await kill(process)

    run(go)


STOP_FUNCTION = """
import os, signal
def stop():
    os.kill(os.getpid(), signal.SIGTERM)
"""
STOP_WHILE_SETTINGS_FAIL = (
    STOP_FUNCTION
    + """
import io
_open = io.open
def failing(file, *args, **kwargs):
    if str(file) == os.environ["RELAY_CONFIG"]:
        stop()
        raise OSError(5, "fails")
    return _open(file, *args, **kwargs)
io.open = failing
"""
)
STOP_AS_THE_LOOP_IS_MADE = (
    STOP_FUNCTION
    + """
import asyncio
_initialise = asyncio.SelectorEventLoop.__init__
def initialise(*arguments):
    stop()
    _initialise(*arguments)
asyncio.SelectorEventLoop.__init__ = initialise
"""
)


@pytest.mark.parametrize("shim", [STOP_WHILE_SETTINGS_FAIL, STOP_AS_THE_LOOP_IS_MADE])
def test_a_node_that_is_stopped_before_it_serves_exits_with_0(shim: str, tmp_path: Path) -> None:
    """Guards against a SIGTERM during the start that kills the process, or that takes effect only after the next
    attempt to read the settings."""

    async def go() -> None:
        async with (
            platform(r0=answer_prefill, w0=answer_decode) as p,
            starting(tmp_path / "config.json", settings_text(p.agent.address), shim) as process,
        ):
            assert await asyncio.wait_for(process.wait(), READY_WITHIN_S) == 0

    run(go)


def test_repeated_signals_until_the_end_do_not_change_the_exit_code(tmp_path: Path) -> None:
    """SIGHUP and SIGTERM come in both orders, again and again until the process has ended."""

    async def go() -> None:
        async with platform(r0=answer_prefill, w0=answer_decode) as p:
            port = free_port()
            text = settings_text(p.agent.address, listen=f"127.0.0.1:{port}", known=known_list(p))
            async with starting(tmp_path / "config.json", text) as process:
                await wait_until_it_serves(process, port)
                handle = os.pidfd_open(process.pid)
                try:
                    async with asyncio.timeout(15):
                        while process.returncode is None:
                            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
                                with contextlib.suppress(ProcessLookupError):
                                    signal.pidfd_send_signal(handle, number)
                            await asyncio.sleep(0.005)
                finally:
                    os.close(handle)
                assert process.returncode == 0

    run(go)


def replace_file(path: Path, text: str) -> None:
    new = path.with_suffix(".new")
    new.write_text(text)
    new.replace(path)


def half_written(path: Path, text: str) -> None:
    path.write_text(text[: len(text) // 2])


def missing(path: Path, text: str) -> None:
    path.unlink()


def not_readable(path: Path, text: str) -> None:
    """Make reading the settings fail: a folder has the file's path."""
    path.unlink()
    path.mkdir()


@pytest.mark.parametrize("fault", [half_written, missing, not_readable])
def test_settings_that_cannot_be_read_at_a_sighup_are_loaded_later(
    fault: Callable[[Path, str], None], tmp_path: Path
) -> None:
    async def go() -> None:
        async with platform(r0=answer_prefill, w0=answer_decode) as p:
            other = await Peer(p.answer_poll).start()
            path = tmp_path / "config.json"
            node = await start_node(p.agent.address, path, known=known_list(p))
            text = json.dumps({**json.loads(path.read_text()), "discovery": other.address})
            try:
                fault(path, text)
                node.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(FAULT_S)
                assert not other.all_received
                if path.is_dir():
                    path.rmdir()
                replace_file(path, text)
                await until(lambda: bool(other.all_received), RELOADED_WITHIN_S)
                assert sum("settings not reloaded" in line for line in node.log) == 1, "logged once"
            finally:
                await node.kill()
            await other.stop()

    run(go)
