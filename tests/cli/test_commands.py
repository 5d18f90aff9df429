"""The command line as a user meets it: processes on loopback, exit codes, what is printed and what never
is.
"""

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
    """A command that tells its address; ended by SIGTERM, and it must end well."""
    with stderr.open("wb") as file:
        one = subprocess.Popen(
            [sys.executable, "-m", "tuliptrack", *command], stdout=subprocess.PIPE, stderr=file
        )
        try:
            assert one.stdout
            yield one, json.loads(one.stdout.readline())["address"]
            one.send_signal(signal.SIGTERM)
            assert one.wait(20) == 0
        finally:
            if one.poll() is None:
                one.kill()
                one.wait()
            assert one.stdout
            one.stdout.close()


def test_a_user_starts_engines_and_a_node_and_asks(tmp_path: Path) -> None:
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
            asked = CliRunner().invoke(main, ["call", address, SECRET, "--class", "a"])
            assert asked.exit_code == 0, asked.output
            assert re.search(r"\[STOP: \d+ prompt tokens, 0 of them cached, \d+ tokens\]", asked.output)
            short = CliRunner().invoke(main, ["call", address, SECRET, "--class", "a", "--max-tokens", "2"])
            assert "[LENGTH: " in short.output and "2 tokens]" in short.output
            wrong = CliRunner().invoke(main, ["call", address, SECRET, "--class", "b"])
            assert wrong.exit_code == 1 and "INVALID_ARGUMENT: request_class" in wrong.output
        nobody = CliRunner().invoke(main, ["call", address, "x", "--class", "a", "--tries", "1"])
        assert nobody.exit_code == 1 and "UNAVAILABLE: connect" in nobody.output
    rows = [json.loads(line) for line in logs.read_text().splitlines()]
    ends = [row for row in rows if row["event"] == "request"]
    assert [row["end"] for row in ends] == ["served", "served"] and ends[0]["reason"] == "stop"
    assert SECRET not in logs.read_text()
    assert rows[-1]["event"] == "stopped" and rows[-1]["served"] == 2


def test_a_node_that_cant_listen_or_read_its_settings_says_so_and_ends(tmp_path: Path) -> None:
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
