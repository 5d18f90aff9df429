"""The settings of one node: the JSON file that `RELAY_CONFIG` names, and the environment for missing fields.

Only this module knows the names of the file's fields. Error messages name the wrong field.
"""

from __future__ import annotations

import resource
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from tuliptrack.interface import Settings
from tuliptrack.rpc.json_text import InvalidJsonError, is_number_within, parse_json
from tuliptrack.simulator_adapter import WireError, settings_of

__all__ = ["RelayConfig", "RelayConfigError", "RelayConfigUnreadableError", "load", "parse"]

MAX_FILE_BYTES = 16_777_216
MIN_DESCRIPTORS = 48
"""Minimum number of file descriptors with which a node can serve: its own, and some for clients and
engines."""
DEFAULT_DESCRIPTORS = 1_024
DEFAULT_MEMORY_MIB = 192
DEFAULT_MAX_OPEN_REQUESTS = 20_000
BYTES_PER_MIB = 1_048_576
MAX_NUMBER = 2**53
"""Limit of every number in the file: up to 2**53 a float holds each integer exactly."""
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
MAX_QUOTED_CHARACTERS = 120
"""Maximum number of characters of a wrong value that an error message quotes."""
MAX_ERROR_CHARACTERS = 200
"""Maximum length of a JSON error's text, since it may quote a long value."""


class RelayConfigError(Exception):
    """The settings cannot be used; the message names the field."""


class RelayConfigUnreadableError(RelayConfigError):
    """The file cannot be read, or is not complete JSON.

    The file may be in the middle of being written, or its folder may be unavailable for a while: a retry may
    help.
    """


@dataclass(frozen=True, slots=True)
class RelayConfig:
    """One node's settings."""

    name: str
    listen: str
    """host:port to listen on."""
    discovery_address: str
    """host:port of the agent that serves the endpoint list."""
    seed: int
    """Seed of the router's random choices; 0: a random seed."""
    memory_bytes: int
    max_descriptors: int
    """File descriptors that the process may use: the lower of the limit in the settings and the system's
    limit."""
    cached_list: Mapping[str, Any]
    """The last endpoint list that this node had, in the agent's format; it may be out of date."""
    settings: Settings
    kinds: tuple[str, ...]
    """Names of the kinds of engines; the index of a name is the number of its kind."""
    zones: tuple[str, ...]
    """Names of the zones; the index of a name is the number of its zone."""
    report_names: tuple[str, ...]
    """Names of a load report's values, in the order of the settings; empty if engines send no reports."""
    engine_idle_timeout_us: int
    """Time after which an engine closes an idle connection; 0: unknown."""
    max_open_requests: int


def load(environ: Mapping[str, str]) -> RelayConfig:
    """Load the settings from the file that the environment names.

    Raises:
        RelayConfigUnreadableError: The file cannot be read now.
        RelayConfigError: The settings cannot be used.
    """
    path = environ.get("RELAY_CONFIG", "")
    if not path:
        raise RelayConfigError("RELAY_CONFIG: is not set")
    try:
        with Path(path).open("rb") as file:
            text = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise RelayConfigUnreadableError(f"RELAY_CONFIG: {path}: {error.strerror or error}") from None
    if len(text) > MAX_FILE_BYTES:
        raise RelayConfigError(f"RELAY_CONFIG: {path}: more than {MAX_FILE_BYTES} bytes")
    config = parse(text, environ)
    system_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    is_unlimited = system_limit == resource.RLIM_INFINITY
    max_descriptors = config.max_descriptors if is_unlimited else min(config.max_descriptors, system_limit)
    if max_descriptors < MIN_DESCRIPTORS:
        raise RelayConfigError(
            f"limits.sockets: must be {MIN_DESCRIPTORS} at least, is {config.max_descriptors}, "
            f"and the system allows {system_limit}"
        )
    return replace(config, max_descriptors=max_descriptors)


def parse(text: bytes, environ: Mapping[str, str]) -> RelayConfig:
    """Parse the text of the file; the environment supplies fields that it omits.

    Raises:
        RelayConfigUnreadableError: The text is not JSON.
        RelayConfigError: The settings cannot be used.
    """
    try:
        file = parse_json(text)
    except InvalidJsonError as error:
        raise RelayConfigUnreadableError(f"not JSON ({error})"[:MAX_ERROR_CHARACTERS]) from None
    if not isinstance(file, dict):
        raise RelayConfigError("not a JSON object")
    process_limits = _object(file, "limits")
    policy = _object(file, "settings", is_required=True)
    try:
        settings = settings_of(policy)
    except WireError as error:
        raise RelayConfigError(str(error)) from None
    reporting, policy_limits = _object(policy, "reporting"), _object(policy, "limits")
    return RelayConfig(
        name=_text(file.get("name") or environ.get("RELAY_NAME") or "node", "name"),
        listen=_address(file.get("listen") or environ.get("RELAY_LISTEN"), "listen"),
        discovery_address=_address(file.get("discovery") or environ.get("RELAY_DISCOVERY"), "discovery"),
        seed=_seed(file.get("seed", "0")),
        memory_bytes=int(_number(process_limits, "limits.memory_mb", DEFAULT_MEMORY_MIB) * BYTES_PER_MIB),
        max_descriptors=int(_number(process_limits, "limits.sockets", DEFAULT_DESCRIPTORS)),
        cached_list=_object(file, "known"),
        settings=settings,
        kinds=_names(policy, "hostTypes"),
        zones=_names(policy, "failureDomains"),
        report_names=_names(reporting, "fields") if reporting.get("how") != "silent" else (),
        engine_idle_timeout_us=int(_optional_number(policy_limits, "settings.limits.connIdle", 0)),
        max_open_requests=int(
            _optional_number(policy_limits, "settings.limits.openCap", DEFAULT_MAX_OPEN_REQUESTS)
        ),
    )


def _object(parent: Mapping[str, Any], name: str, is_required: bool = False) -> dict[str, Any]:
    value = parent.get(name)
    if value is None and not is_required:
        return {}
    if not isinstance(value, dict):
        raise RelayConfigError(f"{name}: must be an object")
    return value


def _number(parent: Mapping[str, Any], name: str, default: float) -> float:
    value = parent.get(name.rpartition(".")[2], default)
    if not is_number_within(value, 0, MAX_NUMBER) or not value:
        raise RelayConfigError(f"{name}: must be a number above 0, is {_quote(value)}")
    number: float = value
    return number


def _optional_number(parent: Mapping[str, Any], name: str, default: float) -> float:
    """Return a number above 0; the default if the field is missing or 0."""
    return _number(parent, name, default) if parent.get(name.rpartition(".")[2]) else default


def _names(parent: Mapping[str, Any], name: str) -> tuple[str, ...]:
    value = parent.get(name) or []
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise RelayConfigError(f"{name}: must be a list of names")
    return tuple(value)


def _text(value: object, name: str) -> str:
    if not isinstance(value, str):
        raise RelayConfigError(f"{name}: must be a string, is {_quote(value)}")
    return value


def _seed(value: object) -> int:
    try:
        return int(str(value), 16)
    except (ValueError, RecursionError):
        raise RelayConfigError(f"seed: must be a hexadecimal number, is {_quote(value)}") from None


def _address(value: object, name: str) -> str:
    address = value if isinstance(value, str) else ""
    host, _, port = address.rpartition(":")
    is_port = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not host or not is_port or int(port) > MAX_PORT:
        raise RelayConfigError(f"{name}: must be host:port, is {_quote(value)}")
    return address


def _quote(value: object) -> str:
    """Return the beginning of a value's text, for an error message."""
    try:
        return repr(value)[:MAX_QUOTED_CHARACTERS]
    except (ValueError, RecursionError):  # The value has too many digits, or is nested too deeply.
        return f"a {type(value).__name__}"
