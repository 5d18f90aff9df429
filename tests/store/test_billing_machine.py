"""Bills over the ledgers of nodes that serve, fail, resume, commit, are killed and restart in any order.

A bill covers at least what was committed, and at most what the client received.
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
from tuliptrack.store.ledger_reading import read_usage_records, verify

NODES, WORKS, LENGTH = 2, 3, 8


class Billing(RuleBasedStateMachine):
    """Two nodes with a ledger each, and three works of eight tokens; records what clients have received."""

    @initialize()
    def start(self) -> None:
        self.folder = Path(tempfile.mkdtemp())
        self.incarnations = [0] * NODES
        self.number = 0
        self.ledgers = [self.ledger(n) for n in range(NODES)]
        self.running: list[dict[int, UsageRecord]] = [{} for _ in range(NODES)]
        self.received: dict[str, set[int]] = {f"w{w}": set() for w in range(WORKS)}
        self.committed_tokens: dict[str, set[int]] = {f"w{w}": set() for w in range(WORKS)}
        """Indexes of the tokens covered by a commit, by work."""
        self.committed: list[UsageRecord] = []

    def ledger(self, node: int) -> Ledger:
        return Ledger(str(self.folder / f"n{node}"))

    def begin(self, node: int, work: int, back: int) -> None:
        """An attempt, a retry or a resumed stream: from the end of what the client has, or from before it."""
        if any(p.work == f"w{work}" for records in self.running for p in records.values()):
            return  # Its client waits for the attempt that is under way.
        received = self.received[f"w{work}"]
        first = max(len(received) - back, 0) if len(received) < LENGTH else 0
        self.number += 1
        self.running[node][self.number] = UsageRecord(
            f"n{node}-{self.incarnations[node]}",
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

    def change(self, node: int, record: UsageRecord, **fields: Any) -> UsageRecord:
        changed: UsageRecord = replace(record, **fields)
        self.running[node][record.number] = changed
        self.ledgers[node].add(changed)
        return changed

    @rule(
        work=st.integers(0, WORKS - 1),
        node=st.integers(0, NODES - 1),
        count=st.integers(1, 4),
        back=st.integers(0, 3),
    )
    def stream(self, work: int, node: int, count: int, back: int) -> None:
        """A client may send a request; every client with a running request receives some tokens."""
        self.begin(node, work, back)
        for index in range(NODES):
            for record in list(self.running[index].values()):
                end = min(record.next + count, LENGTH)
                if end > record.next:
                    self.received[record.work] |= set(range(record.next, end))
                    self.change(index, record, next=end)

    @rule(node=st.integers(0, NODES - 1), fails=st.booleans())
    def end(self, node: int, fails: bool) -> None:
        for record in list(self.running[node].values()):
            if fails or record.next == LENGTH:
                is_complete = record.next == LENGTH
                self.change(
                    node,
                    record,
                    outcome=UsageOutcome.SERVED
                    if is_complete
                    else UsageOutcome.CUT
                    if record.next > record.first
                    else UsageOutcome.NOTHING,
                )
                del self.running[node][record.number]

    @rule(node=st.integers(0, NODES - 1))
    def commit(self, node: int) -> None:
        waiting = list(self.ledgers[node].waiting.values())
        self.ledgers[node].commit()
        self.committed += waiting
        for record in waiting:
            self.committed_tokens[record.work] |= set(range(record.first, record.next))

    @rule(node=st.integers(0, NODES - 1))
    def kill(self, node: int) -> None:
        """What was not committed is lost; when the node restarts, its open records end."""
        self.ledgers[node].waiting.clear()
        self.ledgers[node].close()
        self.running[node].clear()
        self.incarnations[node] += 1
        self.ledgers[node] = self.ledger(node)

    @rule(twice=st.booleans(), order=st.permutations(range(NODES)))
    def bill(self, twice: bool, order: list[int]) -> None:
        parts: list[UsageRecord] = []
        for node in order:  # From copies, as another process would see the files.
            copy = self.folder / f"copy{self.number}-{node}"
            shutil.rmtree(copy, ignore_errors=True)
            copy.mkdir()
            self.ledgers[node].env.copy(str(copy))
            assert verify(str(copy))[1] == []
            parts += list(read_usage_records(str(copy))) * (1 + twice)
        bills = {bill.work: bill for bill in compute_bills(parts)}
        for work, committed in self.committed_tokens.items():
            billed = bills[work].written if work in bills else 0
            assert len(committed) <= billed <= len(self.received[work]), (
                work,
                committed,
                billed,
                self.received[work],
            )
            assert billed == (bills[work].amount if work in bills else 0)

    @invariant()
    def clients_received_every_committed_token(self) -> None:
        if hasattr(self, "committed_tokens"):
            assert all(committed <= self.received[work] for work, committed in self.committed_tokens.items())

    def teardown(self) -> None:
        if hasattr(self, "ledgers"):
            for ledger in self.ledgers:
                ledger.close()
            shutil.rmtree(self.folder)


TestBilling = Billing.TestCase
TestBilling.settings = examples(max_examples=20, stateful_step_count=20, deadline=None, derandomize=True)
