"""The relay imports none of the front ends, stores and tools that are not used on the platform."""

from __future__ import annotations

import subprocess
import sys

UNUSED_MODULES = (
    "matplotlib",
    "grpc",
    "xds",
    "lmdb",
    "h2",
    "google",
    "click",
    "tuliptrack.store",
    "tuliptrack.lab",
    "tuliptrack.cli",
    "tuliptrack.proto",
    "tuliptrack.fleet",
    "tuliptrack.decisions.rollout",
    "tuliptrack.decisions.consensus",
)


def test_the_relay_imports_no_unused_module() -> None:
    code = "import sys, tuliptrack.relay.__main__; print('\\n'.join(sys.modules))"
    process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    loaded = set(process.stdout.split())
    assert "tuliptrack.relay.engine_client" in loaded
    assert not [
        name
        for name in loaded
        if any(name == module or name.startswith(module + ".") for module in UNUSED_MODULES)
    ]
