"""Token budgets and bills on real sockets, compared with the tokens that the simulated engines wrote.

The tests include faults, retries, resumed streams and killed nodes.
"""

from __future__ import annotations

import asyncio
import json
from collections import defaultdict
from pathlib import Path

import pytest
from click.testing import CliRunner
from google.rpc import error_details_pb2
from world import World, run, until, world

from tuliptrack.cli.main import main
from tuliptrack.decisions.billing import compute_bills
from tuliptrack.node.node import Node
from tuliptrack.proto import generation_pb2 as pb
from tuliptrack.proto import lab_pb2
from tuliptrack.rpc.channel import Channel
from tuliptrack.rpc.status import Code
from tuliptrack.store.ledger import Ledger, LedgerFull
from tuliptrack.store.ledger_reading import read_usage_records

PRICES = "price { read: 2 kept: 1 written: 10 } commit_ms: 20"


def billing(path: Path, more: str = "") -> str:
    return f'billing {{ ledger: "{path}" {PRICES} {more} }}'


def tokens_written(w: World) -> dict[str, int]:
    """Return the tokens that the engines wrote according to their logs, by tenant."""
    found: dict[str, int] = defaultdict(int)
    works = {work.request_id: work for e in w.engines.values() for _, work, _ in e.transfers}
    for row in w.seen():
        if row["what"] in ("end", "gone") and row.get("kind") == "write":
            work = works[row["request"]]
            found[work.tenant] += max(row["tokens"] - work.resume.next_index, 0)
    return dict(found)


def test_bills_match_the_tokens_written_within_one_request_despite_faults_and_disconnects(
    tmp_path: Path,
) -> None:
    seen: dict[str, int] = {}
    longest_answer = 0
    resumed_works: set[str] = set()

    async def go() -> None:
        nonlocal longest_answer
        async with world(
            settings=billing(tmp_path / "l"), model="answer_least: 20 answer_most: 40 step_ms: 3"
        ) as w:
            for name in ("w0", "w1"):
                w.engines[name].apply(lab_pb2.Trouble(lose_after=0.2, lose_after_tokens=6, full=0.1))
            asked = [
                w.ask(tenant=("north", "south")[n % 2], prompt=f"b{n} what?", work=f"w{n}") for n in range(60)
            ]
            for n, one in enumerate(asked):
                if n % 6 == 0:
                    await until(lambda one=one: one.tokens or one.ends)  # type: ignore[misc]
                    assert one.call
                    one.call.cancel()
            for one in asked:
                await one.wait()
            # Broken streams are resumed: an engine writes only the missing tokens, and the bill is the same.
            for name in ("w0", "w1"):
                w.engines[name].apply(lab_pb2.Trouble())
            for n, one in enumerate(asked):
                if one.end.status.code is Code.ABORTED:
                    point = pb.ResumePoint(
                        next_index=len(one.tokens), text="".join(t.text for t in one.tokens)
                    )
                    again = w.ask(
                        tenant=("north", "south")[n % 2],
                        prompt=f"b{n} what?",
                        work=f"w{n}",
                        resume=point,
                        repeat=True,
                    )
                    assert (await again.wait()).status.code is Code.OK
                    resumed_works.add(f"w{n}")
            # One of the served requests is sent a second time.
            served = next(n for n, one in enumerate(asked) if one.end.status.code is Code.OK)
            twice = w.ask(
                tenant=("north", "south")[served % 2],
                prompt=f"b{served} what?",
                work=f"w{served}",
                repeat=True,
            )
            assert (await twice.wait()).status.code is Code.OK
            await until(lambda: not w.node.table.open)
            seen.update(tokens_written(w))
            seen[("north", "south")[served % 2]] -= len(twice.tokens)
            longest_answer = max(len(one.tokens) for one in asked)

    run(go)
    bills = compute_bills(read_usage_records(str(tmp_path / "l")))
    assert len(bills) == 60 and {b.tenant for b in bills} == {"north", "south"}
    for tenant in ("north", "south"):
        billed = sum(b.written for b in bills if b.tenant == tenant)
        # The billed and the written tokens differ by those in transit to clients that disconnect.
        assert abs(billed - seen[tenant]) <= longest_answer, (tenant, billed, seen)
    assert all(b.amount == 2 * b.read + b.kept + 10 * b.written for b in bills)
    # Bills of requests that were not resumed may have several parts too, one for each commit.
    resumed = [b for b in bills if b.work in resumed_works]
    assert len(resumed) >= 3
    assert [b for b in resumed if not (b.whole and b.parts > 1)] == []
    shown = CliRunner().invoke(main, ["bills", "show", str(tmp_path / "l"), "--json"])
    assert sum(row["amount"] for row in json.loads(shown.output)) == sum(b.amount for b in bills)
    checked = CliRunner().invoke(main, ["bills", "verify", str(tmp_path / "l")])
    assert checked.exit_code == 0 and "0 problems" in checked.output
    for _ in range(2):  # merging into another ledger twice does not change the bills
        merged = CliRunner().invoke(main, ["bills", "merge", str(tmp_path / "all"), str(tmp_path / "l")])
        assert merged.exit_code == 0, merged.output
        assert compute_bills(read_usage_records(str(tmp_path / "all"))) == bills
    exported = CliRunner().invoke(main, ["bills", "export", str(tmp_path / "all")])
    assert len(exported.output.splitlines()) == 61


def test_streamed_tokens_are_in_the_ledger_before_the_stream_ends(tmp_path: Path) -> None:
    async def go() -> None:
        async with world(
            settings=billing(tmp_path / "l"), model="answer_least: 400 answer_most: 400 step_ms: 4"
        ) as w:
            one = w.ask(work="long")
            await until(lambda: len(one.tokens) > 60)
            ledger = w.node.billing.recorder.ledger
            assert ledger
            await until(lambda: ledger.sequence >= 2)
            # The ledger is copied as a killed node leaves it; a new process opens the copy.
            (tmp_path / "killed").mkdir()
            ledger.env.copy(str(tmp_path / "killed"))
            assert one.call
            one.call.cancel()
            await until(lambda: not w.node.table.open)

    run(go)
    again = Ledger(str(tmp_path / "killed"))
    assert again.recovery.cut == 1
    again.close()
    bill = compute_bills(read_usage_records(str(tmp_path / "killed")))[0]
    assert bill.work == "long" and bill.written >= 20 and not bill.whole


BUDGET = """tenant { name: "small" share: 0 quota_per_s: 100 budget { window_ms: 1000 tokens: 2000 turn_tokens: 700 } }
tenant { name: "rich" share: 0 quota_per_s: 100 }
request_class { name: "strict" aim_ms: 1200 deadline_ms: 5000 when_over: REFUSE }
billing { lend: false kept_weight: 0 written_weight: 1 }"""


def test_over_budget_requests_are_rejected_with_the_retry_time_or_served_at_lower_priority(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def go() -> None:
        async with world(settings=BUDGET) as w:
            await asyncio.sleep(1.1)  # a node may use only the budget grants issued after its start
            asked = [w.ask(tenant="small", request_class="strict", max_tokens=20) for _ in range(10)]
            ends = [await one.wait() for one in asked]
            refused = [e for e in ends if e.status.code is Code.UNAVAILABLE]
            assert 3 <= len(refused) <= 8 and "token budget of 1 s is used up" in refused[0].status.message
            retry = next(d for d in refused[-1].status.parsed() if isinstance(d, error_details_pb2.RetryInfo))
            await asyncio.sleep(retry.retry_delay.ToMicroseconds() / 1e6 + 0.01)
            assert (
                await w.ask(tenant="small", request_class="strict", max_tokens=20).wait()
            ).status.code is Code.OK
            # Another class of the same tenant is served over budget while there is capacity; other tenants
            # are not affected.
            for tenant in ("small", "rich"):
                asked = [w.ask(tenant=tenant, max_tokens=20) for _ in range(8)]
                assert {(await one.wait()).status.code for one in asked} == {Code.OK}
            assert w.node.billing.budgets
            use = w.node.billing.budgets.usage("small")
            assert use.over_budget > 0 and use.open_units == 0 and use.requests >= 9
            w.node.billing.log_budgets()

    run(go)
    line = next(
        line for line in capsys.readouterr().out.splitlines() if "budgets" in line and "heaviest" in line
    )
    assert "reserved_tokens=0" in line and "'small'" in line and "'rich'" in line


@pytest.mark.parametrize("when", ["SERVE", "REFUSE_ALL"])
def test_a_full_ledger_rejects_or_serves_as_configured(tmp_path: Path, when: str) -> None:
    async def go() -> None:
        async with world(settings=billing(tmp_path / "l", f"when_full: {when}")) as w:
            assert (await w.ask(work="one").wait()).status.code is Code.OK
            ledger = w.node.billing.recorder.ledger
            assert ledger
            commit = ledger.commit

            def full() -> int:
                raise LedgerFull("no room")

            ledger.commit = full  # type: ignore[method-assign]
            await until(lambda: w.node.billing.recorder.commit_error)
            end = await w.ask(work="two").wait()
            assert end.status.code is (Code.OK if when == "SERVE" else Code.UNAVAILABLE)
            assert when == "SERVE" or "bills can't be written" in end.status.message
            ledger.commit = commit  # type: ignore[method-assign]
            await until(lambda: not w.node.billing.recorder.commit_error)
            assert (await w.ask(work="three").wait()).status.code is Code.OK

    run(go)
    works = {b.work for b in compute_bills(read_usage_records(str(tmp_path / "l"))) if b.amount}
    assert works == ({"one", "two", "three"} if when == "SERVE" else {"one", "three"})


def test_the_usage_of_a_daily_budget_survives_a_restart(tmp_path: Path) -> None:
    day = (
        billing(tmp_path / "l", "spread: 1")
        + """tenant { name: "small" share: 0 quota_per_s: 100
      budget { window_ms: 86400000 tokens: 2600 } }
    request_class { name: "strict" aim_ms: 1200 deadline_ms: 5000 when_over: REFUSE }"""
    )

    async def go() -> None:
        async with world(settings=day) as w:
            for _ in range(3):
                assert (
                    await w.ask(tenant="small", request_class="strict", max_tokens=20).wait()
                ).status.code is Code.OK
            await until(lambda: not w.node.table.open)
            await w.node.stop(0)
            again = Node(w.node.config)
            address = await again.start()
            await until(lambda: len(again.endpoint_list.entries) == 4)
            channel = Channel(address)
            w.channel, old = channel, w.channel
            codes = [
                (await w.ask(tenant="small", request_class="strict", max_tokens=20).wait()).status.code
                for _ in range(4)
            ]
            assert codes[-1] is Code.UNAVAILABLE and codes.count(Code.OK) <= 3
            assert sum(code is Code.OK for code in codes) + 3 <= 6
            w.channel = old
            await channel.close()
            await again.stop(0)

    run(go)
