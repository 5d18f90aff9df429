"""A node that runs as a process: reloads of its settings, and restarts under load."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import signal
from collections import Counter
from pathlib import Path
from typing import Any

from relay_harness import (
    SETTINGS,
    STREAM_HEAD,
    TOKEN_EVENTS,
    Peer,
    ReceivedRequest,
    answer_decode,
    answer_prefill,
    chunk,
    never_answer,
    platform,
    read_reply,
    request,
)
from relay_process import settings_text, start_node
from world import run, until


def test_sighup_reloads_the_settings_and_sigterm_stops_the_node_without_lost_requests(tmp_path: Path) -> None:
    async def go() -> None:
        async def slow_decode(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.2)
            if received.call_id == "endless":
                writer.write(STREAM_HEAD + chunk(TOKEN_EVENTS[0]))
                await asyncio.Event().wait()
            await answer_decode(received, writer)

        async with platform(r0=answer_prefill, w0=slow_decode) as p:
            path = tmp_path / "config.json"
            node = await start_node(p.agent.address, path)
            process, address = node.process, node.address
            children = Path(f"/proc/{process.pid}/task/{process.pid}/children")
            assert "tuliptrack.relay" in Path(f"/proc/{process.pid}/cmdline").read_text(), (
                "the shell has become the node"
            )
            assert not children.exists() or not children.read_text().strip(), "one process"
            host, _, port = address.rpartition(":")
            other = await Peer(p.answer_poll).start()
            path.write_text("{ not whole")  # An unreadable file changes nothing.
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.1)
            path.write_text(settings_text(other.address))
            process.send_signal(signal.SIGHUP)
            await until(lambda: bool(other.all_received))
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request("open"))
            await until(lambda: bool(p.engines["w0"].received()))
            process.send_signal(signal.SIGTERM)
            late_reader, late_writer = await asyncio.open_connection(host, int(port))
            late_writer.write(request("late"))
            for connection in (reader, late_reader):
                reply = await asyncio.wait_for(read_reply(connection), 10)
                assert (reply.status, reply.is_complete) == (200, True)
            # The node still serves on open connections: there may be no other node yet.
            late_writer.write(request("later"))
            assert (await asyncio.wait_for(read_reply(late_reader), 10)).is_complete
            # The node ends a stream that would not be over before the platform may send SIGKILL.
            endless_reader, endless_writer = await asyncio.open_connection(host, int(port))
            endless_writer.write(request("endless"))
            reply = await asyncio.wait_for(read_reply(endless_reader), 3.5)
            assert (reply.status, reply.is_complete) == (200, False)
            # From the end of the stream on, the node rejects new requests. It does not close a connection
            # before it has answered, since a request may be in transit.
            late_writer.write(request("last"))
            reply = await asyncio.wait_for(read_reply(late_reader), 3.5)
            assert (reply.status, reply.is_complete, reply.head.get("connection")) == (503, True, "close")
            assert await asyncio.wait_for(process.wait(), 10) == 0
            for open_writer in (writer, late_writer, endless_writer):
                open_writer.close()
            await other.stop()

    run(go)


def test_two_nodes_restarted_in_turn_under_load_answer_all_requests(tmp_path: Path) -> None:
    """Prefill engines are slow. One decode engine hangs; later all of them hang. Each node is killed as soon
    after SIGTERM as the platform may kill it. Clients keep their connections for as long as the node does,
    and send the next request at once."""
    deadline_s, client_count = 2.0, 6
    hang_s = 1.4  # All decode engines hang for this time before the kill.
    kill_after_s = deadline_s + 0.7  # The platform kills a node 0.7 s after the longest deadline.

    async def go() -> None:
        async def slow_prefill(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.05 if received.method == "POST" else 0.0)
            await answer_prefill(received, writer)

        async def hanging_decode(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await (never_answer if received.method == "POST" else answer_prefill)(received, writer)

        async with platform(
            r0=slow_prefill, r1=slow_prefill, w0=answer_decode, w1=answer_decode, w2=hanging_decode
        ) as p:
            classes = [{**SETTINGS["classes"][0], "deadline": int(deadline_s * 1e6)}]
            changes: dict[str, Any] = {"settings": {**SETTINGS, "classes": classes}}
            paths = [tmp_path / name / "config.json" for name in ("n0", "n1")]
            for path in paths:
                path.parent.mkdir()
            nodes = [await start_node(p.agent.address, path, **changes) for path in paths]
            finished = asyncio.Event()
            statuses: list[int] = []
            unanswered: list[str] = []
            closed_in_transit = 0

            async def connect(first_node: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
                for turn in range(2_000):
                    host, _, port = nodes[(first_node + turn) % 2].address.rpartition(":")
                    try:
                        return await asyncio.open_connection(host, int(port))
                    except OSError:
                        await asyncio.sleep(0.005)
                raise AssertionError("no node accepts a connection")

            async def client(number: int) -> None:
                nonlocal closed_in_transit
                reader, writer = await connect(number)
                is_new = True
                for turn in itertools.count():
                    if finished.is_set():
                        break
                    call_id = f"k{number}-{turn}"
                    for again in range(2):
                        with contextlib.suppress(OSError):
                            writer.write(request(call_id, budget=f"{deadline_s - 0.2:.3f}"))
                        reply = await asyncio.wait_for(read_reply(reader), 2 * deadline_s)
                        if reply.status or is_new:
                            break
                        # A kept connection closed as the request was sent: the platform's clients send it once more.
                        closed_in_transit += 1
                        writer.close()
                        reader, writer = await connect(number + turn + again)
                        is_new = True
                    statuses.append(reply.status)
                    if not reply.status:
                        unanswered.append(call_id)
                    is_new = (
                        not reply.status or reply.head.get("connection") == "close" or not reply.is_complete
                    )
                    if is_new:
                        writer.close()
                        reader, writer = await connect(number + turn)
                writer.close()

            clients = [asyncio.ensure_future(client(number)) for number in range(client_count)]
            await until(lambda: len(statuses) > 4 * client_count)
            for number in (0, 1):
                process, address = nodes[number].process, nodes[number].address
                process.send_signal(signal.SIGTERM)
                await asyncio.sleep(kill_after_s - hang_s)
                # Requests that arrive from now on also have to be answered before the kill.
                for name in ("w0", "w1"):
                    p.engines[name].script = hanging_decode
                await asyncio.sleep(hang_s)
                for name in ("w0", "w1"):
                    p.engines[name].script = answer_decode
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
                nodes[number] = await start_node(p.agent.address, paths[number], **changes, listen=address)
                since = len(statuses)
                await until(lambda since=since: len(statuses) > since + 4 * client_count)  # type: ignore[misc]
            finished.set()
            await asyncio.gather(*clients)
            for node in nodes:
                await node.kill()
            assert not unanswered, "accepted but never answered"
            assert closed_in_transit == 0, "a connection was closed with a request in transit"
            assert set(statuses) <= {200, 429, 502, 503, 504} and statuses.count(200) > 4 * client_count, (
                Counter(statuses)
            )
            for name in ("w0", "w1", "w2"):
                ids = [one.call_id for one in p.engines[name].received()]
                assert len(ids) == len(set(ids)), "one decode engine got the same request twice"

    run(go, 60)
