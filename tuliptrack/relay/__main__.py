"""Runs one node on the platform: `python -m tuliptrack.relay`, configured by its environment.

`config.py` describes the settings. SIGHUP reloads the settings file and switches to the discovery agent that
the file names. SIGTERM or SIGINT stops the node gracefully: the node keeps serving until shortly before
SIGKILL may follow, since clients keep their connections, and then ends the open requests.
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys

import structlog

from tuliptrack.node.logs import set_up
from tuliptrack.relay.config import RelayConfig, RelayConfigError, RelayConfigUnreadableError, load
from tuliptrack.relay.node import RelayNode
from tuliptrack.rpc.loop_errors import log_loop_errors
from tuliptrack.rpc.polled_loop import new_event_loop
from tuliptrack.rpc.process_signals import STOP_SIGNALS, ProcessSignals
from tuliptrack.rpc.retry import retry

__all__ = ["main"]

log = structlog.get_logger("relay")
CONFIG_RETRY_S = 5.0
"""Time for which the start retries to read the settings and to open an event loop."""
MAX_DEADLINE_BEFORE_KILL_S = 3.0
KILL_MARGIN_S = 0.7
"""Margin added to the longest deadline: SIGKILL follows SIGTERM no sooner than after the sum. A deadline
above `MAX_DEADLINE_BEFORE_KILL_S` counts as that maximum."""
STOP_GRACE_DEADLINES = 4
"""Time that the requests still open when the server stops get to finish, as a multiple of the longest
deadline."""


async def _run(config: RelayConfig, signals: ProcessSignals) -> None:
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    log_loop_errors(loop)
    signals.attach(loop)
    for name in STOP_SIGNALS:
        signals.handle(name, stop.set)
    if stop.is_set():
        log.info("stopped before serving")
        return
    node = RelayNode(config)
    await node.start()
    signals.handle(signal.SIGHUP, node.reload)
    gc.freeze()
    await stop.wait()
    longest_s = max(request_class.deadline_us for request_class in config.settings.classes) / 1e6
    kill_after_s = min(longest_s, MAX_DEADLINE_BEFORE_KILL_S) + KILL_MARGIN_S
    await node.stop(longest_s * STOP_GRACE_DEADLINES, kill_after_s)
    signals.block()


def _load_at_start(signals: ProcessSignals) -> RelayConfig:
    return retry(
        "reading the settings",
        lambda: load(os.environ),
        CONFIG_RETRY_S,
        lambda error: (
            isinstance(error, RelayConfigUnreadableError) and not signals.has_pending(*STOP_SIGNALS)
        ),
    )


def main() -> int:
    """Run a node until SIGTERM; return 2 if its settings cannot be used or it cannot listen."""
    # Signals are recorded before anything else and handled once the node serves. Otherwise a SIGHUP during
    # the start would end the process, or be lost and leave the node polling the former discovery agent.
    signals = ProcessSignals(*STOP_SIGNALS, signal.SIGHUP)
    set_up(json_lines=False, colours=False)
    try:
        config = _load_at_start(signals)
        loop = retry("opening an event loop", new_event_loop, CONFIG_RETRY_S)
        with asyncio.Runner(loop_factory=lambda: loop) as runner:
            runner.run(_run(config, signals))
    except RelayConfigError as error:
        if signals.has_pending(*STOP_SIGNALS):
            log.info("stopped before serving")
            return 0
        log.error("settings not usable", reason=str(error))
        return 2
    except OSError as error:
        log.error("can't serve", reason=str(error))
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
