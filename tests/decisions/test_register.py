"""The register that a majority holds: three controllers, five agents, messages in any order, lost and
doubled.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import pairwise
from random import Random

import pytest

from tuliptrack.decisions import consensus
from tuliptrack.decisions.consensus import Acceptor, Ballot, Proposer, epoch_after

AGENTS = ("a", "b", "c")


@dataclass
class World:
    """Controllers, agents and the messages between them, which come in any order, twice or never."""

    controllers: list[Proposer]
    agents: dict[str, Acceptor]
    wires: list[tuple[object, ...]] = field(default_factory=list)
    settled: list[tuple[Ballot, bytes]] = field(default_factory=list)
    wrote: int = 0

    def claim(self, i: int) -> None:
        epoch = self.controllers[i].claim()
        self.wires += [("promise", i, a, epoch) for a in self.agents]

    def write(self, i: int) -> None:
        """What it writes builds on what it settled last, as a rollout's next step does."""
        c = self.controllers[i]
        if c.leads and c.settled and c.settled[0] == c.mark:
            self.wrote += 1
            c.write(c.settled[1] + bytes([64 + self.wrote]))
            self.spread(i)

    def spread(self, i: int) -> None:
        c = self.controllers[i]
        self.wires += [("accept", i, a, c.mark, c.value) for a in self.agents]

    def deliver(self, message: tuple[object, ...]) -> None:
        kind, i, agent, *rest = message
        c, a = self.controllers[i], self.agents[agent]  # type: ignore[call-overload,index]
        if kind == "promise":
            if a.promise(rest[0]):  # type: ignore[arg-type]
                self.wires.append(("promised", i, agent, rest[0], a.mark, a.value))
            else:
                self.wires.append(("refused", i, agent, a.promised))
        elif kind == "accept":
            if a.accept(rest[0], rest[1]):  # type: ignore[arg-type]
                self.wires.append(("accepted", i, agent, rest[0]))
            else:
                self.wires.append(("refused", i, agent, a.promised))
        elif kind == "promised":
            if c.promised(agent, *rest):
                self.spread(i)  # type: ignore[arg-type]
        elif kind == "accepted":
            if c.accepted(agent, rest[0]):
                assert c.settled
                self.settled.append(c.settled)
                self.check()
        else:
            c.refused(rest[0])

    def check(self) -> None:
        """What was settled is built on everything that was settled before it: nothing is lost, nothing
        forks.
        """
        chain = [value for _, value in sorted(self.settled)]
        for one, two in pairwise(chain):
            assert two.startswith(one), f"{two!r} is settled after {one!r} and forgets it"


def world(controllers: int = 2, agents: tuple[str, ...] = AGENTS) -> World:
    return World(
        [Proposer(i, frozenset(agents)) for i in range(controllers)], {a: Acceptor() for a in agents}
    )


def random_world(seed: int, steps: int = 400) -> World:
    """Messages in any order, some lost, some twice; controllers that claim whenever they like."""
    random, w = Random(seed), world(3, ("a", "b", "c", "d", "e"))
    for _ in range(steps):
        what = random.random()
        if what < 0.03:
            w.claim(random.randrange(3))
        elif what < 0.12:
            w.write(random.randrange(3))
        elif w.wires:
            message = w.wires.pop(random.randrange(len(w.wires)))
            if random.random() > 0.1:
                w.deliver(message)
            if random.random() < 0.1:
                w.wires.append(message)
    return w


def test_nothing_settled_is_ever_lost_or_forked_whatever_the_order() -> None:
    settled = 0
    for seed in range(400):
        w = random_world(seed)
        settled += len(w.settled)
    assert settled > 1000


@pytest.mark.parametrize("broken", ["promise", "accept", "adopt", "majority"])
def test_each_guard_matters(broken: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Without any one of them the same worlds lose something that was settled."""
    if broken == "promise":

        def promise(self: Acceptor, epoch: int) -> bool:
            self.promised = epoch
            return True

        monkeypatch.setattr(Acceptor, "promise", promise)
    elif broken == "accept":

        def accept(self: Acceptor, mark: Ballot, value: bytes) -> bool:
            self.mark, self.value = mark, value
            return True

        monkeypatch.setattr(Acceptor, "accept", accept)
    elif broken == "adopt":
        adopting = Proposer.promised

        def promised(self: Proposer, agent: str, epoch: int, mark: Ballot, value: bytes) -> bool:
            return adopting(self, agent, epoch, (0, 0), b"")

        monkeypatch.setattr(Proposer, "promised", promised)
    else:
        monkeypatch.setattr(Proposer, "majority", property(lambda self: len(self.agents) // 2))
    with pytest.raises(AssertionError, match="forgets it"):
        for seed in range(400):
            random_world(seed)


def test_epochs_of_two_controllers_never_meet() -> None:
    made = {epoch_after(seen, i) for seen in range(300) for i in (0, 1, 63)}
    assert all(epoch_after(e, e % 64) == e + 64 for e in made)
    assert all(epoch_after(seen, 5) > seen and epoch_after(seen, 5) % 64 == 5 for seen in range(300))
    with pytest.raises(ValueError, match="controller"):
        epoch_after(1, 64)


def test_a_value_that_is_too_long_is_refused_on_both_sides() -> None:
    p = Proposer(1, frozenset(AGENTS))
    epoch = p.claim()
    with pytest.raises(RuntimeError, match="leads"):
        p.write(b"x")
    assert [p.promised(a, epoch, (0, 0), b"") for a in AGENTS] == [False, True, False]
    with pytest.raises(ValueError, match="bytes"):
        p.write(b"x" * (consensus.MOST_BYTES + 1))
    assert not Acceptor().accept((epoch, 9), b"x" * (consensus.MOST_BYTES + 1))


def test_a_lost_answer_is_given_again_and_an_older_order_is_not() -> None:
    a = Acceptor()
    assert a.promise(65) and a.accept((65, 1), b"x") and a.accept((65, 1), b"x")
    assert not a.accept((65, 1), b"y") and not a.accept((65, 0), b"z") and not a.promise(64)
    assert a.accept((66, 1), b"y") and not a.accept((65, 9), b"x")
