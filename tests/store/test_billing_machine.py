"""Nodes that serve, break, resume, commit, die and start again, in any order: bills over all their ledgers
stay honest.
"""

from __future__ import annotations

import shutil
import tempfile
from dataclasses import replace
from pathlib import Path
from typing import Any

from hypothesis import settings as examples
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tuliptrack.decisions.billing import TokenPrice, UsageOutcome, UsageRecord, compute_bills
from tuliptrack.store.ledger import Ledger
from tuliptrack.store.ledger_reading import read_parts, verify

NODES, WORKS, LENGTH = 2, 3, 8


class Billing(RuleBasedStateMachine):
    """Two nodes with a ledger each, three works of eight tokens. What clients have got is kept beside
    them.
    """

    @initialize()
    def start(self) -> None:
        self.folder = Path(tempfile.mkdtemp())
        self.lives = [0] * NODES
        self.number = 0
        self.ledgers = [self.ledger(n) for n in range(NODES)]
        self.running: list[dict[int, UsageRecord]] = [{} for _ in range(NODES)]
        self.got: dict[str, set[int]] = {f"w{w}": set() for w in range(WORKS)}
        self.told: dict[str, set[int]] = {f"w{w}": set() for w in range(WORKS)}
        """Tokens that a commit has vouched for."""
        self.committed: list[UsageRecord] = []

    def ledger(self, node: int) -> Ledger:
        return Ledger(str(self.folder / f"n{node}"))

    def begin(self, node: int, work: int, back: int) -> None:
        """A try, a retry, or a resume: from what the client has, or from before it."""
        if any(p.work == f"w{work}" for own in self.running for p in own.values()):
            return  # Its client waits for the try that it has out.
        got = self.got[f"w{work}"]
        first = max(len(got) - back, 0) if len(got) < LENGTH else 0
        self.number += 1
        self.running[node][self.number] = UsageRecord(
            f"n{node}-{self.lives[node]}",
            self.number,
            "a",
            f"w{work}",
            self.number,
            100,
            0,
            first,
            first,
            UsageOutcome.OPEN,
            price=TokenPrice(0, 0, 1),
        )

    def change(self, node: int, part: UsageRecord, **fields: Any) -> UsageRecord:
        made: UsageRecord = replace(part, **fields)
        self.running[node][part.number] = made
        self.ledgers[node].add(made)
        return made

    @rule(
        work=st.integers(0, WORKS - 1),
        node=st.integers(0, NODES - 1),
        count=st.integers(1, 4),
        back=st.integers(0, 3),
    )
    def stream(self, work: int, node: int, count: int, back: int) -> None:
        """Some tokens reach every client that waits for some, and one more comes."""
        self.begin(node, work, back)
        for at in range(NODES):
            for part in list(self.running[at].values()):
                end = min(part.next + count, LENGTH)
                if end > part.next:
                    self.got[part.work] |= set(range(part.next, end))
                    self.change(at, part, next=end)

    @rule(node=st.integers(0, NODES - 1), breaks=st.booleans())
    def end(self, node: int, breaks: bool) -> None:
        for part in list(self.running[node].values()):
            if breaks or part.next == LENGTH:
                whole = part.next == LENGTH
                self.change(
                    node,
                    part,
                    outcome=UsageOutcome.SERVED
                    if whole
                    else UsageOutcome.CUT
                    if part.next > part.first
                    else UsageOutcome.NOTHING,
                )
                del self.running[node][part.number]

    @rule(node=st.integers(0, NODES - 1))
    def commit(self, node: int) -> None:
        waiting = list(self.ledgers[node].waiting.values())
        self.ledgers[node].commit()
        self.committed += waiting
        for part in waiting:
            self.told[part.work] |= set(range(part.first, part.next))

    @rule(node=st.integers(0, NODES - 1))
    def die(self, node: int) -> None:
        """What was not committed is lost; the next life ends what was open."""
        self.ledgers[node].waiting.clear()
        self.ledgers[node].close()
        self.running[node].clear()
        self.lives[node] += 1
        self.ledgers[node] = self.ledger(node)

    @rule(twice=st.booleans(), order=st.permutations(range(NODES)))
    def bill(self, twice: bool, order: list[int]) -> None:
        parts: list[UsageRecord] = []
        for node in order:  # from copies, as another process would see them
            copy = self.folder / f"copy{self.number}-{node}"
            shutil.rmtree(copy, ignore_errors=True)
            copy.mkdir()
            self.ledgers[node].env.copy(str(copy))
            assert verify(str(copy))[1] == []
            parts += list(read_parts(str(copy))) * (1 + twice)
        bills = {bill.work: bill for bill in compute_bills(parts)}
        for work, told in self.told.items():
            billed = bills[work].written if work in bills else 0
            assert len(told) <= billed <= len(self.got[work]), (work, told, billed, self.got[work])
            assert billed == (bills[work].amount if work in bills else 0)

    @invariant()
    def nothing_told_was_never_got(self) -> None:
        if hasattr(self, "told"):
            assert all(told <= self.got[work] for work, told in self.told.items())

    def teardown(self) -> None:
        if hasattr(self, "ledgers"):
            for ledger in self.ledgers:
                ledger.close()
            shutil.rmtree(self.folder)


TestBilling = Billing.TestCase
TestBilling.settings = examples(max_examples=20, stateful_step_count=20, deadline=None, derandomize=True)
