"""The simulator's protocol: frames on standard input and output, translated to and from the interface.

`python -m tuliptrack.simulator_adapter` hosts any number of routers, each under its node number. The adapter
makes no decisions. Input that cannot be decoded ends the process with one line on standard error and exit
code 2, because a router that has handled half of a frame has a wrong view of the simulation.

The protocol's own field names appear here and nowhere else.
"""

from tuliptrack.simulator_adapter.actions import encode_reply
from tuliptrack.simulator_adapter.errors import WireError
from tuliptrack.simulator_adapter.events import Halt, Start, decode_batch
from tuliptrack.simulator_adapter.host import serve
from tuliptrack.simulator_adapter.settings import settings_from_json, settings_of

__all__ = [
    "Halt",
    "Start",
    "WireError",
    "decode_batch",
    "encode_reply",
    "serve",
    "settings_from_json",
    "settings_of",
]
