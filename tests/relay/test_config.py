"""Settings files of a node, good and bad, and the limits of the system."""

from __future__ import annotations

import resource
from pathlib import Path
from typing import Any

import pytest
from relay_node import told
from relay_world import config

from tuliptrack.relay.config import MIN_DESCRIPTORS, RelayConfigError, load


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


def test_too_few_descriptors_are_an_error_and_the_systems_limit_counts(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(told("127.0.0.1:1", limits={"sockets": MIN_DESCRIPTORS - 1}))
    with pytest.raises(RelayConfigError, match=r"limits\.sockets"):
        load({"RELAY_CONFIG": str(path)})
    path.write_text(told("127.0.0.1:1", limits={"sockets": MIN_DESCRIPTORS}))
    assert load({"RELAY_CONFIG": str(path)}).max_descriptors == MIN_DESCRIPTORS
    system_limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (200, system_limits[1]))
    try:
        path.write_text(told("127.0.0.1:1", limits={"sockets": 4_096}))
        assert load({"RELAY_CONFIG": str(path)}).max_descriptors == 200
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, system_limits)
