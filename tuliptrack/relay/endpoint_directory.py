"""The endpoint list that a node knows, built from full lists and deltas of one agent after another.

An unusable entry is left out and logged once. A message that is not a list is rejected, and the known list
stays in force. Lists older than the known one are ignored, unless they come from an agent that was not
followed before, whose revisions are independent of the former agent's.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, replace

import structlog

from tuliptrack.interface import EndpointListUpdate, EndpointState, UpdateKind
from tuliptrack.relay.endpoint_entries import (
    MAX_ENDPOINTS,
    EndpointEntry,
    EntryParser,
    InvalidEndpointListError,
    ListMessage,
    ReadingTime,
    entry_name,
    parse_message,
    parse_state,
)
from tuliptrack.rpc.clock import now_us, wall_us
from tuliptrack.sources.start_times import StartTimes

__all__ = ["EndpointDirectory"]

log = structlog.get_logger("discovery")
MAX_REMEMBERED_STATES = 2 * MAX_ENDPOINTS
"""Maximum number of endpoints whose last state is remembered: those listed, and as many removed ones."""
MAX_LOGGED_ENTRIES = MAX_ENDPOINTS
"""Maximum number of left-out entries that are logged, each once."""
MAX_LOGGED_NAME_CHARACTERS = 60
_VERSION_MASK = 0xFFFFFFFF
"""Mask for the router's list versions, which have 32 bits."""
_UNKNOWN_START: object = 0


@dataclass(frozen=True, slots=True)
class _LastState:
    """The last state that an agent has stated for an endpoint."""

    state: EndpointState
    started_at_ms: object
    """The start time that identifies the incarnation of the endpoint to which the state belongs."""


class EndpointDirectory:
    """The known endpoint list, as the router's types."""

    def __init__(self, kinds: tuple[str, ...], zones: tuple[str, ...]) -> None:
        self.revision = -1
        """Revision of the last list applied; -1 before the first one."""
        self.addresses: dict[int, str] = {}
        """host:port of each listed endpoint, by `endpoint_id`."""
        self.names: dict[int, str] = {}
        """Name of each listed endpoint, by `endpoint_id`."""
        self._entries: dict[str, EndpointEntry] = {}
        """Entries of the listed endpoints by name, so that an unchanged entry is not parsed again."""
        self._start_times = StartTimes()
        self._parser = EntryParser(kinds, zones, self._start_times)
        self._logged: set[str] = set()
        self._last_states: dict[int, _LastState] = {}
        """The last stated states by `endpoint_id`, ordered by when they were stated, the latest at the
        end."""

    def apply(
        self, message: object, *, is_cached: bool = False, is_new_agent: bool = False
    ) -> EndpointListUpdate | None:
        """Apply a full list or a delta.

        Args:
            message: The JSON of an agent's answer, or the list in the settings.
            is_cached: Whether the message is the list in the settings, which is full.
            is_new_agent: Whether the message is the first list of an agent that was not followed before. This
                list must be full, and is applied even if its revision is below the known one.

        Returns:
            The update for the router; None if the list is older than the known one.

        Raises:
            InvalidEndpointListError: The list cannot be used; nothing has changed.
        """
        received = parse_message(message)
        is_full = is_cached or received.is_full
        if is_new_agent and not is_full:
            raise InvalidEndpointListError("complete: must be true in the first list of a new agent")
        is_older = received.revision < self.revision
        if is_older and not is_new_agent:
            return None
        now = ReadingTime(now_us(), wall_us())
        entries = self._read_entries(received, now, is_older)
        self.revision = received.revision
        self._start_times.record_list(now.monotonic_us)
        if is_full:
            self._remove_absent(entries)
        for entry in entries.values():
            self._apply_entry(entry)
        full_kind = UpdateKind.CACHED if is_cached else UpdateKind.FULL
        endpoints = tuple(entry.endpoint for entry in entries.values())
        return EndpointListUpdate(
            full_kind if is_full else UpdateKind.DELTA, received.revision & _VERSION_MASK, endpoints
        )

    def _read_entries(
        self, received: ListMessage, now: ReadingTime, is_older: bool
    ) -> dict[int, EndpointEntry]:
        """Return the usable entries by `endpoint_id`."""
        entries: dict[int, EndpointEntry] = {}
        for index, received_entry in enumerate(received.entries):
            try:
                entry = self._read_entry(received_entry, index, now)
            except InvalidEndpointListError as error:
                self._log_left_out(received_entry, str(error))
                leaving = self._leaving_entry(received_entry)
                if leaving is None:
                    continue
                entry = leaving
            entries[entry.endpoint.id] = self._keep_last_state(entry) if is_older else entry
        return entries

    def _read_entry(self, received: object, index: int, now: ReadingTime) -> EndpointEntry:
        name = entry_name(received)
        known = self._entries.get(name) if name is not None else None
        if known and _is_equal(known.received, received):
            return known
        return self._parser.parse(received, f"members[{index}]", now)

    def _leaving_entry(self, received: object) -> EndpointEntry | None:
        """Return the known entry in its new state if an unusable entry says that the endpoint is leaving."""
        # If an engine drains and another field of its entry is unusable, leaving out that entry of a delta
        # would keep the engine ready, and requests would be sent to the engine after the drain grace. The
        # name and the state of the entry suffice to prevent that.
        state = parse_state(received)
        known = self._entries.get(entry_name(received) or "")
        if known is None or state in (None, EndpointState.READY):
            return None
        return replace(known, endpoint=replace(known.endpoint, state=state), received={})

    def _keep_last_state(self, entry: EndpointEntry) -> EndpointEntry:
        """Return an entry of an older list, with the last known state of the same incarnation."""
        # A new agent that lags behind the former one may list an endpoint as ready that has been draining or
        # removed since, and requests would be sent to that endpoint after the drain grace. A draining
        # endpoint does not become ready again before its next start, so the state known of the same start is
        # the later one. If the known state is wrong after all, the agent's next entry of the endpoint
        # replaces it.
        last = self._last_states.get(entry.endpoint.id)
        if last is None or last.state is EndpointState.READY or last.started_at_ms != entry.started_at_ms:
            return entry
        return replace(entry, endpoint=replace(entry.endpoint, state=last.state), received={})

    def _remove_absent(self, present: Container[int]) -> None:
        """Remove the endpoints that are not in a full list."""
        for endpoint_id in [known for known in self.addresses if known not in present]:
            last = self._last_states.get(endpoint_id)
            started_at_ms = last.started_at_ms if last else _UNKNOWN_START
            self._remember(endpoint_id, _LastState(EndpointState.REMOVED, started_at_ms))
            self._remove(endpoint_id)

    def _apply_entry(self, entry: EndpointEntry) -> None:
        endpoint = entry.endpoint
        self._remember(endpoint.id, _LastState(endpoint.state, entry.started_at_ms))
        if endpoint.state is EndpointState.REMOVED:
            self._remove(endpoint.id)
            return
        self.addresses[endpoint.id] = entry.address
        self.names[endpoint.id] = entry.name
        self._entries[entry.name] = entry

    def _remove(self, endpoint_id: int) -> None:
        self.addresses.pop(endpoint_id, None)
        self._entries.pop(self.names.pop(endpoint_id, ""), None)
        self._start_times.forget(endpoint_id)

    def _remember(self, endpoint_id: int, state: _LastState) -> None:
        self._last_states.pop(endpoint_id, None)
        self._last_states[endpoint_id] = state
        if len(self._last_states) > MAX_REMEMBERED_STATES:
            oldest = next(iter(self._last_states))
            del self._last_states[oldest]

    def _log_left_out(self, entry: object, reason: str) -> None:
        """Log an entry that is left out, once for each error and name."""
        field_and_reason = reason.partition(".")[2]
        name = entry_name(entry) or ""
        logged_key = field_and_reason + name[:MAX_LOGGED_NAME_CHARACTERS]
        if logged_key in self._logged or len(self._logged) >= MAX_LOGGED_ENTRIES:
            return
        self._logged.add(logged_key)
        log.warning("endpoint list entry left out", reason=reason)


def _is_equal(known: object, received: object) -> bool:
    try:
        return known == received
    except RecursionError:  # An entry nested too deeply to be compared is unusable too.
        return False
