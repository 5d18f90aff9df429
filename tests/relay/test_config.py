"""Valid and invalid settings files of a node, and the system's limit on descriptors."""

from __future__ import annotations

import json
import resource
from contextlib import suppress
from pathlib import Path
from typing import Any
from unittest.mock import patch

import pytest
from hypothesis import given
from hypothesis import settings as examples
from json_values import any_json
from relay_harness import config
from relay_process import settings_text

from tuliptrack.relay.config import MIN_DESCRIPTORS, RelayConfigError, load, parse


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"listen": "nowhere"}, "listen"),
        ({"seed": "xyz"}, "seed"),
        ({"settings": {"classes": 3}}, "settings"),
        ({"limits": {"sockets": "many"}}, "limits.sockets"),
        ({"known": 7}, "known"),
    ],
)
def test_an_error_names_the_invalid_field(change: dict[str, Any], field: str) -> None:
    with pytest.raises(RelayConfigError, match=field):
        config([], "127.0.0.1:1", **change)


def test_too_few_descriptors_are_an_error_and_the_systems_limit_applies(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(settings_text("127.0.0.1:1", limits={"sockets": MIN_DESCRIPTORS - 1}))
    with pytest.raises(RelayConfigError, match=r"limits\.sockets"):
        load({"RELAY_CONFIG": str(path)})
    path.write_text(settings_text("127.0.0.1:1", limits={"sockets": MIN_DESCRIPTORS}))
    assert load({"RELAY_CONFIG": str(path)}).max_descriptors == MIN_DESCRIPTORS
    system_limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (200, system_limits[1]))
    try:
        path.write_text(settings_text("127.0.0.1:1", limits={"sockets": 4_096}))
        assert load({"RELAY_CONFIG": str(path)}).max_descriptors == 200
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, system_limits)


SETTING_PATHS = (
    ("listen",),
    ("discovery",),
    ("seed",),
    ("name",),
    ("known",),
    ("limits",),
    ("limits", "memory_mb"),
    ("limits", "sockets"),
    ("settings",),
    ("settings", "classes"),
    ("settings", "limits"),
    ("settings", "limits", "connIdle"),
    ("settings", "limits", "openCap"),
    ("settings", "limits", "maxRetryAfter"),
    ("settings", "obligations", "drainGrace"),
    ("settings", "reporting"),
    ("settings", "failureDomains"),
)


@pytest.mark.parametrize("path", SETTING_PATHS, ids=".".join)
@given(value=any_json)
@examples(max_examples=60, deadline=None, derandomize=True)
def test_any_value_in_the_settings_is_used_or_is_the_typed_error(path: tuple[str, ...], value: Any) -> None:
    """Guards against an error of another type, which would end a start with a traceback and a reload without a log line."""
    file: dict[str, Any] = json.loads(settings_text("127.0.0.1:1"))
    parent = file
    for name in path[:-1]:
        parent = parent.setdefault(name, {})
    parent[path[-1]] = value
    with patch("tuliptrack.relay.config.parse_json", return_value=file), suppress(RelayConfigError):
        parse(b"", {})
