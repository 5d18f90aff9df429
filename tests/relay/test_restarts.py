"""A node as a process that gets signals: new settings, and its end under load."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import signal
from collections import Counter
from pathlib import Path
from typing import Any

from relay_node import start_node, told
from relay_world import (
    OPENING,
    SETTINGS,
    TOKENS,
    Peer,
    Seen,
    chunk,
    hangs,
    platform,
    read_reply,
    reads,
    request,
    writes,
)
from world import run, until


def test_signals_bring_new_settings_and_an_end_that_loses_nothing(tmp_path: Path) -> None:
    async def go() -> None:
        async def slowly(one: Seen, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.2)
            if one.call_id == "endless":
                writer.write(OPENING + chunk(TOKENS[0]))
                await asyncio.Event().wait()
            await writes(one, writer)

        async with platform(r0=reads, w0=slowly) as p:
            path = tmp_path / "config.json"
            node = await start_node(p.agent.address, path)
            process, address = node.process, node.address
            children = Path(f"/proc/{process.pid}/task/{process.pid}/children")
            assert "tuliptrack.relay" in Path(f"/proc/{process.pid}/cmdline").read_text(), (
                "the shell has become the node"
            )
            assert not children.exists() or not children.read_text().strip(), "one process"
            host, _, port = address.rpartition(":")
            other = await Peer(p.answers).start()
            path.write_text("{ not whole")  # a bad file changes nothing
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.1)
            path.write_text(told(other.address))
            process.send_signal(signal.SIGHUP)
            await until(lambda: bool(other.seen))
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request("open"))
            await until(lambda: bool(p.engines["w0"].asked()))
            process.send_signal(signal.SIGTERM)
            late_reader, late_writer = await asyncio.open_connection(host, int(port))
            late_writer.write(request("late"))
            for one in (reader, late_reader):
                reply = await asyncio.wait_for(read_reply(one), 10)
                assert (reply.status, reply.whole) == (200, True)
            # Its connections stay open, and are good: no other node may be there yet.
            late_writer.write(request("later"))
            assert (await asyncio.wait_for(read_reply(late_reader), 10)).whole
            # A stream that SIGKILL would break is handed back before it can come.
            endless_reader, endless_writer = await asyncio.open_connection(host, int(port))
            endless_writer.write(request("endless"))
            reply = await asyncio.wait_for(read_reply(endless_reader), 3.5)
            assert (reply.status, reply.whole) == (200, False)
            # From then on it takes nothing new, but no connection is closed on a request that may be on its
            # way.
            late_writer.write(request("last"))
            reply = await asyncio.wait_for(read_reply(late_reader), 3.5)
            assert (reply.status, reply.whole, reply.head.get("connection")) == (503, True, "close")
            assert await asyncio.wait_for(process.wait(), 10) == 0
            for end in (writer, late_writer, endless_writer):
                end.close()
            await other.stop()

    run(go)


def test_two_nodes_restarted_in_turn_under_load_answer_all_that_they_take(tmp_path: Path) -> None:
    """Slow readers, and a writer that hangs, then all of them; each node is killed as soon after SIGTERM as
    the platform may. Clients keep their connections for as long as these stay open, and come again at
    once."""
    deadline, load, hanging = (
        2.0,
        6,
        1.4,
    )  # seconds; clients; seconds before the kill from which on all writers hang
    killed = deadline + 0.7  # the platform's: the longest deadline, and so much more

    async def go() -> None:
        async def slowly(one: Seen, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.05 if one.method == "POST" else 0.0)
            await reads(one, writer)

        async def hung(one: Seen, writer: asyncio.StreamWriter) -> None:
            await (hangs if one.method == "POST" else reads)(one, writer)

        async with platform(r0=slowly, r1=slowly, w0=writes, w1=writes, w2=hung) as p:
            classes = [{**SETTINGS["classes"][0], "deadline": int(deadline * 1e6)}]
            changes: dict[str, Any] = {"settings": {**SETTINGS, "classes": classes}}
            paths = [tmp_path / name / "config.json" for name in ("n0", "n1")]
            for path in paths:
                path.parent.mkdir()
            nodes = [await start_node(p.agent.address, path, **changes) for path in paths]
            over = asyncio.Event()
            got: list[int] = []
            lost: list[str] = []
            crossed = 0

            async def connect(first: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
                for turn in range(2_000):
                    host, _, port = nodes[(first + turn) % 2].address.rpartition(":")
                    try:
                        return await asyncio.open_connection(host, int(port))
                    except OSError:
                        await asyncio.sleep(0.005)
                raise AssertionError("no node takes a connection")

            async def client(number: int) -> None:
                nonlocal crossed
                reader, writer = await connect(number)
                fresh = True
                for turn in itertools.count():
                    if over.is_set():
                        break
                    call_id = f"k{number}-{turn}"
                    for again in range(2):
                        with contextlib.suppress(OSError):
                            writer.write(request(call_id, budget=f"{deadline - 0.2:.3f}"))
                        reply = await asyncio.wait_for(read_reply(reader), 2 * deadline)
                        if reply.status or fresh:
                            break
                        crossed += (
                            1  # A kept connection closed just then: the platform's clients send once more.
                        )
                        writer.close()
                        reader, writer = await connect(number + turn + again)
                        fresh = True
                    got.append(reply.status)
                    if not reply.status:
                        lost.append(call_id)
                    fresh = not reply.status or reply.head.get("connection") == "close" or not reply.whole
                    if fresh:
                        writer.close()
                        reader, writer = await connect(number + turn)
                writer.close()

            clients = [asyncio.ensure_future(client(number)) for number in range(load)]
            await until(lambda: len(got) > 4 * load)
            for number in (0, 1):
                process, address = nodes[number].process, nodes[number].address
                process.send_signal(signal.SIGTERM)
                await asyncio.sleep(
                    killed - hanging
                )  # What comes now is to be answered before the kill all the same.
                for name in ("w0", "w1"):
                    p.engines[name].script = hung
                await asyncio.sleep(hanging)
                for name in ("w0", "w1"):
                    p.engines[name].script = writes
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
                nodes[number] = await start_node(p.agent.address, paths[number], **changes, listen=address)
                since = len(got)
                await until(lambda since=since: len(got) > since + 4 * load)  # type: ignore[misc]
            over.set()
            await asyncio.gather(*clients)
            for node in nodes:
                await node.kill()
            assert not lost, "taken, and never answered"
            assert crossed == 0, "closed with a request on its way"
            assert set(got) <= {200, 429, 502, 503, 504} and got.count(200) > 4 * load, Counter(got)
            for name in ("w0", "w1", "w2"):
                ids = [one.call_id for one in p.engines[name].asked()]
                assert len(ids) == len(set(ids)), "the same request twice at one writer"

    run(go, 60)
