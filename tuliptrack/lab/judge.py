"""The judge: says for each of the five rules whether it was kept, from what engines and clients saw on their
sockets.

The nodes' own words are not looked at; only which process carried which instance name, and when each was
killed or told to stop. Two parties note one moment at slightly different times: `SLACK` is what two events on
different sockets may lie apart and still count as one moment.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

from tuliptrack.interface import Idempotency, RequestClass
from tuliptrack.lab.client import Arrival, Try, as_row

__all__ = ["SLACK", "Life", "Traffic", "judge"]

SLACK = 60_000  # microseconds: scheduling of a busy machine between two processes
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
class Life:
    """One life of a node's process, or of an engine's. Monotonic microseconds; `end` 0 while it lives."""

    who: str
    instance: str
    start: int
    end: int = 0
    killed: bool = False


@dataclass
class Traffic:
    """What was seen on one day."""

    arrivals: list[Arrival]
    engines: list[Row]
    told: list[Row]
    lives: list[Life]
    classes: dict[str, RequestClass]
    release_within: int = 300_000
    drain_grace: int = 500_000
    end: int = 0
    """When it was over, before anything was stopped; 0: at the last thing seen."""


@dataclass
class _Rule:
    checked: int = 0
    broken: list[tuple[str, str]] = field(default_factory=list)
    """Tag of the request, and what was wrong."""

    def check(self, good: bool, tag: str, text: str) -> None:
        self.checked += 1
        if not good:
            self.broken.append((tag, text))


def judge(day: Traffic) -> dict[str, Any]:
    """The verdict, ready for JSON."""
    rules = {number: _Rule() for number in RULES}
    tries = [t for a in day.arrivals for t in a.tries]
    tags = {row["request"]: row["tag"] for row in day.engines if row["what"] == "call"}
    spans = _spans(day)
    _answers(day, tries, tags, rules[1])
    _effects(day, tries, tags, spans, rules[2])
    _drains(day, tags, rules[3])
    for row in day.engines:
        if row["what"] == "up" and row.get("cold"):
            rules[4].checked += 1
        if row["what"] == "fell":
            rules[4].check(False, row["engine"], "a cold engine was sent more than it can take and fell over")
    _pinned(day, tags, spans, rules[5])
    for one in tries:
        rules[6].check(not one.fault, one.tag, one.fault)
    return {
        "kept": not any(rule.broken for rule in rules.values()),
        "rules": {
            number: {
                "rule": RULES[number],
                "kept": not rule.broken,
                "checked": rule.checked,
                "broken": len(rule.broken),
                "first": _history(day, *rule.broken[0]) if rule.broken else None,
            }
            for number, rule in rules.items()
        },
        **_worth(day),
        "tries": len(tries),
        "attempts": sum(1 for row in day.engines if row["what"] == "call"),
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


def _history(day: Traffic, tag: str, text: str) -> dict[str, Any]:
    """All that was seen of a request, in time's order."""
    ids = {row["request"] for row in day.engines if row["what"] == "call" and row["tag"] == tag}
    rows = [row for row in day.engines if row.get("request") in ids]
    rows += [as_row(t) for a in day.arrivals for t in a.tries if t.tag == tag]
    return {"request": tag, "what": text, "history": sorted(rows, key=lambda row: row["t"])[:60]}


def _spans(day: Traffic) -> dict[str, list[tuple[int, int, str]]]:
    """By the node's name of a request: when each attempt was out, as its engine saw it."""
    died = _died(day)
    ends = {
        (r["engine"], r["request"], r["attempt"]): r["t"] for r in day.engines if r["what"] in ("end", "gone")
    }
    spans: dict[str, list[tuple[int, int, str]]] = defaultdict(list)
    last = _last(day)
    for row in day.engines:
        if row["what"] == "call":
            end = ends.get((row["engine"], row["request"], row["attempt"]))
            if end is None:  # Its engine was killed, or it is out to this day's end.
                end = min((t for t in died.get(row["engine"], []) if t >= row["t"]), default=last)
            spans[row["request"]].append((row["t"], end, row["engine"]))
    return spans


def _died(day: Traffic) -> dict[str, list[int]]:
    """When each process's lives ended."""
    found: dict[str, list[int]] = defaultdict(list)
    for life in day.lives:
        if life.end:
            found[life.who].append(life.end)
    return found


def _last(day: Traffic) -> int:
    """When the day was over: what hasn't ended by then has not ended."""
    return day.end or max((row["t"] for row in day.engines), default=0)


def _node_life(day: Traffic, node: int, at: int) -> Life | None:
    return next(
        (life for life in reversed(day.lives) if life.who == f"node-{node}" and life.start <= at), None
    )


def _answers(day: Traffic, tries: list[Try], tags: dict[str, str], rule: _Rule) -> None:
    calls: dict[str, list[Row]] = defaultdict(list)
    for row in day.engines:
        if row["what"] == "call":
            calls[row["tag"]].append(row)
    for one in tries:
        life = _node_life(day, one.node, one.sent)
        running = life is not None and (not life.end or life.end > one.end + SLACK)
        if running and not one.left and not (one.slow and one.tokens):
            good = one.how == "status" and one.end <= one.deadline + SLACK  # it had not given up itself
            rule.check(good, one.tag, f"no final answer by the deadline: {one.how} {one.code} {one.reason}")
        late = [row for row in calls[one.tag] if row["t"] > one.end + SLACK]
        rule.check(not late, one.tag, f"{len(late)} attempts reached engines after the request's end")


def _effects(
    day: Traffic,
    tries: list[Try],
    tags: dict[str, str],
    spans: dict[str, list[tuple[int, int, str]]],
    rule: _Rule,
) -> None:
    for request, out in spans.items():
        out = sorted(out)
        for (_, end, first), (start, _, second) in pairwise(out):
            rule.check(
                start >= end - SLACK, tags[request], f"attempts at {first} and {second} were out at once"
            )
    begun = _count(tags[row["request"]] for row in day.engines if row["what"] == "begun")
    whole: dict[str, int] = defaultdict(int)
    for one in tries:
        if day.classes[one.cls].idempotency is not Idempotency.NOT_IDEMPOTENT:
            continue
        whole[one.request] += begun.get(one.tag, 0)
        rule.check(whole[one.request] <= 1, one.tag, "work that may not be repeated was begun twice")
        rule.check(
            not (one.retry_after >= 0 and begun.get(one.tag)), one.tag, "it had run, yet it was refused"
        )


def _drains(day: Traffic, tags: dict[str, str], rule: _Rule) -> None:
    instances = {life.instance: life.who for life in day.lives}
    told: dict[tuple[str, str], list[tuple[int, bool]]] = defaultdict(list)
    names = {row["id"]: row["engine"] for row in day.told if row["what"] == "entry"}
    for row in day.told:
        if row["what"] != "told":
            continue
        for number, name in names.items():
            state = row["states"].get(number)
            if state is not None:
                told[f"node-{row['node']}", name].append((row["t"], state == "READY"))
            elif row["full"]:
                told[f"node-{row['node']}", name].append((row["t"], False))
    for row in day.engines:
        if row["what"] not in ("call", "hold"):
            continue
        node = instances.get(row["request"].rpartition("-")[0], "")
        bad_since = 0
        for at, ready in told[node, row["engine"]]:
            if at > row["t"]:
                break
            bad_since = 0 if ready else bad_since or at
        good = not bad_since or row["t"] <= bad_since + day.drain_grace + SLACK
        rule.check(
            good,
            tags.get(row["request"], ""),
            f"{row['engine']} got new work {row['t'] - bad_since} us after {node} was told that it drains or is gone",
        )


def _pinned(
    day: Traffic, tags: dict[str, str], spans: dict[str, list[tuple[int, int, str]]], rule: _Rule
) -> None:
    let_go = {row["state"]: row for row in day.engines if row["what"] == "let go"}
    deaths = {life.instance: life.end for life in day.lives if life.end}
    engine_ends = _died(day)
    last = _last(day)
    for row in day.engines:
        if row["what"] != "kept":
            continue
        death = deaths.get(row["request"].rpartition("-")[0], 0)
        end = (
            let_go[row["state"]]["t"]
            if row["state"] in let_go
            else min((t for t in engine_ends.get(row["engine"], []) if t > row["t"]), default=last)
        )
        at, longest = row["t"], 0
        for start, stop, _ in [*sorted(spans[row["request"]]), (end, end, "")]:
            if start > at:
                longest = max(longest, min(start, end) - at)
            at = max(at, stop)
            if at >= end:
                break
        exempt = death and death <= end  # Its node was gone: what it held is the engine's to drop.
        rule.check(
            bool(exempt) or longest <= day.release_within + SLACK,
            tags[row["request"]],
            f"{row['engine']} held its state for {longest} us with no attempt out",
        )


def _worth(day: Traffic) -> dict[str, Any]:
    """Worth answered in time against worth asked for, with a client's tries folded into one request."""
    sums: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0, 0.0])
    for one in day.arrivals:
        if not one.tries or one.tries[-1].left:
            continue
        cls = day.classes[one.load.request_class]
        first = next((t.first for t in one.tries if t.first), 0)
        served = one.tries[-1].finished
        in_time = served and first - one.tries[0].sent <= one.aim
        for name in ("all", f"class {cls.name}", f"tenant {one.load.tenant}"):
            sums[name][0] += cls.priority_weight
            sums[name][1] += cls.priority_weight * served
            sums[name][2] += cls.priority_weight * in_time
    return {
        "requests": len(day.arrivals),
        "worth": {
            name: {"asked": asked, "served": round(served / asked, 4), "in_time": round(in_time / asked, 4)}
            for name, (asked, served, in_time) in sorted(sums.items())
            if asked
        },
    }
