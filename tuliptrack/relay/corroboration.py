"""Decides whether an attempt that its engine has not responded to may be assumed to have arrived.

An engine sends nothing about a request until its first token, which takes seconds under overload. A release
that is sent while an attempt waits costs its engine work, so a release is sent only if the attempt may not
have arrived. Three facts together corroborate the arrival:

1. The attempt's connection answered a probe right before the attempt: the attempt's last byte was sent at
   most `MAX_PROBE_AGE_S` after the probe. An established connection does not show that a process serves it,
   so an attempt on a connection that was not probed is never corroborated.
2. The engine has answered a probe that was sent on another connection after the attempt: the engine's machine
   was not cut off from the network, and the engine's process runs.
3. A connection to another engine, open before the attempt's connection was probed, has received something
   since the attempt was sent: the open connections have not all fallen silent together.

Only a request of at most `MAX_REQUEST_BYTES` is corroborated: an engine that reads slowly, or behind a slow
network, answers the few bytes of a probe long before it has the last byte of a large request.

The remaining risk is that this one connection alone falls silent within `MAX_PROBE_AGE_S`. The probes are
releases of a request that has been served, which have no effect. If one of the facts is missing, the attempt
counts as not arrived.
"""

from __future__ import annotations

from collections.abc import Callable

from tuliptrack.relay.engine_pools import EnginePools
from tuliptrack.rpc.http1_client import ClientConnection
from tuliptrack.rpc.http1_exchange import Exchange, ExchangeOutcome
from tuliptrack.rpc.http1_pool import Pool

__all__ = ["Corroboration"]

MAX_PROBE_AGE_S = 0.02
"""Maximum time from the sending of a connection's probe to the attempt's last byte. The longer this time is,
the more likely the connection fails in between."""

MAX_REQUEST_BYTES = 32_768
"""Maximum size of the body of a request whose arrival is corroborated. Most prompts are smaller."""


class Corroboration:
    """The facts about one attempt.

    At most two probes are sent, each of which is over by its connect time-out or by `close`.
    """

    def __init__(self, pools: EnginePools, pool: Pool, exchange: Exchange) -> None:
        """Create it without sending probes.

        Args:
            pools: The pools of all engines.
            pool: The pool of the attempt's engine.
            exchange: The attempt's exchange.
        """
        self._pools, self._pool, self._exchange = pools, pool, exchange
        self._is_small = len(exchange.body) <= MAX_REQUEST_BYTES
        self._has_engine_answered = False
        self._is_corroborated = False
        self._probes: set[Exchange] = set()

    def check(self) -> None:
        """Send probes for the missing facts; their answers take a round trip."""
        if not self._was_connection_probed() or self._probes:
            return
        self._probe(self._pool, self._record_engine_answer)
        if not self._has_other_connection_received() and (pool := self._other_pool_to_probe()):
            # The callback has nothing to do: the connection itself records when it last received data.
            self._probe(pool, lambda: None)

    def is_corroborated(self) -> bool:
        """Return whether all three facts hold; once true, the result stays true."""
        self._is_corroborated = self._is_corroborated or (
            self._was_connection_probed()
            and self._has_engine_answered
            and self._has_other_connection_received()
        )
        return self._is_corroborated

    def close(self) -> None:
        """Cancel the probes."""
        for probe in list(self._probes):
            probe.cancel()

    def _was_connection_probed(self) -> bool:
        """Return whether the first fact holds: the connection was probed right before a small attempt."""
        exchange = self._exchange
        return (
            exchange.sent
            and self._is_small
            and exchange.probe_sent_at > 0
            and exchange.sent_at - exchange.probe_sent_at <= MAX_PROBE_AGE_S
        )

    def _has_other_connection_received(self) -> bool:
        """Return whether the third fact holds: an older connection to another engine has received data."""
        sent_at = self._exchange.sent_at
        return any(
            connection.heard_at > sent_at
            for pool in self._pools.all()
            for connection in self._older_connections(pool)
        )

    def _older_connections(self, pool: Pool) -> list[ClientConnection]:
        """Return the connections to another engine that were open before the attempt's was probed."""
        if pool is self._pool:
            return []
        return [
            connection for connection in pool.links if connection.opened_at < self._exchange.probe_sent_at
        ]

    def _other_pool_to_probe(self) -> Pool | None:
        """Return the pool to probe: of other engines with an older idle connection, the one heard last."""
        pools = [
            pool
            for pool in self._pools.all()
            if pool.has_idle_connection()
            and any(connection in pool.idle for connection in self._older_connections(pool))
        ]
        return max(pools, key=lambda pool: pool.heard_at, default=None)

    def _probe(self, pool: Pool, handle_answer: Callable[[], None]) -> None:
        probe = pool.make_probe(pool.address)
        if probe is None:
            return

        def handle_end(outcome: ExchangeOutcome, _failure: str) -> None:
            self._probes.discard(probe)
            if outcome is ExchangeOutcome.ANSWER:
                handle_answer()

        probe.on_end = handle_end
        self._probes.add(probe)
        pool.send(probe)

    def _record_engine_answer(self) -> None:
        self._has_engine_answered = True
