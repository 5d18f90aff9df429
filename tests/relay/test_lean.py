"""What `run` loads: nothing of the fronts, stores and tools that are off on the platform."""

from __future__ import annotations

import subprocess
import sys

OFF = (
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


def test_the_node_on_the_platform_loads_nothing_that_is_off_there() -> None:
    code = "import sys, tuliptrack.relay.__main__; print('\\n'.join(sys.modules))"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    loaded = set(done.stdout.split())
    assert "tuliptrack.relay.engine_client" in loaded
    assert not [name for name in loaded if any(name == off or name.startswith(off + ".") for off in OFF)]
