"""A node's own process: its log, settings' file, listening socket and signals, where the system fails for a
while."""

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
from relay_node import CLOSED, spawn_node, start_node, told
from relay_world import SETTINGS, Peer, Platform, platform, read_reply, reads, request, writes
from world import run, until

READY_WITHIN_S = 10.0
PATIENT_OBJECTIVE_US = 60_000_000
TROUBLE_S = 0.8
"""For so long the system fails a node that starts or reloads."""
MOVED_WITHIN_S = 4.0
"""After a signal whose settings could not be read at once."""

FAILING_OPEN = f"""
import errno, io, os, time
_open, _began = io.open, time.monotonic()
def failing(file, *args, **kwargs):
    if str(file) == os.environ["RELAY_CONFIG"] and time.monotonic() < _began + {TROUBLE_S}:
        raise OSError(int(os.environ["FAILS_WITH"]), "fails for a moment")
    return _open(file, *args, **kwargs)
io.open = failing
"""


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        return int(taken.getsockname()[1])


async def ask(port: int, name: str) -> int:
    """The status of one request's answer; 0: nobody listens."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return 0
    try:
        writer.write(request(name))
        reply = await asyncio.wait_for(read_reply(reader), 5)
        return reply.status if reply.whole else -1
    finally:
        writer.close()


async def serves(process: asyncio.subprocess.Process, port: int) -> None:
    """Wait until a node serves; its log may be no help."""
    async with asyncio.timeout(READY_WITHIN_S):
        while await ask(port, "is-ready") != 200:
            assert process.returncode is None, f"the node has ended: {process.returncode}"
            await asyncio.sleep(0.02)


def known(p: Platform) -> dict[str, object]:
    """The platform's engines as a node may know them from its settings."""
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
def pipe_that_is_full() -> Iterator[int]:
    """Nobody reads it, and it has no room: a write to it waits for ever."""
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
def nothing() -> Iterator[int]:
    """No standard error at all."""
    yield CLOSED


LOGS: dict[str, Callable[[], contextlib.AbstractContextManager[int]]] = {
    "a full disk": full_disk,
    "a reader that has gone": pipe_without_reader,
    "a reader that stands still": pipe_that_is_full,
    "closed": nothing,
}


def settings_that_shed_nothing() -> dict[str, object]:
    """The stand-ins answer as fast as this machine is; a class that may wait is not shed where it is slow."""
    classes = [{**one, "promise": PATIENT_OBJECTIVE_US} for one in SETTINGS["classes"]]
    return {**SETTINGS, "classes": classes}


@pytest.mark.parametrize("log", LOGS)
def test_a_log_that_cannot_be_written_costs_no_request(log: str, tmp_path: Path) -> None:
    async def go() -> None:
        async with platform(r0=reads, w0=writes) as p:
            port = free_port()
            with LOGS[log]() as standard_error:
                process = await spawn_node(
                    tmp_path / "config.json",
                    told(
                        p.agent.address,
                        listen=f"127.0.0.1:{port}",
                        known=known(p),
                        settings=settings_that_shed_nothing(),
                    ),
                    standard_error,
                )
                try:
                    await serves(process, port)
                    statuses = await asyncio.gather(*(ask(port, f"q{n}") for n in range(20)))
                    assert statuses == [200] * 20
                    process.send_signal(signal.SIGTERM)
                    assert await asyncio.wait_for(process.wait(), 10) == 0
                finally:
                    await killed(process)

    run(go)


async def killed(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()
    await process.wait()


@asynccontextmanager
async def starting(
    path: Path, text: str, shim: str = "", **environment: str
) -> AsyncIterator[asyncio.subprocess.Process]:
    """A node's process that has begun, whose log nobody wants."""
    with open(os.devnull, "wb") as unread:
        process = await spawn_node(path, text, unread.fileno(), shim, environment)
        try:
            yield process
        finally:
            await killed(process)


@pytest.mark.parametrize(
    "number",
    [errno.ENFILE, errno.EMFILE, errno.EIO, errno.ENOMEM, errno.ENOENT],
    ids=["ENFILE", "EMFILE", "EIO", "ENOMEM", "ENOENT"],
)
def test_a_node_starts_where_its_settings_cannot_be_read_for_a_moment(number: int, tmp_path: Path) -> None:
    async def go() -> None:
        async with platform(r0=reads, w0=writes) as p:
            port = free_port()
            text = told(p.agent.address, listen=f"127.0.0.1:{port}", known=known(p))
            async with starting(
                tmp_path / "config.json", text, FAILING_OPEN, FAILS_WITH=str(number)
            ) as process:
                await serves(process, port)

    run(go)


def test_a_node_starts_where_its_address_is_still_taken_by_the_one_before(tmp_path: Path) -> None:
    async def go() -> None:
        async with platform(r0=reads, w0=writes) as p:
            with socket.create_server(("127.0.0.1", 0)) as predecessor:
                port = predecessor.getsockname()[1]
                text = told(p.agent.address, listen=f"127.0.0.1:{port}", known=known(p))
                async with starting(tmp_path / "config.json", text) as process:
                    await asyncio.sleep(TROUBLE_S)
                    predecessor.close()
                    await serves(process, port)

    run(go)


def program_has_begun(process: asyncio.subprocess.Process) -> bool:
    """Whether the shell has become the node."""
    return "tuliptrack.relay" in Path(f"/proc/{process.pid}/cmdline").read_text().split("\0")


def test_signals_for_new_settings_that_come_while_a_node_starts_end_nothing_and_are_heeded(
    tmp_path: Path,
) -> None:
    async def go() -> None:
        async with platform(r0=reads, w0=writes) as p:
            other = await Peer(p.answers).start()
            port, path = free_port(), tmp_path / "config.json"
            changes = {"listen": f"127.0.0.1:{port}", "known": known(p)}
            async with starting(path, told(p.agent.address, **changes)) as process:
                await until(lambda: program_has_begun(process))
                for _ in range(
                    20
                ):  # From the program's first instruction on, through its imports and its start.
                    process.send_signal(signal.SIGHUP)
                    await asyncio.sleep(0.01)
                write_whole(path, told(other.address, **changes))
                while await ask(port, "is-ready") != 200:
                    assert process.returncode is None, f"the node has ended: {process.returncode}"
                    process.send_signal(signal.SIGHUP)
                    await asyncio.sleep(0.002)
                await until(lambda: bool(other.seen), MOVED_WITHIN_S)
            await other.stop()

    run(go)


SIGHUP_AS_THE_LOOP_TAKES_OVER = """
import asyncio, os, signal
_register = asyncio.unix_events._UnixSelectorEventLoop.add_signal_handler
def register(loop, number, *args):
    if number == signal.SIGHUP:
        os.kill(os.getpid(), signal.SIGHUP)
    _register(loop, number, *args)
asyncio.unix_events._UnixSelectorEventLoop.add_signal_handler = register
"""


def test_a_signal_in_the_moment_in_which_the_loop_takes_over_reloads_the_settings_once(
    tmp_path: Path,
) -> None:
    """Failure: it is recorded as an early one and read from the loop's wakeup descriptor too."""

    async def go() -> None:
        async with platform(r0=reads, w0=writes) as p:
            settings = told(p.agent.address, known=known(p))
            process = await spawn_node(
                tmp_path / "config.json", settings, asyncio.subprocess.PIPE, SIGHUP_AS_THE_LOOP_TAKES_OVER
            )
            assert process.stderr
            try:
                while "settings reloaded" not in (line := (await process.stderr.readline()).decode()):
                    assert line, "the node has ended"
                process.send_signal(signal.SIGTERM)
                lines = (await process.stderr.read()).decode().splitlines()
                assert await process.wait() == 0
                assert not [line for line in lines if "settings reloaded" in line], "once"
            finally:
                await killed(process)

    run(go)


STOPS = """
import os, signal
def stop():
    os.kill(os.getpid(), signal.SIGTERM)
"""
STOP_WHILE_SETTINGS_FAIL = (
    STOPS
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
    STOPS
    + """
import asyncio
_make = asyncio.new_event_loop
def make():
    stop()
    return _make()
asyncio.new_event_loop = make
"""
)


@pytest.mark.parametrize("shim", [STOP_WHILE_SETTINGS_FAIL, STOP_AS_THE_LOOP_IS_MADE])
def test_a_node_that_is_stopped_before_it_serves_ends_as_one_that_is_stopped(
    shim: str, tmp_path: Path
) -> None:
    """Failure: SIGTERM during the start ends the process by the signal, or is heeded only after a retry."""

    async def go() -> None:
        async with (
            platform(r0=reads, w0=writes) as p,
            starting(tmp_path / "config.json", told(p.agent.address), shim) as process,
        ):
            assert await asyncio.wait_for(process.wait(), READY_WITHIN_S) == 0

    run(go)


def test_signals_in_series_up_to_the_end_do_not_replace_the_exit_code(tmp_path: Path) -> None:
    """SIGHUP and SIGTERM in both orders, and both again until the process has ended."""

    async def go() -> None:
        async with platform(r0=reads, w0=writes) as p:
            port = free_port()
            text = told(p.agent.address, listen=f"127.0.0.1:{port}", known=known(p))
            async with starting(tmp_path / "config.json", text) as process:
                await serves(process, port)
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


def write_whole(path: Path, text: str) -> None:
    beside = path.with_suffix(".new")
    beside.write_text(text)
    beside.replace(path)


def half_written(path: Path, text: str) -> None:
    path.write_text(text[: len(text) // 2])


def missing(path: Path, text: str) -> None:
    path.unlink()


def not_readable(path: Path, text: str) -> None:
    """A folder in the file's place fails as it is read."""
    path.unlink()
    path.mkdir()


@pytest.mark.parametrize("trouble", [half_written, missing, not_readable])
def test_settings_that_cannot_be_read_at_the_signal_are_read_once_they_can(
    trouble: Callable[[Path, str], None], tmp_path: Path
) -> None:
    async def go() -> None:
        async with platform(r0=reads, w0=writes) as p:
            other = await Peer(p.answers).start()
            path = tmp_path / "config.json"
            node = await start_node(p.agent.address, path, known=known(p))
            text = json.dumps({**json.loads(path.read_text()), "discovery": other.address})
            try:
                trouble(path, text)
                node.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(TROUBLE_S)
                assert not other.seen
                if path.is_dir():
                    path.rmdir()
                write_whole(path, text)
                await until(lambda: bool(other.seen), MOVED_WITHIN_S)
                assert sum("settings not reloaded" in line for line in node.log) == 1, "said once"
            finally:
                await node.kill()
            await other.stop()

    run(go)
