"""Checks whether each rule of `RULES` was kept, from what engines and clients saw on their sockets.

The nodes' own logs are not used; only which process had which instance name, and when each was killed or told
to stop. Two processes record the same moment at slightly different times: events on different sockets
that are at most `SLACK` apart count as simultaneous.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

from tuliptrack.interface import Idempotency, RequestClass
from tuliptrack.lab.client import Arrival, Try, as_row

__all__ = ["SLACK", "ProcessLifetime", "RunRecord", "judge"]

SLACK = 60_000  # microseconds: scheduling delay between two processes on a busy machine
RULES = {
    1: "one final answer, in time, nothing after it",
    2: "no effect twice, never two attempts at once",
    3: "drains kept",
    4: "no cold engine pushed over",
    5: "nothing left pinned",
    6: "tokens once, in order, whole",
}
Row = dict[str, Any]


@dataclass
class ProcessLifetime:
    """Lifetime of one node or engine process, in monotonic microseconds; `end` is 0 while it runs."""

    process: str
    instance: str
    start: int
    end: int = 0
    killed: bool = False


@dataclass
class RunRecord:
    """Everything recorded in one run."""

    arrivals: list[Arrival]
    engines: list[Row]
    list_updates: list[Row]
    """Which node received which server states from the feed, and the names of the engines by id."""
    lifetimes: list[ProcessLifetime]
    classes: dict[str, RequestClass]
    release_within: int = 300_000
    drain_grace: int = 500_000
    end: int = 0
    """End of the run, before any process was stopped; 0: the time of the last engine event."""


@dataclass
class _Rule:
    checked: int = 0
    broken: list[tuple[str, str]] = field(default_factory=list)
    """Tag of the request and the violation, for each violation."""

    def check(self, is_kept: bool, tag: str, text: str) -> None:
        self.checked += 1
        if not is_kept:
            self.broken.append((tag, text))


def judge(run: RunRecord) -> dict[str, Any]:
    """The verdict, as data for JSON."""
    rules = {number: _Rule() for number in RULES}
    tries = [t for a in run.arrivals for t in a.tries]
    tags = {row["request"]: row["tag"] for row in run.engines if row["what"] == "call"}
    spans = _attempt_spans(run)
    _check_answers(run, tries, tags, rules[1])
    _check_effects(run, tries, tags, spans, rules[2])
    _check_drains(run, tags, rules[3])
    for row in run.engines:
        if row["what"] == "up" and row.get("cold"):
            rules[4].checked += 1
        if row["what"] == "fell":
            rules[4].check(
                False, row["engine"], "a cold engine crashed because it was sent more work than it tolerates"
            )
    _check_states(run, tags, spans, rules[5])
    for t in tries:
        rules[6].check(not t.fault, t.tag, t.fault)
    return {
        "kept": not any(rule.broken for rule in rules.values()),
        "rules": {
            number: {
                "rule": RULES[number],
                "kept": not rule.broken,
                "checked": rule.checked,
                "broken": len(rule.broken),
                "first": _history(run, *rule.broken[0]) if rule.broken else None,
            }
            for number, rule in rules.items()
        },
        **_worth_by_group(run),
        "tries": len(tries),
        "attempts": sum(1 for row in run.engines if row["what"] == "call"),
        "ends": _count(
            f"{t.code}{' (refused)' if t.retry_after >= 0 else ''}" if t.how == "status" else f"[{t.how}]"
            for t in tries
        ),
    }


def _count(names: Iterable[str]) -> dict[str, int]:
    found: dict[str, int] = defaultdict(int)
    for name in names:
        found[name] += 1
    return dict(sorted(found.items()))


def _history(run: RunRecord, tag: str, text: str) -> dict[str, Any]:
    """The first 60 records of a request, in time order."""
    ids = {row["request"] for row in run.engines if row["what"] == "call" and row["tag"] == tag}
    rows = [row for row in run.engines if row.get("request") in ids]
    rows += [as_row(t) for a in run.arrivals for t in a.tries if t.tag == tag]
    return {"request": tag, "what": text, "history": sorted(rows, key=lambda row: row["t"])[:60]}


def _attempt_spans(run: RunRecord) -> dict[str, list[tuple[int, int, str]]]:
    """Start, end and engine of each attempt, as seen by the engine, by the node's name of the request."""
    ends_of_engines = _end_times(run)
    ends = {
        (r["engine"], r["request"], r["attempt"]): r["t"] for r in run.engines if r["what"] in ("end", "gone")
    }
    spans: dict[str, list[tuple[int, int, str]]] = defaultdict(list)
    last = _run_end(run)
    for row in run.engines:
        if row["what"] == "call":
            end = ends.get((row["engine"], row["request"], row["attempt"]))
            if end is None:  # Its engine was killed, or it was in flight until the end of the run.
                end = min((t for t in ends_of_engines.get(row["engine"], []) if t >= row["t"]), default=last)
            spans[row["request"]].append((row["t"], end, row["engine"]))
    return spans


def _end_times(run: RunRecord) -> dict[str, list[int]]:
    """End times of each process's lifetimes."""
    found: dict[str, list[int]] = defaultdict(list)
    for life in run.lifetimes:
        if life.end:
            found[life.process].append(life.end)
    return found


def _run_end(run: RunRecord) -> int:
    """End of the run; an attempt without an end lasts until then."""
    return run.end or max((row["t"] for row in run.engines), default=0)


def _lifetime_of_node(run: RunRecord, node: int, at: int) -> ProcessLifetime | None:
    return next(
        (life for life in reversed(run.lifetimes) if life.process == f"node-{node}" and life.start <= at),
        None,
    )


def _check_answers(run: RunRecord, tries: list[Try], tags: dict[str, str], rule: _Rule) -> None:
    calls: dict[str, list[Row]] = defaultdict(list)
    for row in run.engines:
        if row["what"] == "call":
            calls[row["tag"]].append(row)
    for t in tries:
        life = _lifetime_of_node(run, t.node, t.sent)
        running = life is not None and (not life.end or life.end > t.end + SLACK)
        if running and not t.left and not (t.slow and t.tokens):
            # The end has to be a status from the node, not the client's own timeout.
            in_time = t.how == "status" and t.end <= t.deadline + SLACK
            rule.check(in_time, t.tag, f"no final answer by the deadline: {t.how} {t.code} {t.reason}")
        late = [row for row in calls[t.tag] if row["t"] > t.end + SLACK]
        rule.check(not late, t.tag, f"{len(late)} attempts reached engines after the request's end")


def _check_effects(
    run: RunRecord,
    tries: list[Try],
    tags: dict[str, str],
    spans: dict[str, list[tuple[int, int, str]]],
    rule: _Rule,
) -> None:
    for request, attempts in spans.items():
        attempts = sorted(attempts)
        for (_, end, first), (start, _, second) in pairwise(attempts):
            rule.check(
                start >= end - SLACK,
                tags[request],
                f"attempts at {first} and {second} were in flight at the same time",
            )
    executed = _count(tags[row["request"]] for row in run.engines if row["what"] == "begun")
    executions: dict[str, int] = defaultdict(int)
    for t in tries:
        if run.classes[t.cls].idempotency is not Idempotency.NOT_IDEMPOTENT:
            continue
        executions[t.request] += executed.get(t.tag, 0)
        rule.check(executions[t.request] <= 1, t.tag, "a request that is not idempotent was executed twice")
        rule.check(
            not (t.retry_after >= 0 and executed.get(t.tag)),
            t.tag,
            "the request was rejected although it had been executed",
        )


def _check_drains(run: RunRecord, tags: dict[str, str], rule: _Rule) -> None:
    instances = {life.instance: life.process for life in run.lifetimes}
    ready_updates: dict[tuple[str, str], list[tuple[int, bool]]] = defaultdict(list)
    names = {row["id"]: row["engine"] for row in run.list_updates if row["what"] == "entry"}
    for row in run.list_updates:
        if row["what"] != "told":
            continue
        for number, name in names.items():
            state = row["states"].get(number)
            if state is not None:
                ready_updates[f"node-{row['node']}", name].append((row["t"], state == "READY"))
            elif row["full"]:
                ready_updates[f"node-{row['node']}", name].append((row["t"], False))
    for row in run.engines:
        if row["what"] not in ("call", "hold"):
            continue
        node = instances.get(row["request"].rpartition("-")[0], "")
        not_ready_since = 0
        for at, is_ready in ready_updates[node, row["engine"]]:
            if at > row["t"]:
                break
            not_ready_since = 0 if is_ready else not_ready_since or at
        is_kept = not not_ready_since or row["t"] <= not_ready_since + run.drain_grace + SLACK
        rule.check(
            is_kept,
            tags.get(row["request"], ""),
            f"{row['engine']} got new work {row['t'] - not_ready_since} us after {node} saw it drain or go",
        )


def _check_states(
    run: RunRecord, tags: dict[str, str], spans: dict[str, list[tuple[int, int, str]]], rule: _Rule
) -> None:
    dropped = {row["state"]: row for row in run.engines if row["what"] == "let go"}
    node_ends = {life.instance: life.end for life in run.lifetimes if life.end}
    engine_ends = _end_times(run)
    last = _run_end(run)
    for row in run.engines:
        if row["what"] != "kept":
            continue
        node_end = node_ends.get(row["request"].rpartition("-")[0], 0)
        end = (
            dropped[row["state"]]["t"]
            if row["state"] in dropped
            else min((t for t in engine_ends.get(row["engine"], []) if t > row["t"]), default=last)
        )
        covered_until, longest = row["t"], 0
        for start, stop, _ in [*sorted(spans[row["request"]]), (end, end, "")]:
            if start > covered_until:
                longest = max(longest, min(start, end) - covered_until)
            covered_until = max(covered_until, stop)
            if covered_until >= end:
                break
        # Its node had ended: the engine drops the state when the lease expires.
        exempt = node_end and node_end <= end
        rule.check(
            bool(exempt) or longest <= run.release_within + SLACK,
            tags[row["request"]],
            f"{row['engine']} held its state for {longest} us with no attempt in flight",
        )


def _worth_by_group(run: RunRecord) -> dict[str, Any]:
    """Summed priority weight of the requests that were sent, served and served in time. All tries of a client
    count as one request.
    """
    sums: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0, 0.0])
    for arrival in run.arrivals:
        if not arrival.tries or arrival.tries[-1].left:
            continue
        cls = run.classes[arrival.load.request_class]
        first = next((t.first for t in arrival.tries if t.first), 0)
        served = arrival.tries[-1].finished
        in_time = served and first - arrival.tries[0].sent <= arrival.aim
        for name in ("all", f"class {cls.name}", f"tenant {arrival.load.tenant}"):
            sums[name][0] += cls.priority_weight
            sums[name][1] += cls.priority_weight * served
            sums[name][2] += cls.priority_weight * in_time
    return {
        "requests": len(run.arrivals),
        "worth": {
            name: {"asked": asked, "served": round(served / asked, 4), "in_time": round(in_time / asked, 4)}
            for name, (asked, served, in_time) in sorted(sums.items())
            if asked
        },
    }
