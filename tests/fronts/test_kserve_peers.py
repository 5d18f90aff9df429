"""The v2 protocol with Triton's own clients: gRPC, streams included, and HTTP."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path

import pytest
from world import run, world

from tuliptrack.lab.engine import answer_length, answer_token

PEERS = Path(os.environ.get("TULIPTRACK_PEERS", Path(__file__).parents[2] / ".venv-peers")) / "bin" / "python"
SCRIPT = Path(__file__).parents[1] / "peers" / "triton.py"
KSERVE = 'kserve { rest_listen: "127.0.0.1:0" request_class: "question" tenant: "north" }'


def expected_text(name: str, max_tokens: int = 30) -> str:
    return "".join(answer_token(name, n) for n in range(min(answer_length(name, 10, 30), max_tokens)))


@pytest.mark.skipif(not PEERS.exists(), reason="./check sets up the peers' environment")
def test_tritons_clients_work_with_both_forms_of_the_protocol() -> None:
    found = {}

    async def go() -> None:
        labels = {name: ("tulip", "1") for name in ("r0", "w0")}
        async with world("r0 w0", settings=KSERVE, models=labels) as w:
            peer = await asyncio.create_subprocess_exec(
                str(PEERS), str(SCRIPT), w.address, w.rest, stdout=asyncio.subprocess.PIPE
            )
            out, _ = await peer.communicate()
            assert peer.returncode == 0
            found.update(json.loads(out.decode().splitlines()[-1]))
            # The client sent the class and the session, but no number of tokens.
            assert {row["cls"] for row in w.seen("call")} == {"question", "summary"}
            assert {row["model"] for row in w.seen("call")} == {"tulip:1"}

    run(go, seconds=60)
    grpc, http = found["grpc"], found["http"]
    for seen in (grpc, http):
        assert seen["live"] and seen["ready"] and seen["model ready"] == [True, False, False]
        assert seen["metadata"]["name"] == "tuliptrack" and "generate" in seen["metadata"]["extensions"]
        assert seen["model"]["versions"] == ["1"] and seen["model"]["inputs"][0]["name"] == "text_input"
        assert (
            "text_input: is required" in seen["no text"]
            and "'rose' is not served here" in seen["unknown model"]
        )
    assert grpc["unknown model"].startswith("StatusCode.NOT_FOUND") and http["unknown model"].startswith(
        "404"
    )
    assert grpc["no text"].startswith("StatusCode.INVALID_ARGUMENT") and http["no text"].startswith("400")
    assert "parameters.huh" in grpc["bad parameter"] and "UNIMPLEMENTED" in grpc["config"]
    assert grpc["infer"] == {"id": "one", "text": expected_text("q1", 5), "finish": "length"}
    assert http["binary"] == http["json"] == {"id": "one", "text": expected_text("q1", 5)}
    assert "'rose' is not served here" in grpc["stream error"]
    for n in (0, 1, 3):
        length = answer_length(f"q{n}", 10, 30)
        expected = {
            "text": expected_text(f"q{n}"),
            "responses": length + (n == 3),
            "finals": 1,
            "empty": n == 3,
        }
        assert grpc["streams"][str(n)] == expected
