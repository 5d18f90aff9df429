"""Parses the platform's endpoint lists: from the JSON of an answer to typed values.

Only this module knows the JSON field names of the platform's endpoint lists. A message that is not a list
raises `InvalidEndpointListError`, and so does a single unusable entry; the error names the position of the
entry and the field. Start times arrive as Unix milliseconds and are converted to monotonic microseconds.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from tuliptrack.interface import EndpointInfo, EndpointState
from tuliptrack.node.request_reader import key
from tuliptrack.rpc.json_text import is_number_within
from tuliptrack.sources.start_times import StartTimes

__all__ = [
    "MAX_ENDPOINTS",
    "EndpointEntry",
    "EntryParser",
    "InvalidEndpointListError",
    "ListMessage",
    "ReadingTime",
    "entry_name",
    "parse_message",
    "parse_state",
]

MAX_ENDPOINTS = 10_000
"""Maximum number of entries of one list. This bounds memory and time, and is more than any fleet of the
platform has."""
MAX_PORT = 65_535
MAX_WEIGHT = 1e9
MAX_CELL = 2**53
MAX_STARTED_AT_MS = 2**53
MAX_QUOTED_CHARACTERS = 40
"""Maximum number of characters of a wrong value that an error message quotes."""
MAX_QUOTED_ADDRESS_CHARACTERS = 80
US_PER_MS = 1_000
_ADDRESS = re.compile(r"[\x21-\x7e]+:[0-9]{1,5}")
"""Pattern of an address: printable ASCII only, as the address goes into the `Host` field of requests."""

_STATES = {
    "Ready": EndpointState.READY,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.REMOVED,
}


class InvalidEndpointListError(Exception):
    """A list or an entry cannot be used; the message names the position and the field."""


@dataclass(frozen=True, slots=True)
class ListMessage:
    """One answer of the agent, checked as a whole; its entries are not parsed yet."""

    revision: int
    is_full: bool
    """Whether the answer lists every endpoint, not only those that changed."""
    entries: list[Any]


@dataclass(frozen=True, slots=True)
class ReadingTime:
    """The time at which a list is parsed, on both clocks."""

    monotonic_us: int
    wall_us: int
    """Wall time in microseconds since the Unix epoch."""


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One entry of a list: its JSON and the values parsed from it."""

    received: Mapping[str, Any]
    """The entry's JSON, kept so that an equal entry is not parsed again; empty if `endpoint` differs from
    it."""
    endpoint: EndpointInfo
    address: str
    """host:port of the endpoint."""
    name: str
    started_at_ms: object
    """Start time as stated by the agent, unconverted: it identifies an incarnation of the endpoint."""


def parse_message(message: object) -> ListMessage:
    """Check an answer as a whole.

    Raises:
        InvalidEndpointListError: The answer is not an endpoint list.
    """
    if not isinstance(message, dict) or not isinstance(message.get("members", []), list):
        raise InvalidEndpointListError("must be an object with members")
    revision = message.get("revision", 0)
    if not isinstance(revision, int) or isinstance(revision, bool) or revision < 0:
        raise InvalidEndpointListError(f"revision: must be a whole number, is {_quote(revision)}")
    entries = message.get("members", [])
    if len(entries) > MAX_ENDPOINTS:
        raise InvalidEndpointListError(f"members: {len(entries)} entries, {MAX_ENDPOINTS} at most")
    return ListMessage(revision, message.get("complete") is True, entries)


def entry_name(entry: object) -> str | None:
    """Return the endpoint's name in an entry; None if there is none."""
    name = entry.get("id") if isinstance(entry, dict) else None
    return name if isinstance(name, str) else None


def parse_state(entry: object) -> EndpointState | None:
    """Return the endpoint's state in an entry; None if it is missing or unknown."""
    return _STATES.get(_text(entry, "phase")) if isinstance(entry, dict) else None


class EntryParser:
    """Parses entries. Kinds and zones are numbered by their order in the settings."""

    def __init__(self, kinds: tuple[str, ...], zones: tuple[str, ...], start_times: StartTimes) -> None:
        self._kinds = {name: number for number, name in enumerate(kinds)}
        self._zones = {name: number for number, name in enumerate(zones)}
        self._start_times = start_times

    def parse(self, entry: object, path: str, now: ReadingTime) -> EndpointEntry:
        """Parse one entry; `path` is its position in the list, for error messages.

        Raises:
            InvalidEndpointListError: The entry cannot be used.
        """
        if not isinstance(entry, dict):
            raise InvalidEndpointListError(f"{path}: must be an object")
        name = entry_name(entry)
        if not name:
            raise InvalidEndpointListError(f"{path}.id: is required")
        try:
            endpoint_id = key(name)
        except UnicodeEncodeError:
            raise InvalidEndpointListError(f"{path}.id: {_quote(name)} has a lone surrogate") from None
        state = parse_state(entry)
        if state is None:
            raise InvalidEndpointListError(f"{path}.phase: {_quote(entry.get('phase'))} is unknown")
        # A delta may contain only the name and the phase of an endpoint that has been removed.
        is_removed = state is EndpointState.REMOVED
        kind = self._parse_kind(entry, path, is_removed)
        address = _parse_address(entry, path, is_removed)
        weight = _parse_number(entry, "size", path, default=1.0, maximum=MAX_WEIGHT)
        started_at_ms = _parse_number(entry, "up_since_ms", path, default=0, maximum=MAX_STARTED_AT_MS)
        cell = _parse_number(entry, "cell", path, default=0, maximum=MAX_CELL)
        zone = self._parse_zone(entry, path, is_removed)
        started_at_us = self._start_times.to_monotonic_us(
            endpoint_id, int(started_at_ms * US_PER_MS), now.monotonic_us, now.wall_us
        )
        endpoint = EndpointInfo(
            endpoint_id, kind, state, float(weight) or 1.0, int(cell), zone, started_at_us
        )
        return EndpointEntry(entry, endpoint, address, name, entry.get("up_since_ms", 0))

    def _parse_kind(self, entry: Mapping[str, Any], path: str, is_removed: bool) -> int:
        kind = self._kinds.get(_text(entry, "flavor"))
        if kind is None and not is_removed:
            raise InvalidEndpointListError(
                f"{path}.flavor: {_quote(entry.get('flavor'))} is not among the settings' kinds"
            )
        return kind or 0

    def _parse_zone(self, entry: Mapping[str, Any], path: str, is_removed: bool) -> int:
        default = None if self._zones else 0
        zone = self._zones.get(_text(entry, "locality"), default)
        if zone is None and not is_removed:
            raise InvalidEndpointListError(
                f"{path}.locality: {_quote(entry.get('locality'))} is not among the settings' zones"
            )
        return zone or 0


def _parse_address(entry: Mapping[str, Any], path: str, is_removed: bool) -> str:
    address = _text(entry, "host_port")
    if is_removed:
        return address
    port = address.rpartition(":")[2]
    if not _ADDRESS.fullmatch(address) or not 0 < int(port) <= MAX_PORT:
        quoted = repr(address[:MAX_QUOTED_ADDRESS_CHARACTERS])
        raise InvalidEndpointListError(f"{path}.host_port: must be host:port, is {quoted}")
    return address


def _parse_number(entry: Mapping[str, Any], name: str, path: str, *, default: float, maximum: float) -> float:
    value = entry.get(name, default)
    if not is_number_within(value, 0, maximum):
        raise InvalidEndpointListError(
            f"{path}.{name}: must be a number from 0 to {maximum:.0f}, is {_quote(value)}"
        )
    number: float = value
    return number


def _text(entry: Mapping[str, Any], name: str) -> str:
    """Return a field that is a string or a number as a string; an empty string otherwise."""
    value = entry.get(name, "")
    is_printable = isinstance(value, str) or is_number_within(value, 0, MAX_CELL)
    return str(value) if is_printable else ""


def _quote(value: object) -> str:
    """Return the beginning of a value's text, for an error message."""
    # A deeply nested value, or a number with thousands of digits, cannot be converted to text. If the error
    # escaped, the whole list would be rejected because of one entry.
    try:
        return repr(str(value)[:MAX_QUOTED_CHARACTERS])
    except (ValueError, RecursionError):
        return f"a {type(value).__name__}"
