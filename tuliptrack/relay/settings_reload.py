"""Reloads the settings file while the node runs, and retries if the file cannot be read at once."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable

import structlog

from tuliptrack.relay.config import RelayConfig, RelayConfigError, RelayConfigUnreadableError, load

__all__ = ["SettingsReload"]

log = structlog.get_logger("relay")
RETRY_FOR_S = 10.0
RETRY_PAUSE_S = 0.1


class SettingsReload:
    """Reloads the settings at each `start`; after `close` it does nothing."""

    def __init__(self, apply: Callable[[RelayConfig], None]) -> None:
        self._apply = apply
        self._retry: asyncio.TimerHandle | None = None
        self._is_closed = False

    def start(self) -> None:
        """Read the file; retry for up to `RETRY_FOR_S` if it cannot be read."""
        if self._is_closed:
            return
        self._cancel_retry()
        self._read(asyncio.get_running_loop().time() + RETRY_FOR_S, is_retry=False)

    def close(self) -> None:
        """Cancel a pending retry, and ignore further calls of `start`."""
        self._is_closed = True
        self._cancel_retry()

    def _cancel_retry(self) -> None:
        if self._retry:
            self._retry.cancel()
            self._retry = None

    def _read(self, retry_until_s: float, is_retry: bool) -> None:
        self._retry = None
        try:
            config = load(os.environ)
        except RelayConfigError as error:
            self._handle_error(error, retry_until_s, is_retry)
            return
        log.info("settings reloaded", discovery=config.discovery_address)
        self._apply(config)

    def _handle_error(self, error: RelayConfigError, retry_until_s: float, is_retry: bool) -> None:
        # The file may be read in the middle of being written. Without a retry, a new discovery address would
        # never be used. The file is complete soon; one that stays unreadable is logged at the first failure
        # and at the last.
        loop = asyncio.get_running_loop()
        may_retry = isinstance(error, RelayConfigUnreadableError) and loop.time() < retry_until_s
        if not (is_retry and may_retry):
            log.error("settings not reloaded", reason=str(error), is_retried=may_retry)
        if may_retry:
            self._retry = loop.call_later(RETRY_PAUSE_S, self._read, retry_until_s, True)
