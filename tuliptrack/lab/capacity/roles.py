"""The load of each role of a fleet, in an ordinary second, at the peak and in the worst hour, compared with
its budget.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from tuliptrack.lab.capacity.results import Results
from tuliptrack.lab.capacity.target import TARGET, Target

__all__ = ["MISSING", "ROWS", "Row"]

ORDINARY = 0.5  # load of an ordinary second as a share of the peak: assumed, as no figure is known
ATTEMPTS = 2.03  # mean attempts of a request: prefill, decode, and occasionally one more
IDLE_S = 13.0  # seconds that a node keeps an idle connection to an engine
LOOP_BLOCKED_MS = 10.0  # milliseconds for which one event may block a node's event loop
ENGINE_CONNECTIONS_SHARE = 0.4  # share of 1,024 descriptors that a node may use for connections to engines
MISSING = "*missing*"

Value = Callable[[Results, Target], float]


@dataclass(frozen=True, slots=True)
class Row:
    """A row of a role's table. `worst` is the value in the worst hour, whose cause `worst_case` names; the ratio
    is the greatest of the three values divided by the budget.
    """

    role: str
    quantity: str
    unit: str
    basis: str
    """Name of the series that the values are computed from, or the method."""
    ordinary: Value
    peak: Value
    worst: Value
    worst_case: str
    budget: float | None
    mechanism: str

    def values(self, results: Results, target: Target = TARGET) -> tuple[float, float, float]:
        """Return the values in an ordinary second, at the peak and in the worst hour."""
        return self.ordinary(results, target), self.peak(results, target), self.worst(results, target)

    def ratio(self, results: Results, target: Target = TARGET) -> float | None:
        """Return the greatest value divided by the budget; None without a budget."""
        return max(self.values(results, target)) / self.budget if self.budget else None


def _ms(results: Results, name: str, size: float) -> float:
    """Convert the value of a series from yardsticks to milliseconds of the measured machine."""
    return results.at(name, size) * results.yardstick_us / 1e3


def _decisions(share: float) -> Value:
    return lambda r, t: share * t.node_requests_per_s * _ms(r, "decision.request", t.engines)


def _series_ms(name: str) -> Value:
    return lambda r, t: _ms(r, name, t.engines)


def _changes(per_s: Callable[[Target], float]) -> Value:
    return lambda r, t: per_s(t) * _ms(r, "change.one", t.engines)


def _attempts(t: Target) -> float:
    return t.node_requests_per_s * ATTEMPTS


def _open_connections(share: float) -> Value:
    """Connections of running streams, and idle ones: each attempt that opens one keeps it for `IDLE_S` after."""
    return lambda r, t: (
        share * (t.node_streams + _attempts(t) * IDLE_S * r.at("connection.new_share", t.engines))
    )


def _watch_bytes(r: Results, t: Target) -> float:
    return r.at("watch.bytes_per_s", 1)


def _watch_ms(r: Results, t: Target) -> float:
    return 1e3 * r.at("watch.core_share", 1)


def _control_ms(r: Results, t: Target, share: float, changes_per_s: float) -> float:
    """Processor milliseconds per second of a node's decisions, polls and list changes together."""
    return _decisions(share)(r, t) + _watch_ms(r, t) + changes_per_s * _ms(r, "change.one", t.engines)


def _const(value: float) -> Value:
    return lambda r, t: value


ROWS = (
    Row(
        "node",
        "processor: decisions",
        "ms/s",
        "decision.request",
        _decisions(ORDINARY),
        _decisions(1.0),
        _decisions(8 / 7),
        "a zone's nodes lost",
        32.0,
        "`brain.py` on the indexes of `state/`, `structures/`",
    ),
    Row(
        "node",
        "processor: one event, 99th percentile",
        "ms",
        "decision.p99",
        _series_ms("decision.p99"),
        _series_ms("decision.p99"),
        _series_ms("decision.p99"),
        "any",
        LOOP_BLOCKED_MS,
        "`brain.py` on the indexes of `state/`, `structures/`",
    ),
    Row(
        "node",
        "processor: watches that bring nothing",
        "ms/s",
        "watch.core_share",
        _watch_ms,
        _watch_ms,
        _watch_ms,
        "any",
        32.0,
        "`relay/agent_polls.py`: a call for each quarter of the drain grace",
    ),
    Row(
        "node",
        "processor: decisions, watches and list changes together",
        "ms/s",
        "the three",
        lambda r, t: _control_ms(r, t, ORDINARY, t.list_changes_per_s),
        lambda r, t: _control_ms(r, t, 1.0, 10 * t.list_changes_per_s),
        lambda r, t: _control_ms(r, t, 8 / 7, t.prefill_engines / 2 / 60),
        "half of the readers in a minute, a zone's nodes lost",
        32.0,
        "the three",
    ),
    Row(
        "node",
        "processor: list changes",
        "ms/s",
        "change.one",
        _changes(lambda t: t.list_changes_per_s),
        _changes(lambda t: 10 * t.list_changes_per_s),
        _changes(lambda t: t.prefill_engines / 2 / 60),
        "half of the readers in a minute",
        32.0,
        "`relay/agent_polls.py`, `Fleet.apply`",
    ),
    Row(
        "node",
        "processor: a zone gone in one change",
        "ms",
        "zone.at_once",
        _const(0.0),
        _const(0.0),
        _series_ms("zone.at_once"),
        "a zone lost",
        LOOP_BLOCKED_MS,
        "`EndpointDirectory.apply`, `Fleet.apply`: not in slices",
    ),
    Row(
        "node",
        "processor: a zone gone one by one",
        "ms",
        "zone.one_by_one",
        _const(0.0),
        _const(0.0),
        _series_ms("zone.one_by_one"),
        "a zone lost",
        32.0 * 9,
        "`EndpointDirectory.apply`, `Fleet.apply`; each change by itself",
    ),
    Row(
        "node",
        "processor: a first whole list",
        "ms",
        "list.first",
        _const(0.0),
        _const(0.0),
        _series_ms("list.first"),
        "all nodes restarted",
        LOOP_BLOCKED_MS,
        "`EndpointDirectory.apply`, `Fleet.apply`: not in slices",
    ),
    Row(
        "node",
        "processor: a whole list equal to the one held",
        "ms",
        "list.equal",
        _const(0.0),
        _const(0.0),
        _series_ms("list.equal"),
        "a new agent, a region back",
        LOOP_BLOCKED_MS,
        "`EndpointDirectory.apply`, `Fleet.apply`: equal entries are passed over, the text is parsed",
    ),
    Row(
        "node",
        "bytes: watches that bring nothing",
        "B/s",
        "watch.bytes_per_s",
        _watch_bytes,
        _watch_bytes,
        _watch_bytes,
        "any",
        20_000.0,
        "`relay/agent_polls.py`: a call for each quarter of the drain grace",
    ),
    Row(
        "node",
        "bytes: list changes",
        "B/s",
        "change.bytes",
        lambda r, t: t.list_changes_per_s * r.at("change.bytes", t.engines),
        lambda r, t: 10 * t.list_changes_per_s * r.at("change.bytes", t.engines),
        lambda r, t: t.prefill_engines / 60 * r.at("change.bytes", t.engines),
        "half of the readers in a minute",
        20_000.0,
        "`relay/agent_polls.py`",
    ),
    Row(
        "node",
        "bytes: a whole list, in the 9 s that a change may take",
        "B",
        "list.bytes",
        _const(0.0),
        _const(0.0),
        lambda r, t: r.at("list.bytes", t.engines),
        "all nodes restarted, a region back",
        9 * 20_000.0,
        "every field of every engine as text: " + MISSING + " a list in parts, or compressed",
    ),
    Row(
        "node",
        "memory: the process with its list",
        "MB",
        "process.memory",
        lambda r, t: r.at("process.memory", t.engines) / 1e6,
        lambda r, t: (r.at("process.memory", t.engines) + r.at("memory.by_streams", 140)) / 1e6,
        lambda r, t: (
            (
                r.at("process.memory", t.engines)
                + r.at("memory.by_streams", 140)
                + r.at("memory.listed", t.engines)
            )
            / 1e6
        ),
        "a second list beside the first",
        256.0,
        "bounds of `state/`, `node/requests.py`",
    ),
    Row(
        "node",
        "connections to engines that are open",
        "",
        "connection.new_share",
        _open_connections(ORDINARY),
        _open_connections(1.0),
        _open_connections(8 / 7),
        "a zone's nodes lost",
        1_024 * ENGINE_CONNECTIONS_SHARE,
        "`relay/engine_pools.py`: kept by engine, bounded in all",
    ),
    Row(
        "node",
        "attempts on a new connection, of all",
        "%",
        "connection.new_share",
        lambda r, t: 100 * r.at("connection.new_share", t.engines),
        lambda r, t: 100 * r.at("connection.new_share", t.engines),
        lambda r, t: 100.0,
        "after an hour without traffic",
        None,
        "none: a subset of engines for each node would keep them",
    ),
    Row(
        "node",
        "time between two attempts at one engine",
        "s",
        "arithmetic",
        lambda r, t: t.engines / _attempts(t) / ORDINARY,
        lambda r, t: t.engines / _attempts(t),
        lambda r, t: t.engines / _attempts(t) / ORDINARY,
        "any",
        2.0,
        "what a report tells fades in 2 s: " + MISSING + " evidence that nodes share, or a subset for each",
    ),
    Row(
        "node",
        "requests that one tenant may save up, all nodes",
        "",
        "arithmetic",
        lambda r, t: 4.0 * t.nodes,
        lambda r, t: 4.0 * t.nodes,
        lambda r, t: 4.0 * t.nodes,
        "any",
        2 * 1.3 * TARGET.requests_per_s / TARGET.tenants,
        "`_over_share`, cut by the number of nodes: " + MISSING + " a quota that nodes share",
    ),
    Row(
        "node",
        "time till a change of configuration is in force everywhere",
        "s",
        "arithmetic",
        _const(60.0),
        _const(60.0),
        _const(3_600.0),
        "regions apart",
        9.0,
        MISSING + ": a file and SIGHUP, or staged restarts of a minute a stage",
    ),
    Row(
        "agent",
        "processor",
        "ms/s",
        "agent.core_share",
        lambda r, t: 1e3 * r.at("agent.core_share", 1),
        lambda r, t: 1e3 * r.at("agent.core_share", 1),
        lambda r, t: 1e3 * r.at("agent.core_share", 1),
        "any",
        32.0,
        "`fleet/agent.py`",
    ),
    Row(
        "agent",
        "memory",
        "MB",
        "agent.memory",
        lambda r, t: r.at("agent.memory", 1) / 1e6,
        lambda r, t: r.at("agent.memory", 1) / 1e6,
        lambda r, t: r.at("agent.memory", 1) / 1e6,
        "any",
        256.0,
        "`fleet/agent.py`",
    ),
    Row(
        "agent",
        "bytes: looks of three controllers",
        "B/s",
        "look.bytes_out, look.bytes_in",
        lambda r, t: _look_bytes(r, t),
        lambda r, t: _look_bytes(r, t),
        lambda r, t: _look_bytes(r, t) + r.at("record.bytes", t.nodes),
        "a rollout",
        20_000.0,
        "`Controller._look_at`: each controller asks each agent once a second",
    ),
    Row(
        "controller",
        "processor, of a core",
        "ms/s",
        "controller.core_share",
        lambda r, t: 1e3 * r.at("controller.core_share", t.nodes),
        lambda r, t: 1e3 * r.at("controller.core_share", t.nodes),
        lambda r, t: 1e3 * r.at("controller.core_share", t.nodes),
        "any",
        1_000.0,
        "`fleet/controller.py`, one process",
    ),
    Row(
        "controller",
        "memory",
        "MB",
        "controller.memory",
        lambda r, t: r.at("controller.memory", t.nodes) / 1e6,
        lambda r, t: r.at("controller.memory", t.nodes) / 1e6,
        lambda r, t: r.at("controller.memory", t.nodes) / 1e6,
        "any",
        256.0,
        "`fleet/controller.py`",
    ),
    Row(
        "controller",
        "bytes of a takeover",
        "B",
        "takeover.bytes",
        _const(0.0),
        _const(0.0),
        lambda r, t: r.at("takeover.bytes", t.nodes),
        "the acting controller lost",
        11 * 9 * 20_000.0,
        "every agent sends the whole record: " + MISSING + " a few holders in place of all",
    ),
    Row(
        "record holder",
        "bytes written for one change of the record, all agents",
        "B",
        "record.bytes",
        _const(0.0),
        lambda r, t: t.nodes * r.at("record.bytes", t.nodes),
        lambda r, t: t.nodes * r.at("record.bytes", t.nodes),
        "a rollout",
        11 * 9 * 20_000.0,
        "`decisions/consensus.py`, a copy at each agent: " + MISSING + " a few holders",
    ),
    Row(
        "record holder",
        "bytes a second to one agent, were configuration carried by the record",
        "B/s",
        "record.bytes",
        lambda r, t: t.config_changes_per_s * r.at("record.bytes", t.nodes),
        lambda r, t: 10 * t.config_changes_per_s * r.at("record.bytes", t.nodes),
        lambda r, t: 220 / 9 * r.at("record.bytes", t.nodes),
        "regions back after an hour",
        20_000.0,
        MISSING,
    ),
    Row(
        "discovery's agent",
        "calls a second of its node",
        "1/s",
        "watch.calls_per_s",
        lambda r, t: r.at("watch.calls_per_s", 1),
        lambda r, t: r.at("watch.calls_per_s", 1),
        lambda r, t: r.at("watch.calls_per_s", 1),
        "any",
        None,
        "the platform's",
    ),
    Row(
        "discovery's agent",
        "whole lists to all nodes at once",
        "MB",
        "list.bytes",
        _const(0.0),
        _const(0.0),
        lambda r, t: t.nodes * r.at("list.bytes", t.engines) / 1e6,
        "all nodes restarted within a minute",
        None,
        "the platform's",
    ),
    Row(
        "engine",
        "requests of all nodes at a reader",
        "1/s",
        "arithmetic",
        lambda r, t: ORDINARY * t.requests_per_s / t.prefill_engines,
        lambda r, t: t.requests_per_s / t.prefill_engines,
        lambda r, t: 2 * t.requests_per_s / t.prefill_engines,
        "half of the readers moved",
        None,
        "`_pick_reader`",
    ),
    Row(
        "engine",
        "connections of all nodes that a reader holds",
        "",
        "connection.new_share",
        lambda r, t: ORDINARY * _prefill_connections(r, t),
        lambda r, t: _prefill_connections(r, t),
        lambda r, t: 2 * _prefill_connections(r, t),
        "half of the readers moved",
        None,
        "`relay/engine_pools.py`: each node keeps its own; a subset for each node would bound them",
    ),
)
"""All rows of all roles' tables."""


def _look_bytes(r: Results, t: Target) -> float:
    looks = r.at("controller.looks_per_s", t.nodes) / t.nodes
    return 3 * looks * (r.at("look.bytes_out", t.nodes) + r.at("look.bytes_in", t.nodes))


def _prefill_connections(r: Results, t: Target) -> float:
    return t.requests_per_s / t.prefill_engines * IDLE_S * r.at("connection.new_share", t.engines)
