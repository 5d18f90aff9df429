"""Consensus among controllers: no chosen value is lost when messages are reordered, lost or duplicated."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import pairwise
from random import Random

import pytest

from tuliptrack.decisions.consensus import (
    FIRST_BALLOT,
    MAX_VALUE_BYTES,
    NOTHING_ACCEPTED,
    AcceptedValue,
    Acceptor,
    Ballot,
    Proposer,
    epoch_after,
)

ACCEPTORS = ("a", "b", "c")


@dataclass
class SimulatedNetwork:
    """Proposers, acceptors and the messages in flight between them; calling a message delivers it."""

    proposers: list[Proposer]
    acceptors: dict[str, Acceptor]
    messages: list[Callable[[], None]] = field(default_factory=list)
    chosen: list[AcceptedValue] = field(default_factory=list)
    proposals: int = 0

    def start_epoch(self, index: int) -> None:
        epoch = self.proposers[index].start_epoch()
        for name in self.acceptors:
            self.messages.append(lambda name=name: self.deliver_prepare(index, name, epoch))  # type: ignore[misc]

    def propose(self, index: int) -> None:
        """Propose a value that extends the value chosen last, as the next step of a rollout does."""
        proposer = self.proposers[index]
        if proposer.is_leader and proposer.chosen and proposer.chosen.ballot == proposer.ballot:
            self.proposals += 1
            proposer.propose(proposer.chosen.value + bytes([64 + self.proposals]))
            self.send_proposal(index)

    def send_proposal(self, index: int) -> None:
        ballot, value = self.proposers[index].ballot, self.proposers[index].value
        for name in self.acceptors:
            self.messages.append(
                lambda name=name: self.deliver_proposal(index, name, ballot, value)  # type: ignore[misc]
            )

    def deliver_prepare(self, index: int, name: str, epoch: int) -> None:
        acceptor = self.acceptors[name]
        if acceptor.promise(epoch):
            accepted = AcceptedValue(acceptor.ballot, acceptor.value)
            self.messages.append(lambda: self.deliver_promise(index, name, epoch, accepted))
        else:
            self.send_rejection(index, acceptor.promised_epoch)

    def deliver_proposal(self, index: int, name: str, ballot: Ballot, value: bytes) -> None:
        acceptor = self.acceptors[name]
        if acceptor.accept(ballot, value):
            self.messages.append(lambda: self.deliver_accept(index, name, ballot))
        else:
            self.send_rejection(index, acceptor.promised_epoch)

    def send_rejection(self, index: int, promised_epoch: int) -> None:
        self.messages.append(lambda: self.proposers[index].handle_rejection(promised_epoch))

    def deliver_promise(self, index: int, name: str, epoch: int, accepted: AcceptedValue) -> None:
        if self.proposers[index].handle_promise(name, epoch, accepted):
            self.send_proposal(index)

    def deliver_accept(self, index: int, name: str, ballot: Ballot) -> None:
        proposer = self.proposers[index]
        if proposer.handle_accept(name, ballot):
            assert proposer.chosen
            self.chosen.append(proposer.chosen)
            self.check()

    def check(self) -> None:
        """Check that each chosen value extends every earlier one: none is lost, and none forks."""
        values = [accepted.value for accepted in sorted(self.chosen)]
        for earlier, later in pairwise(values):
            assert later.startswith(earlier), f"{later!r} is chosen after {earlier!r} and loses it"


def network_of(proposers: int, acceptors: tuple[str, ...]) -> SimulatedNetwork:
    return SimulatedNetwork(
        [Proposer(index, frozenset(acceptors)) for index in range(proposers)],
        {name: Acceptor() for name in acceptors},
    )


def run_at_random(seed: int, steps: int = 400) -> SimulatedNetwork:
    """Deliver messages in random order, some never and some twice; start epochs and proposals in between."""
    random, network = Random(seed), network_of(3, ("a", "b", "c", "d", "e"))
    for _ in range(steps):
        draw = random.random()
        if draw < 0.03:
            network.start_epoch(random.randrange(3))
        elif draw < 0.12:
            network.propose(random.randrange(3))
        elif network.messages:
            message = network.messages.pop(random.randrange(len(network.messages)))
            if random.random() > 0.1:
                message()
            if random.random() < 0.1:
                network.messages.append(message)
    return network


def test_no_chosen_value_is_ever_lost_or_forked_whatever_the_order() -> None:
    chosen = sum(len(run_at_random(seed).chosen) for seed in range(400))
    assert chosen > 1000


@pytest.mark.parametrize("broken", ["promise", "accept", "adopt", "quorum"])
def test_without_any_one_guard_a_chosen_value_is_lost(broken: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """The random runs are those of the previous test, but one guard of the protocol is broken."""
    if broken == "promise":

        def promise(self: Acceptor, epoch: int) -> bool:
            self.promised_epoch = epoch
            return True

        monkeypatch.setattr(Acceptor, "promise", promise)
    elif broken == "accept":

        def accept(self: Acceptor, ballot: Ballot, value: bytes) -> bool:
            self.ballot, self.value = ballot, value
            return True

        monkeypatch.setattr(Acceptor, "accept", accept)
    elif broken == "adopt":
        handle_promise = Proposer.handle_promise

        def ignore_accepted(self: Proposer, acceptor: str, epoch: int, accepted: AcceptedValue) -> bool:
            return handle_promise(self, acceptor, epoch, NOTHING_ACCEPTED)

        monkeypatch.setattr(Proposer, "handle_promise", ignore_accepted)
    else:
        monkeypatch.setattr(Proposer, "quorum", property(lambda self: len(self.acceptors) // 2))
    with pytest.raises(AssertionError, match="loses it"):
        for seed in range(400):
            run_at_random(seed)


def test_epochs_of_two_controllers_are_never_equal() -> None:
    epochs = {epoch_after(seen, controller) for seen in range(300) for controller in (0, 1, 63)}
    assert all(epoch_after(epoch, epoch % 64) == epoch + 64 for epoch in epochs)
    assert all(epoch_after(seen, 5) > seen and epoch_after(seen, 5) % 64 == 5 for seen in range(300))
    with pytest.raises(ValueError, match="controller"):
        epoch_after(1, 64)


def test_only_the_leader_proposes_and_a_value_that_is_too_long_is_rejected_on_both_sides() -> None:
    proposer = Proposer(1, frozenset(ACCEPTORS))
    epoch = proposer.start_epoch()
    with pytest.raises(RuntimeError, match="leader"):
        proposer.propose(b"x")
    promises = [proposer.handle_promise(name, epoch, NOTHING_ACCEPTED) for name in ACCEPTORS]
    assert promises == [False, True, False]
    too_long = b"x" * (MAX_VALUE_BYTES + 1)
    with pytest.raises(ValueError, match="bytes"):
        proposer.propose(too_long)
    assert not Acceptor().accept(Ballot(epoch, 9), too_long)


def test_a_lost_reply_is_repeated_and_an_older_proposal_is_not_accepted() -> None:
    acceptor = Acceptor()
    assert acceptor.ballot == FIRST_BALLOT and acceptor.promise(65)
    assert acceptor.accept(Ballot(65, 1), b"x") and acceptor.accept(Ballot(65, 1), b"x")
    assert not acceptor.accept(Ballot(65, 1), b"y") and not acceptor.accept(Ballot(65, 0), b"z")
    assert not acceptor.promise(64)
    assert acceptor.accept(Ballot(66, 1), b"y") and not acceptor.accept(Ballot(65, 9), b"x")
