"""Hollow host agents: they serve the interface that controllers use, with a real acceptor but no node."""

from __future__ import annotations

from tuliptrack.decisions.consensus import Acceptor, Ballot
from tuliptrack.proto import rollout_pb2 as pb
from tuliptrack.rpc.server import Server, ServerCall, unary_request
from tuliptrack.rpc.status import Code, Status

__all__ = ["HollowAgent"]

CLASSES = ("chat", "batch")
MEASURES = ("refused", "failed", "broken", "late")


class HollowAgent:
    """Promises, stores records and reports as the agent in `fleet/agent.py` does, with made-up counts in place
    of a node's.
    """

    def __init__(self, host: str, record: bytes = b"") -> None:
        """`record` is the value that it has accepted at the start, under an epoch that no controller claims."""
        self.host = host
        self.acceptor = Acceptor(1, Ballot(1, 1), record) if record else Acceptor()
        self.looks = 0
        self.server = Server()
        self.server.add("tuliptrack.v1.Agent", "Promise", unary_request(pb.PromiseRequest, self._promise))
        self.server.add("tuliptrack.v1.Agent", "Accept", unary_request(pb.AcceptRequest, self._accept))
        self.server.add("tuliptrack.v1.Agent", "Look", unary_request(pb.LookRequest, self._look))

    async def start(self) -> str:
        """Start serving; return host:port."""
        return await self.server.listen("127.0.0.1", 0)

    async def stop(self) -> None:
        """Stop serving and end all connections."""
        await self.server.stop(0)

    def _answer(self, call: ServerCall, agreed: bool) -> None:
        acceptor = self.acceptor
        call.send(
            pb.AgentAnswer(
                agreed=agreed,
                promised=acceptor.promised_epoch,
                value=acceptor.value,
                mark=pb.Mark(epoch=acceptor.ballot.epoch, number=acceptor.ballot.number),
            ).SerializeToString()
        )
        call.end(Status(Code.OK))

    def _promise(self, call: ServerCall, request: pb.PromiseRequest) -> None:
        self._answer(call, self.acceptor.promise(request.epoch))

    def _accept(self, call: ServerCall, request: pb.AcceptRequest) -> None:
        self._answer(
            call, self.acceptor.accept(Ballot(request.mark.epoch, request.mark.number), request.value)
        )

    def _look(self, call: ServerCall, request: pb.LookRequest) -> None:
        self.looks += 1
        report = pb.HostReport(
            host=self.host,
            obeyed=True,
            promised=self.acceptor.promised_epoch,
            ready=True,
            ready_for=60_000_000 + self.looks,
            life="1234abcd",
            unled_for=0 if request.HasField("order") else 60_000_000,
            address="127.0.0.1:7400",
            changes=1,
        )
        report.release.program, report.release.settings = "a" * 64, "b" * 64
        for number, name in enumerate(CLASSES):
            for measure in MEASURES:
                report.counts.add(
                    request_class=name, measure=measure, count=1_000 * (number + 1) + self.looks, bad=number
                )
        call.send(report.SerializeToString())
        call.end(Status(Code.OK))
