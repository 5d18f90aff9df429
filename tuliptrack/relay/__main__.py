"""One node on the platform: `python -m tuliptrack.relay`, told all by its environment (see `config.py`).

SIGHUP reads the settings' file anew and follows the list's new address. SIGTERM or SIGINT: requests are still
served for as long as nothing may kill the node, since clients keep their connections; then what is open ends,
and the program.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import random
import signal
import sys
from collections.abc import Mapping
from typing import Any

import structlog

from tuliptrack import interface as io
from tuliptrack.decisions.concurrency_limit import ByteBudget, ConcurrencyLimits
from tuliptrack.node.core import Core
from tuliptrack.node.logs import lines_lost, set_up
from tuliptrack.node.request_reader import CoreLimits
from tuliptrack.node.request_state import RequestState
from tuliptrack.node.requests import RequestRecord
from tuliptrack.relay.config import RelayConfig, RelayConfigError, RelayConfigUnreadable, load
from tuliptrack.relay.discovery import MOST_CALLS, Discovery, ListError, Members
from tuliptrack.relay.engine_client import HttpEngineClient
from tuliptrack.relay.front import Front
from tuliptrack.relay.pools import EnginePools
from tuliptrack.rpc.http1 import HttpLimits
from tuliptrack.rpc.http1_client import ClientOptions
from tuliptrack.rpc.http1_pool import Connections
from tuliptrack.rpc.listener import ACCEPTED_AT_ONCE
from tuliptrack.rpc.loop_errors import log_loop_errors
from tuliptrack.rpc.retry import retry, retry_async

__all__ = ["Relay", "main"]

log = structlog.get_logger("relay")
_SWEEP_S = 0.25  # seconds between looks at silent streams, stalled clients and idle connections
_KILLED_S = (
    3.0,
    0.7,
)  # SIGKILL follows SIGTERM no sooner than the longest deadline, or this, and so much more
_FORGIVEN_S = 0.6  # after SIGTERM; what comes later must be answered before SIGKILL
_CLOSE_S, _CUT_S = 1.1, 0.5  # before SIGKILL may come: when to give streams back, and to end what came late
_START_S = 5.0  # seconds for which a start is tried again, where the settings or the address can't be had yet
_RELOAD_S, _RELOAD_AGAIN_S = (
    10.0,
    0.1,
)  # seconds for which, and after which, settings that could not be read are read again
_LIST_S = (
    2.0  # seconds that a node without engines waits for a list before it says that it is ready all the same
)
_SILENCE = 4_000_000  # microseconds: a client may be left waiting on a stream that has stopped for 5 s
# Descriptors that neither clients nor engines get: log and standard streams (3), listener, selector, its
# wake-up (2), the settings' file, one that an import may need; connections accepted before they are looked
# at; the list's calls.
_OWN = 8 + ACCEPTED_AT_ONCE + MOST_CALLS
_CLIENTS, _ENGINES = 0.45, 0.4  # of the descriptors, at most: what they get where there are many
_BODY = 262_144  # bytes of one body, in or out, by the protocol


class Relay(Core):
    """One node. `start`, then `stop`; between them it serves."""

    def __init__(self, config: RelayConfig) -> None:
        self.config = config
        room = config.sockets - _OWN
        clients = min(int(config.sockets * _CLIENTS), room // 2)
        engines = min(int(config.sockets * _ENGINES), room - clients)
        super().__init__(
            config.settings,
            config.seed or random.getrandbits(63),
            config.name,
            CoreLimits(answer_lead_us=20_000, max_token_silence_us=_SILENCE),
            ConcurrencyLimits(min(config.open_requests, clients), clients, 1),
        )
        idle = config.idle or 15_000_000
        self.pools = EnginePools(
            ClientOptions(
                connect_timeout=config.settings.connect_timeout_us,
                idle=max(idle - 2_000_000, idle // 2),
                body_bytes=_BODY,
            ),
            Connections(engines),
        )
        self.channels = self.engines = HttpEngineClient(self, self.pools, config.report_names)
        self.front = Front(
            self,
            HttpLimits(
                header_bytes=16_384,
                body_bytes=_BODY,
                request_within=2_500_000,
                first_within=2_500_000,
                idle=30_000_000,
                connections=clients,
            ),
            ByteBudget(config.memory_bytes // 8),
            ByteBudget(config.memory_bytes // 6),
        )
        self.members = Members(config.kinds, config.zones)
        self.source = Discovery(
            config.discovery,
            lambda: max(self.members.revision, 0),
            lambda told, first: self.listed(told, anew=first),
            config.settings.drain_grace_us,
        )
        self._turned_down = ""
        """Why the last list was, so that it is said once."""
        self._listed: tuple[io.UpdateKind, int] | None = None
        """Of the last list taken."""
        self._sweeper: asyncio.Task[None] | None = None
        self._getting_ready: asyncio.TimerHandle | None = None
        self._reload: asyncio.TimerHandle | None = None
        """When settings that could not be read are read again."""

    async def start(self) -> str:
        """Serve; returns host:port. It is ready once what it is asked is looked at: it listens, and knows
        engines, from its settings or from a first list, or has waited for one for `_LIST_S`.
        """
        self.listed(self.config.known, cached=True)
        self.source.start()
        host, _, port = self.config.listen.rpartition(":")
        address = await retry_async(
            f"listening at {self.config.listen}", lambda: self.front.server.listen(host, int(port)), _START_S
        )
        self._sweeper = asyncio.get_running_loop().create_task(self._sweep())
        if self.members.addresses:
            self.front.ready = True
        else:
            self._getting_ready = asyncio.get_running_loop().call_later(_LIST_S, self._is_ready)
        log.info(
            "serving",
            address=address,
            name=self.config.name,
            pid=os.getpid(),
            sockets=self.config.sockets,
            memory_mb=self.config.memory_bytes >> 20,
            servers=len(self.members.addresses),
        )
        return address

    def listed(self, told: Mapping[str, Any], cached: bool = False, anew: bool = False) -> bool:
        """A list of engines has come; `anew`: the first one of an agent. False where it is older than the one
        held, ListError where it can't be used.
        """
        try:
            change = self.members.take(told, cached, anew)
        except ListError as error:
            self._turn_down(str(error))
            if not cached:
                raise
            change = io.EndpointListUpdate(io.UpdateKind.CACHED)
        if change is None:
            self._turn_down(f"older than revision {self.members.revision}")
            return False
        self._turned_down = self._turned_down if cached else ""
        self._is_ready()
        known, self._listed = self._listed, (change.kind, change.version)
        if (known == self._listed and not anew) or (
            change.kind is io.UpdateKind.DELTA and not change.endpoints
        ):
            return True  # Nothing new: the answer only shows that the agent speaks.
        # The router goes first: what it stops sending to may then be let go.
        self.dispatch(change)
        self.pools.update(self.members.addresses)
        log.info(
            "server list",
            kind=change.kind.value,
            version=change.version,
            servers=len(self.members.addresses),
            changed=[f"{s.state.value}:{s.id % 1_000_000}" for s in change.endpoints] if not cached else [],
        )
        return True

    def request_removed(self, record: RequestRecord) -> None:
        if record.state is RequestState.SERVED:
            self.channels.served(record)

    def counter_values(self) -> dict[str, int]:
        connections = self.pools.connections
        return {
            **super().counter_values(),
            "connections_made": connections.made,
            "connections_silent": connections.silent,
            "open_requests": len(self.table.open),
            "log_lines_lost": lines_lost(),
        }

    def _is_ready(self) -> None:
        """The first list has come, or been waited for."""
        if self._getting_ready:
            self._getting_ready.cancel()
            self._getting_ready, self.front.ready = None, True

    def _turn_down(self, reason: str) -> None:
        if reason != self._turned_down:
            self._turned_down = reason
            log.warning("server list not taken", reason=reason)

    def reload(self) -> None:
        """Read the settings' file anew: the list's new address holds from now on. What else has changed waits
        for the next start, as requests in flight were let in under the old settings.
        """
        self._cancel_reload()
        self._try_reload(self.now() + int(_RELOAD_S * 1e6))

    def _try_reload(self, until: int, again: bool = False) -> None:
        """Read it now, and for so long again where it can't be read: it may be just being written."""
        self._reload = None
        try:
            config = load(os.environ)
        except RelayConfigError as error:
            tries_on = isinstance(error, RelayConfigUnreadable) and self.now() < until
            if not (again and tries_on):
                log.error("settings not taken", reason=str(error), read_again=tries_on)
            if tries_on:
                self._reload = asyncio.get_running_loop().call_later(
                    _RELOAD_AGAIN_S, self._try_reload, until, True
                )
            return
        log.info("settings read anew", discovery=config.discovery)
        self.source.move(config.discovery)

    def _cancel_reload(self) -> None:
        if self._reload:
            self._reload.cancel()
            self._reload = None

    async def stop(self, grace: float, killed: float) -> None:
        """End, knowing that nothing kills the node for `killed` seconds. Until shortly before, all goes on:
        clients keep to the connections that they have, and where nodes restart one after another there may be
        no other yet. Then streams that still run are handed back, while their clients can find another node:
        the kill would break them all the same. What comes from then on is refused, each answer closing its
        connection; a connection without a request stays open until the kill is due, as one may be on its way
        there.
        """
        began = self.now()
        log.info("stopping", open=len(self.table.open))
        self._is_ready()
        self.front.ready = False
        server = self.front.server
        await asyncio.sleep(max(killed - _CLOSE_S, 0.0))
        self.stopping = server.last = True
        if self.settings.may_resume:
            self.migrate_streams()
        await asyncio.sleep(min(killed, _CLOSE_S - _CUT_S))
        self.conclude_open_requests(began + int(_FORGIVEN_S * 1e6))
        await asyncio.sleep(min(killed, _CUT_S))
        await server.stop(grace)
        self._cancel_reload()
        await self.source.close()
        self.close()
        if self._sweeper:
            self._sweeper.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._sweeper
        await self.channels.close()
        log.info("counters", **self.counter_values())
        log.info("stopped", **{state.value: n for state, n in self.table.end_counts.items()})

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_S)
            self.sweep()
            self.pools.sweep()


class _EarlySignals:
    """SIGHUP before the node can heed it: noted, lest it end the process or be lost."""

    def __init__(self) -> None:
        self.noted = False
        signal.signal(signal.SIGHUP, self._note)

    def _note(self, *_: object) -> None:
        self.noted = True


async def _run(config: RelayConfig, early: _EarlySignals) -> None:
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    log_loop_errors(loop)
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, stop.set)
    relay = Relay(config)
    await relay.start()
    loop.add_signal_handler(signal.SIGHUP, relay.reload)
    if early.noted:
        relay.reload()
    gc.freeze()
    await stop.wait()
    longest = max(c.deadline_us for c in config.settings.classes) / 1e6
    await relay.stop(longest * 4, min(longest, _KILLED_S[0]) + _KILLED_S[1])


def _load_at_start() -> RelayConfig:
    return retry(
        "reading the settings",
        lambda: load(os.environ),
        _START_S,
        lambda error: isinstance(error, RelayConfigUnreadable),
    )


def main() -> int:
    """Run a node until it is told to stop; 2 where its settings can't be used or it can't listen."""
    early = _EarlySignals()
    set_up(json_lines=False, colours=False)
    try:
        config = _load_at_start()
        loop = retry("opening an event loop", asyncio.new_event_loop, _START_S)
        with asyncio.Runner(loop_factory=lambda: loop) as runner:
            runner.run(_run(config, early))
    except RelayConfigError as error:
        log.error("settings not usable", reason=str(error))
        return 2
    except OSError as error:
        log.error("can't serve", reason=str(error))
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
