"""Agrees on one value by a quorum of hosts, whichever controller proposes it (the Paxos protocol).

The value says who acts for the fleet and what was decided last. Each host's agent is an `Acceptor` that keeps
its promise, ballot and value on disk. A controller that wants to lead asks all acceptors to promise its
epoch, and leads once a quorum has. The promises tell it the newest value that may have been chosen under an
earlier epoch. It proposes that value again under its own epoch, and acts only on values that a quorum has
accepted from it. An acceptor that promised a newer epoch accepts no values or orders of an older one. So two
controllers may both believe that they lead, but only one can have a value chosen: safety depends on no clock
and no time-out.

The module does no I/O and reads no clock. Memory bound: a value of `MAX_VALUE_BYTES`, and one ballot for each
acceptor.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = [
    "FIRST_BALLOT",
    "MAX_CONTROLLERS",
    "MAX_VALUE_BYTES",
    "NOTHING_ACCEPTED",
    "AcceptedValue",
    "Acceptor",
    "Ballot",
    "Proposer",
    "epoch_after",
]

MAX_VALUE_BYTES = 1 << 20
MAX_CONTROLLERS = 64
"""Number of possible controllers.

Controller i starts only epochs that are i modulo this number, so no two controllers start the same epoch.
"""


class Ballot(NamedTuple):
    """Epoch of a proposer and number of its proposal; the greater ballot is the newer.

    It is a tuple because it is stored as a pair.
    """

    epoch: int
    number: int


FIRST_BALLOT = Ballot(0, 0)
"""Ballot of an acceptor that has accepted nothing; the ballot of every proposal is newer."""


class AcceptedValue(NamedTuple):
    """A value and the ballot under which it was accepted."""

    ballot: Ballot
    value: bytes


NOTHING_ACCEPTED = AcceptedValue(FIRST_BALLOT, b"")


def epoch_after(epoch: int, controller: int) -> int:
    """Return the lowest epoch above `epoch` that a controller may start."""
    if not 0 <= controller < MAX_CONTROLLERS:
        raise ValueError(f"controller: must lie in [0, {MAX_CONTROLLERS}), got {controller!r}")
    own_epoch = epoch - epoch % MAX_CONTROLLERS + controller
    return own_epoch if own_epoch > epoch else own_epoch + MAX_CONTROLLERS


@dataclass(slots=True)
class Acceptor:
    """What one agent has promised and accepted. Its fields must be on disk before a reply is sent."""

    promised_epoch: int = 0
    ballot: Ballot = FIRST_BALLOT
    value: bytes = b""

    def promise(self, epoch: int) -> bool:
        """Promise to accept nothing older than an epoch; return False if a newer one was promised."""
        if epoch < self.promised_epoch:
            return False
        self.promised_epoch = epoch
        return True

    def accept(self, ballot: Ballot, value: bytes) -> bool:
        """Accept a value and return True, unless its ballot is outdated or the value is too long.

        A ballot is outdated if its epoch is older than the promised one, or if it is itself older than the
        accepted ballot. The value that was accepted last is accepted again under the same ballot, as the
        first reply may have been lost; any other value under that ballot is rejected.
        """
        if ballot.epoch < self.promised_epoch or ballot < self.ballot or len(value) > MAX_VALUE_BYTES:
            return False
        if ballot == self.ballot and value != self.value:
            return False
        self.promised_epoch, self.ballot, self.value = ballot.epoch, ballot, value
        return True


@dataclass(slots=True)
class Proposer:
    """One controller's side of the protocol: `start_epoch`, then `propose`; only `chosen` may be acted on."""

    controller: int
    acceptors: frozenset[str]
    epoch: int = 0
    is_leader: bool = False
    """Whether a quorum has promised this epoch and no newer one is known."""
    newest_epoch: int = 0
    """The newest known epoch of any proposer."""
    ballot: Ballot = FIRST_BALLOT
    """Ballot of the value that is being proposed."""
    value: bytes = b""
    chosen: AcceptedValue | None = None
    """The newest value that a quorum has accepted under this epoch."""
    _promised_by: set[str] = field(default_factory=set)
    _newest_accepted: AcceptedValue = NOTHING_ACCEPTED
    _accepted_by: set[str] = field(default_factory=set)

    @property
    def quorum(self) -> int:
        """Number of acceptors that make a majority."""
        return len(self.acceptors) // 2 + 1

    def start_epoch(self) -> int:
        """Start an epoch above every known one and return it; a quorum has to promise it."""
        self.epoch = epoch_after(max(self.newest_epoch, self.epoch), self.controller)
        self.newest_epoch, self.is_leader, self.chosen = self.epoch, False, None
        self._promised_by, self._accepted_by = set(), set()
        self._newest_accepted = NOTHING_ACCEPTED
        return self.epoch

    def handle_promise(self, acceptor: str, epoch: int, accepted: AcceptedValue) -> bool:
        """Record a promise and what its acceptor had accepted; return True if it completes a quorum.

        Once the quorum is complete, the newest of the accepted values is proposed again (`ballot`, `value`):
        it may have been chosen, and a chosen value must not be lost.
        """
        is_outdated = epoch != self.epoch or self.newest_epoch > self.epoch
        if is_outdated or self.is_leader or acceptor not in self.acceptors:
            return False
        self._promised_by.add(acceptor)
        self._newest_accepted = max(self._newest_accepted, accepted)
        if len(self._promised_by) < self.quorum:
            return False
        self.is_leader = True
        self.ballot = Ballot(self.epoch, 0)
        self.propose(self._newest_accepted.value)
        return True

    def propose(self, value: bytes) -> Ballot:
        """Begin to propose a value and return its ballot; RuntimeError unless this controller leads.

        The value proposed before it may still be chosen, if another proposer proposes that one again.
        """
        if not self.is_leader:
            raise RuntimeError("only the leader may propose")
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError(f"value: at most {MAX_VALUE_BYTES} bytes, got {len(value)}")
        self.ballot, self.value = Ballot(self.epoch, self.ballot.number + 1), value
        self._accepted_by = set()
        return self.ballot

    def handle_accept(self, acceptor: str, ballot: Ballot) -> bool:
        """Record that an acceptor accepted the newest proposal; return True if this gets it chosen."""
        if not self.is_leader or ballot != self.ballot or acceptor not in self.acceptors:
            return False
        previous_count = len(self._accepted_by)
        self._accepted_by.add(acceptor)
        if previous_count < self.quorum <= len(self._accepted_by):
            self.chosen = AcceptedValue(self.ballot, self.value)
            return True
        return False

    def handle_rejection(self, promised_epoch: int) -> None:
        """Record the epoch that a rejecting acceptor has promised; a newer one ends this leadership."""
        self.newest_epoch = max(self.newest_epoch, promised_epoch)
        if promised_epoch > self.epoch:
            self.is_leader, self.chosen = False, None
