"""Whether an attempt that has brought no word may be taken to have arrived.

An engine says nothing of a request until its first token, which takes seconds in a jam. A release beside an
attempt that waits costs its engine work, so it is made only where the attempt may not have arrived. Three
things together say that it has:

1. Its connection answered a question right before: from the question to the attempt's last byte it took
`_PROOF_WINDOW_S` at
   most. That a new connection has come up says nothing of a process behind it, so an attempt on one that was
   not asked never counts.
2. Its engine has answered a question on another connection that was asked after the attempt was written: its
machine was not
   cut off, and its process runs.
3. A connection to another engine that was open before that has brought something since the attempt was
written:
   connections that were open have not fallen silent together.

What remains is one connection falling silent alone within that window. The questions are releases of a
request that has been served, which have no effect. Where one of the three is missing the attempt counts as
not arrived.
"""

from __future__ import annotations

from collections.abc import Callable

from tuliptrack.relay.pools import EnginePools
from tuliptrack.rpc.http1_client import ClientConnection
from tuliptrack.rpc.http1_exchange import Exchange, How
from tuliptrack.rpc.http1_pool import Pool

__all__ = ["Corroboration"]

_PROOF_WINDOW_S = 0.02


class Corroboration:
    """What speaks for the arrival of one attempt. Bound: two questions, which end with their time to connect
    or by `close`.
    """

    def __init__(self, pools: EnginePools, pool: Pool, exchange: Exchange) -> None:
        """`pool`: the connections to the attempt's engine, `exchange`: the attempt."""
        self._pools, self._pool, self._exchange = pools, pool, exchange
        self._engine_answered = self._held = False
        self._questions: set[Exchange] = set()

    @property
    def proven_before(self) -> bool:
        """Whether its connection answered right before it went out."""
        exchange = self._exchange
        return (
            exchange.sent
            and exchange.proven_since > 0
            and exchange.sent_at - exchange.proven_since <= _PROOF_WINDOW_S
        )

    def seek(self) -> None:
        """Ask what is not known yet; answers take a round trip."""
        if not self.proven_before or self._questions:
            return
        self._ask(self._pool, self._note_answer)
        if not self._others_speak() and (other := self._other_kept()):
            self._ask(other, lambda: None)  # Its connection notes that it has spoken.

    def holds(self) -> bool:
        """Whether all three are known; once they are, they stay so."""
        self._held = self._held or (self.proven_before and self._engine_answered and self._others_speak())
        return self._held

    def close(self) -> None:
        """End what was asked."""
        for question in list(self._questions):
            question.cancel()

    def _ask(self, pool: Pool, answered: Callable[[], None]) -> None:
        question = pool.make_question(pool.address)
        if question is None:
            return

        def over(how: How, reason: str) -> None:
            self._questions.discard(question)
            if how is How.ANSWER:
                answered()

        question.on_end = over
        self._questions.add(question)
        pool.send(question)

    def _note_answer(self) -> None:
        self._engine_answered = True

    def _older_elsewhere(self, pool: Pool) -> list[ClientConnection]:
        """Connections to another engine that were open before the attempt's was asked."""
        if pool is self._pool:
            return []
        return [connection for connection in pool.links if connection.opened_at < self._exchange.proven_since]

    def _others_speak(self) -> bool:
        sent_at = self._exchange.sent_at
        return any(
            connection.heard_at > sent_at
            for pool in self._pools.all()
            for connection in self._older_elsewhere(pool)
        )

    def _other_kept(self) -> Pool | None:
        """The pool of another engine with an older connection to spare, heard from last."""
        kept = [
            pool
            for pool in self._pools.all()
            if pool.has_spare() and any(connection in pool.idle for connection in self._older_elsewhere(pool))
        ]
        return max(kept, key=lambda pool: pool.heard_at, default=None)
