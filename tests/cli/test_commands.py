"""The command line with processes on loopback: exit codes, output, and that prompts are never logged."""

from __future__ import annotations

import json
import re
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from click.testing import CliRunner

from tuliptrack.cli.main import main

SECRET = "a-prompt-that-no-log-may-show"


@contextmanager
def process(*command: str, stderr: Path) -> Iterator[tuple[subprocess.Popen[bytes], str]]:
    """Run a command that prints its address. It is ended by SIGTERM and must then exit with 0."""
    with stderr.open("wb") as file:
        child = subprocess.Popen(
            [sys.executable, "-m", "tuliptrack", *command], stdout=subprocess.PIPE, stderr=file
        )
        try:
            assert child.stdout
            yield child, json.loads(child.stdout.readline())["address"]
            child.send_signal(signal.SIGTERM)
            assert child.wait(20) == 0
        finally:
            if child.poll() is None:
                child.kill()
                child.wait()
            assert child.stdout
            child.stdout.close()


def test_engines_a_node_and_calls_as_processes(tmp_path: Path) -> None:
    logs = tmp_path / "log"
    with (
        process("lab", "engine", "--role", "READ", stderr=tmp_path / "r") as (_, reader),
        process(
            "lab", "engine", "--role", "WRITE", "--log", str(tmp_path / "seen"), stderr=tmp_path / "w"
        ) as (_, writer),
    ):
        (tmp_path / "servers").write_text(
            f'version: 1 servers {{ id: 1 address: "{reader}" kind: "r" }} servers {{ id: 2 address: "{writer}" kind: "w" }}'
        )
        (tmp_path / "node").write_text(
            'node { listen: "127.0.0.1:0" } request_class { name: "a" aim_ms: 2000 deadline_ms: 8000 } '
            f'kind {{ name: "r" role: READ }} kind {{ name: "w" role: WRITE }} servers {{ file: "{tmp_path / "servers"}" }}'
        )
        with process("serve", str(tmp_path / "node"), "--ready", stderr=logs) as (_, address):
            served = CliRunner().invoke(main, ["call", address, SECRET, "--class", "a"])
            assert served.exit_code == 0, served.output
            assert re.search(r"\[STOP: \d+ prompt tokens, 0 of them cached, \d+ tokens\]", served.output)
            short = CliRunner().invoke(main, ["call", address, SECRET, "--class", "a", "--max-tokens", "2"])
            assert "[LENGTH: " in short.output and "2 tokens]" in short.output
            invalid = CliRunner().invoke(main, ["call", address, SECRET, "--class", "b"])
            assert invalid.exit_code == 1 and "INVALID_ARGUMENT: request_class" in invalid.output
        unreachable = CliRunner().invoke(main, ["call", address, "x", "--class", "a", "--tries", "1"])
        assert unreachable.exit_code == 1 and "UNAVAILABLE: connect" in unreachable.output
    rows = [json.loads(line) for line in logs.read_text().splitlines()]
    ends = [row for row in rows if row["event"] == "request"]
    assert [row["end"] for row in ends] == ["served", "served"] and ends[0]["reason"] == "stop"
    assert SECRET not in logs.read_text()
    assert rows[-1]["event"] == "stopped" and rows[-1]["served"] == 2


def test_a_node_that_cant_listen_or_read_its_settings_exits_with_a_message(tmp_path: Path) -> None:
    bad = tmp_path / "bad"
    bad.write_text("node { slot: 3 }")
    done = subprocess.run(
        [sys.executable, "-m", "tuliptrack", "serve", str(bad)], capture_output=True, text=True, timeout=60
    )
    assert done.returncode == 2 and "node.slot" in done.stderr and "Traceback" not in done.stderr
    good = Path(__file__).parents[2] / "examples" / "node.textproto"
    with socket.create_server(("127.0.0.1", 0)) as holder:
        address = f"127.0.0.1:{holder.getsockname()[1]}"
        taken = tmp_path / "taken"
        taken.write_text(good.read_text().replace("127.0.0.1:7400", address).replace("/tmp/", f"{tmp_path}/"))
        done = subprocess.run(
            [sys.executable, "-m", "tuliptrack", "serve", str(taken)],
            capture_output=True,
            text=True,
            timeout=60,
        )
    assert done.returncode == 1 and address in done.stderr and "Traceback" not in done.stderr
