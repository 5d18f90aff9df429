"""One value agreed on by a majority of hosts, whoever writes it: who acts for the fleet, and what was decided
last.

Each host's agent is an `Acceptor` and keeps three things on its disk. A controller that wants to act has a
majority promise its epoch; by those promises it learns the newest value that any other may have settled,
writes it anew under its own epoch, and acts on nothing that a majority has not accepted from it. An agent
that promised a newer epoch accepts no older one's values or orders. So two controllers may both believe that
they act, and only one can settle anything: no clock and no time-out has a part in it.

No I/O, no clock. Bound: a value of `MOST_BYTES`, and one mark for each agent.
"""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["MAX_CONTROLLERS", "Acceptor", "Ballot", "Proposer", "epoch_after"]

MOST_BYTES = 1 << 20
MAX_CONTROLLERS = 64
"""Epochs of controller i are i modulo this: two controllers never claim the same one."""

Ballot = tuple[int, int]
"""Epoch and number of a value within it; the greater is the newer."""


def epoch_after(seen: int, controller: int) -> int:
    """The least epoch of this controller's that is above one that was seen."""
    if not 0 <= controller < MAX_CONTROLLERS:
        raise ValueError(f"controller: must lie in [0, {MAX_CONTROLLERS}), got {controller!r}")
    made = seen - seen % MAX_CONTROLLERS + controller
    return made if made > seen else made + MAX_CONTROLLERS


@dataclass(slots=True)
class Acceptor:
    """What one agent has promised and accepted. Its fields must be on disk before an answer leaves."""

    promised: int = 0
    mark: Ballot = (0, 0)
    value: bytes = b""

    def promise(self, epoch: int) -> bool:
        """Whether this epoch may act; then no older one may any more."""
        if epoch < self.promised:
            return False
        self.promised = epoch
        return True

    def accept(self, mark: Ballot, value: bytes) -> bool:
        """Whether this value is taken: from the newest epoch promised, and newer than the one that is held.
        The very value that is held is taken again, as its answer may have been lost.
        """
        if mark[0] < self.promised or mark < self.mark or len(value) > MOST_BYTES:
            return False
        if mark == self.mark and value != self.value:
            return False
        self.promised, self.mark, self.value = mark[0], mark, value
        return True


@dataclass(slots=True)
class Proposer:
    """One controller's part: `claim`, then `write` what it decides; `settled` is what it may act on."""

    controller: int
    agents: frozenset[str]
    epoch: int = 0
    leads: bool = False
    """A majority has promised this epoch, and no newer one has been heard of."""
    seen: int = 0
    """The newest epoch heard of."""
    mark: Ballot = (0, 0)
    """Of the value that is being written."""
    value: bytes = b""
    settled: tuple[Ballot, bytes] | None = None
    """The newest value that a majority has accepted under this epoch."""
    _promises: set[str] = field(default_factory=set)
    _newest: tuple[Ballot, bytes] = ((0, 0), b"")
    _accepts: set[str] = field(default_factory=set)

    @property
    def majority(self) -> int:
        return len(self.agents) // 2 + 1

    def claim(self) -> int:
        """Begin a new epoch, above any that was heard of; to be promised by a majority."""
        self.epoch = epoch_after(max(self.seen, self.epoch), self.controller)
        self.seen, self.leads, self.settled = self.epoch, False, None
        self._promises, self._newest, self._accepts = set(), ((0, 0), b""), set()
        return self.epoch

    def promised(self, agent: str, epoch: int, mark: Ballot, value: bytes) -> bool:
        """An agent has promised this epoch and told what it holds. True once, when that makes a majority:
        what the newest of them held is then being written anew (`mark`, `value`).
        """
        if epoch != self.epoch or agent not in self.agents or self.leads or self.seen > self.epoch:
            return False
        self._promises.add(agent)
        self._newest = max(self._newest, (mark, value))
        if len(self._promises) < self.majority:
            return False
        self.leads = True
        self.mark = (self.epoch, 0)
        self.write(self._newest[1])
        return True

    def write(self, value: bytes) -> Ballot:
        """Begin to write a value; only who leads may. What was being written before may still be settled by
        others.
        """
        if not self.leads:
            raise RuntimeError("only who leads may write")
        if len(value) > MOST_BYTES:
            raise ValueError(f"value: at most {MOST_BYTES} bytes, got {len(value)}")
        self.mark, self.value, self._accepts = (self.epoch, self.mark[1] + 1), value, set()
        return self.mark

    def accepted(self, agent: str, mark: Ballot) -> bool:
        """An agent has accepted a value. True once, when that settles the newest one."""
        if not self.leads or mark != self.mark or agent not in self.agents:
            return False
        before = len(self._accepts)
        self._accepts.add(agent)
        if before < self.majority <= len(self._accepts):
            self.settled = (self.mark, self.value)
            return True
        return False

    def refused(self, promised: int) -> None:
        """An agent has told of a newer epoch: another acts now."""
        self.seen = max(self.seen, promised)
        if promised > self.epoch:
            self.leads, self.settled = False, None
