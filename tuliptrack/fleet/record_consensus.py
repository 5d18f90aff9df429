"""A controller's part in the consensus on the fleet's record: claims to lead, and has records accepted.

A record is valid once a quorum of agents has accepted it; `decisions/consensus.py` decides that. Epochs alone
determine the leader; nothing here depends on a clock.
"""

from __future__ import annotations

from collections.abc import Iterable

from tuliptrack.decisions.consensus import AcceptedValue, Ballot, Proposer
from tuliptrack.fleet.agent_calls import AgentCalls
from tuliptrack.proto import rollout_pb2 as pb

__all__ = ["RecordConsensus"]


class RecordConsensus:
    """Runs a `Proposer` by calls to agents."""

    def __init__(self, number: int, hosts: Iterable[str], calls: AgentCalls) -> None:
        """Prepare for controller `number`; `hosts` are those whose agents make up the quorum."""
        self._proposer = Proposer(number, frozenset(hosts))
        self._calls = calls

    @property
    def epoch(self) -> int:
        """The epoch that this controller claimed last."""
        return self._proposer.epoch

    @property
    def quorum(self) -> int:
        """How many agents have to accept a record."""
        return self._proposer.quorum

    @property
    def has_promises(self) -> bool:
        """Whether a quorum promised this controller's epoch, and no newer one is known."""
        return self._proposer.is_leader

    @property
    def is_leader(self) -> bool:
        """Whether this controller may act: it has the promises, and a record settled under its epoch."""
        return self._proposer.is_leader and self._proposer.chosen is not None

    @property
    def settled_ballot(self) -> Ballot | None:
        """Ballot of the newest record settled under this epoch."""
        return self._proposer.chosen.ballot if self._proposer.chosen else None

    @property
    def has_unsettled_write(self) -> bool:
        """Whether the record written last is not yet accepted by a quorum."""
        return self._proposer.is_leader and self._proposer.ballot != self.settled_ballot

    def record_promised(self, epoch: int) -> None:
        """Take into account that an agent promised an epoch: if it is newer, another controller leads."""
        self._proposer.handle_rejection(epoch)

    def resign(self) -> None:
        """Stop leading."""
        self._proposer.is_leader = False

    async def claim(self) -> bool:
        """Claim to lead with a new epoch; return whether a quorum promised it."""
        epoch = self._proposer.start_epoch()

        def handle(host: str, answer: pb.AgentAnswer) -> bool:
            accepted = AcceptedValue(Ballot(answer.mark.epoch, answer.mark.number), answer.value)
            return self._agreed(answer) and self._proposer.handle_promise(host, epoch, accepted)

        await self._calls.call_all_until("Agent/Promise", pb.PromiseRequest(epoch=epoch), handle)
        return self._proposer.is_leader

    def write(self, value: bytes) -> None:
        """Begin to write a new record; `settle` has it accepted."""
        self._proposer.propose(value)

    async def settle(self) -> bytes | None:
        """Have the record written last accepted by a quorum; return it, or None if that failed for now."""
        ballot, value = self._proposer.ballot, self._proposer.value

        def handle(host: str, answer: pb.AgentAnswer) -> bool:
            return self._agreed(answer) and self._proposer.handle_accept(host, ballot)

        mark = pb.Mark(epoch=ballot.epoch, number=ballot.number)
        await self._calls.call_all_until("Agent/Accept", pb.AcceptRequest(mark=mark, value=value), handle)
        return value if self._proposer.chosen == AcceptedValue(ballot, value) else None

    def _agreed(self, answer: pb.AgentAnswer) -> bool:
        if not answer.agreed:
            self._proposer.handle_rejection(answer.promised)
        return answer.agreed
