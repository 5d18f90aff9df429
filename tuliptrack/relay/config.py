"""What the platform tells a node: its environment, and the file that `RELAY_CONFIG` names."""

from __future__ import annotations

import json
import resource
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from tuliptrack.interface import Settings
from tuliptrack.simulator_adapter import WireError, settings_of

__all__ = ["RelayConfig", "RelayConfigError", "RelayConfigUnreadable", "load", "parse"]

_LARGEST = 16_777_216  # bytes of the file
LEAST_SOCKETS = (
    48  # descriptors below which a node can't serve: what it needs itself and some for clients and engines
)


class RelayConfigError(Exception):
    """Settings that can't be used; the text names the field."""


class RelayConfigUnreadable(RelayConfigError):
    """A file that can't be read, or holds no whole JSON: it may be just being written, or its folder may fail
    for a while.
    """


@dataclass(frozen=True, slots=True)
class RelayConfig:
    """One node's settings. Times in microseconds."""

    name: str
    listen: str
    """host:port to listen on, and no other."""
    discovery: str
    """host:port of the agent that tells the list."""
    seed: int
    memory_bytes: int
    sockets: int
    """Descriptors that the process may hold: what the settings say, or the system where that is less."""
    known: Mapping[str, Any]
    """The list as this node had it last, in discovery's form; it may be old."""
    settings: Settings
    kinds: tuple[str, ...]
    """Names of the kinds of engines, by number."""
    zones: tuple[str, ...]
    """Names of the zones, by number."""
    report_names: tuple[str, ...]
    """What a load report calls its values, in the settings' order."""
    idle: int
    """After so long an engine closes a connection that stands idle; 0: not told."""
    open_requests: int


def load(environ: Mapping[str, str]) -> RelayConfig:
    """The settings that the environment points to; RelayConfigError where they can't be used."""
    path = environ.get("RELAY_CONFIG", "")
    if not path:
        raise RelayConfigError("RELAY_CONFIG: is not set")
    try:
        with Path(path).open("rb") as file:
            text = file.read(_LARGEST + 1)
    except OSError as error:
        raise RelayConfigUnreadable(f"RELAY_CONFIG: {path}: {error.strerror or error}") from None
    if len(text) > _LARGEST:
        raise RelayConfigError(f"RELAY_CONFIG: {path}: more than {_LARGEST} bytes")
    config = parse(text, environ)
    system, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    sockets = config.sockets if system == resource.RLIM_INFINITY else min(config.sockets, system)
    if sockets < LEAST_SOCKETS:
        raise RelayConfigError(
            f"limits.sockets: must be {LEAST_SOCKETS} at least, is {config.sockets}, and the system allows {system}"
        )
    return replace(config, sockets=sockets)


def parse(text: bytes, environ: Mapping[str, str]) -> RelayConfig:
    """The file's settings; the environment stands in for what it leaves out."""
    try:
        told = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise RelayConfigUnreadable(f"not JSON ({error})"[:200]) from None
    if not isinstance(told, dict):
        raise RelayConfigError("not a JSON object")
    limits = _object(told, "limits")
    raw = _object(told, "settings", True)
    try:
        settings = settings_of(raw)
    except WireError as error:
        raise RelayConfigError(str(error)) from None
    reporting, own = _object(raw, "reporting"), _object(raw, "limits")
    return RelayConfig(
        name=str(told.get("name") or environ.get("RELAY_NAME") or "node"),
        listen=_address(told.get("listen") or environ.get("RELAY_LISTEN"), "listen"),
        discovery=_address(told.get("discovery") or environ.get("RELAY_DISCOVERY"), "discovery"),
        seed=_seed(told.get("seed", "0")),
        memory_bytes=int(_number(limits, "limits.memory_mb", 192) * 1_048_576),
        sockets=int(_number(limits, "limits.sockets", 1_024)),
        known=_object(told, "known"),
        settings=settings,
        kinds=_names(raw, "hostTypes"),
        zones=_names(raw, "failureDomains"),
        report_names=_names(reporting, "fields") if reporting.get("how") != "silent" else (),
        idle=int(own.get("connIdle") or 0),
        open_requests=int(own.get("openCap") or 20_000),
    )


def _object(of: Mapping[str, Any], name: str, needed: bool = False) -> dict[str, Any]:
    found = of.get(name)
    if found is None and not needed:
        return {}
    if not isinstance(found, dict):
        raise RelayConfigError(f"{name}: must be an object")
    return found


def _number(of: Mapping[str, Any], name: str, default: float) -> float:
    found = of.get(name.rpartition(".")[2], default)
    if isinstance(found, bool) or not isinstance(found, int | float) or not found > 0:
        raise RelayConfigError(f"{name}: must be a number above 0, is {found!r}"[:200])
    return found


def _names(of: Mapping[str, Any], name: str) -> tuple[str, ...]:
    found = of.get(name) or []
    if not isinstance(found, list) or not all(isinstance(one, str) for one in found):
        raise RelayConfigError(f"{name}: must be a list of names")
    return tuple(found)


def _seed(found: object) -> int:
    try:
        return int(str(found), 16)
    except ValueError:
        raise RelayConfigError(f"seed: must be a hexadecimal number, is {found!r}"[:200]) from None


def _address(found: object, name: str) -> str:
    host, _, port = str(found or "").rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) <= 65_535:
        raise RelayConfigError(f"{name}: must be host:port, is {found!r}"[:200])
    return str(found)
