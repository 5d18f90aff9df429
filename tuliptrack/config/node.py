"""A node's settings: read from text format, checked whole, given as the records that the program uses.

Each default stands once, in the table beside its field, and again in words in `config.proto`; a test holds
the two together.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from google.protobuf.message import Message

from tuliptrack.config.textformat import Located, read_file, read_text
from tuliptrack.decisions.billing import TokenPrice
from tuliptrack.decisions.token_budget import BudgetWindow
from tuliptrack.interface import (
    Idempotency,
    IdempotencyScope,
    RequestClass,
    Role,
    Settings,
    Tenant,
    ZoneBudget,
)
from tuliptrack.proto import config_pb2 as pb

__all__ = [
    "BillingOptions",
    "EngineOptions",
    "KserveOptions",
    "NodeConfig",
    "NodeLimits",
    "SourceOptions",
    "ZoneOptions",
    "load",
    "parse",
]

DEFAULTS: dict[str, dict[str, Any]] = {
    "Node": {
        "listen": "127.0.0.1:7400",
        "slot": 0,
        "replicas": 1,
        "zone": 0,
        "seed": 0,
        "shutdown_grace_ms": 10000,
        "log_format": pb.JSON,
    },
    "RequestClassConfig": {
        "worth": 1,
        "aim_per_1000_tokens_ms": 0,
        "token_aim_ms": 0,
        "late_share": 0,
        "effect": pb.SAFE,
        "key_scope": pb.ALL,
        "dedup_window_ms": 0,
        "when_over": pb.LOWER,
    },
    "TokenBudget": {"turn_tokens": 0},
    "PriceConfig": {"from_unix_us": 0},
    "Billing": {
        "ledger": "",
        "commit_ms": 200,
        "ledger_bytes": 1073741824,
        "when_full": pb.SERVE,
        "keep_days": 400,
        "read_weight": 1,
        "kept_weight": 0.1,
        "written_weight": 3,
        "spread": 4,
        "lend": True,
    },
    "KindConfig": {"memory_tokens": 0},
    "TenantConfig": {"share": 0},
    "Routing": {
        "max_attempts": 5,
        "over_share_worth": 0.1,
        "release_within_ms": 300,
        "drain_grace_ms": 500,
        "cold_for_ms": 12000,
        "cold_from": 0.25,
        "fall_multiple": 2.5,
        "fall_window_ms": 3000,
        "writers_read": True,
        "may_resume": True,
        "max_retry_after_ms": 500,
        "far_price": 0,
    },
    "ServerSource": {"cache": "", "poll_ms": 100},
    "Limits": {
        "open_requests": 20000,
        "connections": 4096,
        "streams_per_connection": 2000,
        "message_bytes": 4194304,
        "header_bytes": 16384,
        "tokens": 1048576,
        "bytes_per_token": 4,
        "answer_bytes": 32768,
        "answer_ahead_ms": 50,
        "client_stall_ms": 30000,
        "tenant_requests": 20000,
        "connection_requests": 2000,
        "body_bytes": 268435456,
    },
    "Kserve": {"rest_listen": "", "connections": 1024, "request_ms": 10000, "idle_ms": 60000},
    "Zones": {
        "prompt_bytes_per_token": 6,
        "state_bytes_per_token": 16,
        "answer_bytes_per_token": 24,
        "report": "",
        "report_every_ms": 10000,
        "report_bytes": 67108864,
    },
    "ZoneBudgetConfig": {"quantum_bytes": 0, "by_traffic": 0},
    "Engines": {
        "connect_timeout_ms": 250,
        "keepalive_after_ms": 10000,
        "keepalive_timeout_ms": 5000,
        "connections": 4,
        "token_silence_ms": 15000,
        "idle_ms": 60000,
    },
}
"""Defaults by message and field, in the file's units."""

REPORT_FIELDS = ("in_flight", "memory_share", "tokens_waiting_k")
"""What the node makes of an engine's ORCA report; the order in which the router gets it."""

_LONGEST_MS = 86_400_000.0  # a day: longer times are taken for a mistake of units
_EFFECTS = {
    pb.SAFE: Idempotency.IDEMPOTENT,
    pb.KEYED: Idempotency.WITH_KEY,
    pb.UNSAFE: Idempotency.NOT_IDEMPOTENT,
}
_SCOPES = {pb.ALL: IdempotencyScope.ALL, pb.ZONE: IdempotencyScope.ZONE, pb.CELL: IdempotencyScope.CELL}
_ROLES = {pb.READ: Role.PREFILL, pb.WRITE: Role.DECODE, pb.BOTH: Role.PREFILL_AND_DECODE}
_ROLE_NAMES = {Role.PREFILL: "READ", Role.DECODE: "WRITE"}


@dataclass(frozen=True)
class NodeLimits:
    """Bounds of a node; sizes in bytes, counts of requests, connections and tokens."""

    open_requests: int = 20_000
    connections: int = 4_096
    streams_per_connection: int = 2_000
    message_bytes: int = 4_194_304
    header_bytes: int = 16_384
    tokens: int = 1_048_576
    bytes_per_token: float = 4.0
    answer_bytes: int = 32_768
    answer_ahead: int = 50_000
    """Microseconds."""
    client_stall: int = 30_000_000
    """Microseconds."""
    tenant_requests: int = 20_000
    connection_requests: int = 2_000
    body_bytes: int = 268_435_456


@dataclass(frozen=True)
class EngineOptions:
    """Times and bounds towards engines; microseconds."""

    connect_timeout: int = 250_000
    keepalive_after: int = 10_000_000
    keepalive_timeout: int = 5_000_000
    connections: int = 4
    token_silence: int = 15_000_000
    idle: int = 60_000_000


@dataclass(frozen=True)
class SourceOptions:
    """Where the server list comes from: a file, a feed's address, or neither; `cache` may be empty."""

    file: str = ""
    feed: str = ""
    cache: str = ""
    poll: int = 100_000
    """Microseconds."""


@dataclass(frozen=True)
class ZoneOptions:
    """Names of zones by number (may be none), and the file for what has crossed (may be empty)."""

    names: tuple[str, ...] = ()
    report: str = ""
    report_every: int = 10_000_000
    """Microseconds."""
    report_bytes: int = 67_108_864


@dataclass(frozen=True)
class KserveOptions:
    """Of the KServe front: what requests mean that don't say it, and the REST form (not served without an
    address).
    """

    rest_listen: str = ""
    request_class: str = ""
    tenant: str = ""
    priority_classes: tuple[str, ...] = ()
    """By the parameter `priority`, from 1."""
    connections: int = 1_024
    request_within: int = 10_000_000
    """Microseconds."""
    idle: int = 60_000_000
    """Microseconds."""


@dataclass(frozen=True)
class BillingOptions:
    """Of budgets and bills. `windows` by tenant, in units of a tenth of a token; `prices` by the time from
    which they hold.
    """

    ledger: str = ""
    commit: int = 200_000
    """Microseconds."""
    ledger_bytes: int = 1 << 30
    refuse_when_full: bool = False
    keep_days: int = 400
    windows: dict[str, tuple[BudgetWindow, ...]] = field(default_factory=dict)
    weights: tuple[int, int, int] = (10, 1, 30)
    """Units of a token read, kept, written."""
    spread: float = 4.0
    lend: bool = True
    prices: tuple[tuple[int, TokenPrice], ...] = ()
    refuse_over: frozenset[str] = frozenset()
    """Classes whose requests over budget are refused."""


@dataclass(frozen=True)
class NodeConfig:
    """All that a node is told at its start."""

    settings: Settings
    kinds: tuple[str, ...]
    """Names of the kinds of server, in the order of `settings.roles`."""
    listen: str = "127.0.0.1:7400"
    seed: int = 0
    shutdown_grace: int = 10_000_000
    """Microseconds."""
    json_log: bool = True
    peers: tuple[str, ...] = ()
    limits: NodeLimits = field(default_factory=NodeLimits)
    engines: EngineOptions = field(default_factory=EngineOptions)
    source: SourceOptions = field(default_factory=SourceOptions)
    zones: ZoneOptions = field(default_factory=ZoneOptions)
    kserve: KserveOptions = field(default_factory=KserveOptions)
    billing: BillingOptions = field(default_factory=BillingOptions)


def load(path: str | Path) -> NodeConfig:
    """Read a file; ConfigError with every problem at once."""
    return _build(*read_file(path, pb.Config))


def parse(text: str) -> NodeConfig:
    """Read text; ConfigError with every problem at once."""
    return _build(*read_text(text, pb.Config))


class _Block:
    """One block of the file: values with their defaults, each checked where it is asked for."""

    def __init__(self, message: Message, path: str, located: Located) -> None:
        self.message, self.path, self.located = message, path, located
        self.defaults = DEFAULTS[message.DESCRIPTOR.name]

    def wrong(self, name: str, reason: str) -> None:
        self.located.problem(f"{self.path}.{name}", reason)

    def value(self, name: str) -> Any:
        if self.message.HasField(name):
            return getattr(self.message, name)
        if name not in self.defaults:
            self.wrong(name, "is required")
            return None
        return self.defaults[name]

    def number(self, name: str, least: float, most: float, above: bool = False) -> float:
        value = self.value(name)
        if value is None:
            return 1.0
        if not math.isfinite(value) or not (value > least if above else value >= least) or value > most:
            sign = "above" if above else "at least"
            self.wrong(name, f"must be {sign} {least:g} and at most {most:g}, is {value:g}")
            return max(least, 1.0)
        return float(value)

    def count(self, name: str, least: int, most: int) -> int:
        return int(self.number(name, least, most))

    def time(self, name: str, above: bool = False) -> int:
        """Microseconds of a time that the file gives in milliseconds."""
        return round(self.number(name, 0, _LONGEST_MS, above) * 1000)


def _names(blocks: Iterable[_Block]) -> tuple[str, ...]:
    seen: dict[str, str] = {}
    names = []
    for block in blocks:
        name = block.message.name  # type: ignore[attr-defined]
        if not name:
            block.wrong("name", "is required")
        elif name in seen:
            block.wrong("name", f"{name!r} is taken by {seen[name]}")
        seen.setdefault(name, block.path)
        names.append(name)
    return tuple(names)


def _address(block: _Block, name: str, value: str, any_port: bool = False) -> str:
    host, sign, port = value.rpartition(":")
    if not sign or not host or not port.isdigit() or not (0 if any_port else 1) <= int(port) <= 65_535:
        block.wrong(name, f"must be host:port, is {value!r}")
    return value


def _build(file: pb.Config, located: Located) -> NodeConfig:
    def block(message: Message, path: str) -> _Block:
        return _Block(message, path, located)

    node, routing = block(file.node, "node"), block(file.routing, "routing")
    classes = [block(c, f"request_class[{i}]") for i, c in enumerate(file.request_class)]
    kinds = [block(k, f"kind[{i}]") for i, k in enumerate(file.kind)]
    tenants = [block(t, f"tenant[{i}]") for i, t in enumerate(file.tenant)]
    if not classes:
        located.problem("request_class", "at least one is needed")
    if not kinds:
        located.problem("kind", "at least one is needed")
    class_names, kind_names, tenant_names = _names(classes), _names(kinds), _names(tenants)
    replicas, slot = node.count("replicas", 1, 100_000), node.count("slot", 0, 100_000)
    if slot >= replicas:
        node.wrong("slot", f"must be below replicas ({replicas}), is {slot}")
    request_classes = tuple(_request_class(c, name) for c, name in zip(classes, class_names, strict=True))
    roles = tuple(_role(k) for k in kinds)
    for role in (Role.PREFILL, Role.DECODE):
        if roles and not {role, Role.PREFILL_AND_DECODE} & set(roles):
            located.problem("kind", f"none has the role {_ROLE_NAMES[role]} or BOTH")
    shares = [t.number("share", 0, 1) for t in tenants]
    if sum(shares) > 1 + 1e-9:
        located.problem("tenant", f"the shares add up to {sum(shares):g}, 1 at most")
    source = _source(block(file.servers, "servers"), file.servers)
    limits = _limits(block(file.limits, "limits"))
    engines = block(file.engines, "engines")
    kept = dict(
        replicas=replicas,
        replica_index=slot,
        zone=node.count("zone", 0, 65_535),
        tenants=tuple(
            Tenant(name, share, t.number("quota_per_s", 0, 1e9))
            for t, name, share in zip(tenants, tenant_names, shares, strict=True)
        ),
        max_attempts=routing.count("max_attempts", 1, 100),
        over_quota_weight_factor=routing.number("over_share_worth", 0, 1),
        release_within_us=routing.time("release_within_ms", above=True),
        drain_grace_us=routing.time("drain_grace_ms"),
        slow_start_us=routing.time("cold_for_ms"),
        slow_start_initial_share=routing.number("cold_from", 0, 1, above=True),
        slow_start_overload_factor=routing.number("fall_multiple", 0, 1e6, above=True),
        slow_start_window_us=routing.time("fall_window_ms", above=True),
        may_resume=bool(routing.value("may_resume")),
        max_retry_after_us=routing.time("max_retry_after_ms"),
        connect_timeout_us=engines.time("connect_timeout_ms", above=True),
    )
    # Accepted and checked, though nothing depends on them.
    routing.number("far_price", 0, 1e6)
    for kind in kinds:
        kind.number("memory_tokens", 0, 1e12)
    options = EngineOptions(
        connect_timeout=engines.time("connect_timeout_ms", above=True),
        keepalive_after=engines.time("keepalive_after_ms", above=True),
        keepalive_timeout=engines.time("keepalive_timeout_ms", above=True),
        connections=engines.count("connections", 1, 1000),
        token_silence=engines.time("token_silence_ms", above=True),
        idle=engines.time("idle_ms"),
    )
    listen = _address(node, "listen", node.value("listen"), any_port=True)
    peers = tuple(_address(node, "peer", peer) for peer in file.node.peer)
    if peers and len(peers) != replicas:
        node.wrong("peer", f"must name every node ({replicas}) or none, names {len(peers)}")
    quotas = sum(tenant.quota_per_s for tenant in kept["tenants"])  # type: ignore[attr-defined]
    zones, crossing = _zones(block(file.zones, "zones"), file.zones, class_names, kept["zone"], quotas)
    kserve = _kserve(block(file.kserve, "kserve"), file.kserve, class_names, tenant_names)
    billing = _billing(block(file.billing, "billing"), file, located)
    grace = node.time("shutdown_grace_ms")
    located.check()
    settings = Settings(
        classes=request_classes,
        roles=roles,
        may_cancel=True,
        may_send_retry_after=True,
        report_fields=REPORT_FIELDS,
        must_subscribe=bool(source.feed),
        **kept,  # type: ignore[arg-type]
        **crossing,
    )
    return NodeConfig(
        settings,
        kind_names,
        listen,
        int(node.value("seed")),
        grace,
        node.value("log_format") == pb.JSON,
        peers,
        limits,
        options,
        source,
        zones,
        kserve,
        billing,
    )


def _request_class(c: _Block, name: str) -> RequestClass:
    aim, deadline = c.time("aim_ms", above=True), c.time("deadline_ms", above=True)
    if deadline < aim:
        c.wrong("deadline_ms", f"must be at least aim_ms ({aim / 1000:g}), is {deadline / 1000:g}")
    effect = _EFFECTS[c.value("effect")]
    window = c.time("dedup_window_ms")
    c.number("late_share", 0, 1)  # Accepted and checked, though nothing depends on it.
    if effect is Idempotency.WITH_KEY and not window:
        c.wrong("dedup_window_ms", "is required where effect is KEYED")
    return RequestClass(
        name or "?",
        priority_weight=c.number("worth", 0, 1e9, above=True),
        latency_objective_us=max(aim, 1),
        deadline_us=max(deadline, 1),
        objective_us_per_1000_tokens=float(c.time("aim_per_1000_tokens_ms")),
        inter_token_objective_us=float(c.time("token_aim_ms")),
        idempotency=effect,
        idempotency_scope=_SCOPES[c.value("key_scope")],
        deduplication_window_us=window,
    )


def _role(k: _Block) -> Role:
    role = k.value("role")
    if role == pb.ROLE_UNSPECIFIED:
        k.wrong("role", "must be READ, WRITE or BOTH")
    return _ROLES.get(role, Role.PREFILL_AND_DECODE)


def _source(s: _Block, message: pb.ServerSource) -> SourceOptions:
    feed, file = message.feed, message.file
    if not feed and not file:
        s.wrong("file", "is required where feed is not set")
    if feed:
        _address(s, "feed", feed)
    return SourceOptions(file, feed, s.value("cache"), s.time("poll_ms", above=True))


def _zones(
    z: _Block, message: pb.Zones, classes: tuple[str, ...], own: Any, quotas: float
) -> tuple[ZoneOptions, dict[str, Any]]:
    names = tuple(message.name)
    if len(set(names)) < len(names):
        z.wrong("name", "no two zones may share a name")
    if names and own >= len(names):
        z.located.problem("node.zone", f"is {own}, but zones.name has {len(names)} names, from 0")
    weights = {
        name: z.number(f"{name}_per_token", 0, 1e9)
        for name in ("prompt_bytes", "state_bytes", "answer_bytes")
    }
    least = 1000 * (weights["prompt_bytes"] + weights["state_bytes"])
    budgets = []
    for n, one in enumerate(message.budget):
        b = _Block(one, f"zones.budget[{n}]", z.located)
        for name in one.request_class:
            if name not in classes:
                b.wrong("request_class", f"{name!r} is not among {sorted(classes)}")
        if not one.request_class and n + 1 < len(message.budget):
            b.wrong("request_class", "a budget for all classes must be the last")
        rate, burst = b.number("bytes_per_s", 0, 1e15), b.number("burst_bytes", 0, 1e15, above=True)
        quantum = b.number("quantum_bytes", 0, 1e15) or burst / 10
        by_traffic = b.number("by_traffic", 0, 1)
        if 0 < one.by_traffic <= 1 and not quotas:
            b.wrong("by_traffic", "is measured by the tenants' quota_per_s, and none is set")
        if burst < least:
            b.wrong(
                "burst_bytes",
                f"can't be kept: one prompt of 1,000 tokens crosses with {least:g} bytes, is {burst:g}",
            )
        elif quantum > burst:
            b.wrong("quantum_bytes", f"must be at most burst_bytes ({burst:g}), is {quantum:g}")
        else:
            budgets.append(
                ZoneBudget(
                    rate,
                    burst,
                    quantum,
                    frozenset(classes.index(name) for name in one.request_class if name in classes),
                    by_traffic,
                )
            )
    options = ZoneOptions(
        names, z.value("report"), z.time("report_every_ms", above=True), z.count("report_bytes", 4096, 2**40)
    )
    return options, {"zone_budgets": tuple(budgets), **weights}


def _limits(b: _Block) -> NodeLimits:
    return NodeLimits(
        b.count("open_requests", 1, 10_000_000),
        b.count("connections", 1, 1_000_000),
        b.count("streams_per_connection", 1, 1_000_000),
        b.count("message_bytes", 1024, 2**31 - 1),
        b.count("header_bytes", 1024, 2**24),
        b.count("tokens", 1, 2**40),
        b.number("bytes_per_token", 0, 1000, above=True),
        b.count("answer_bytes", 1024, 2**31 - 1),
        b.time("answer_ahead_ms"),
        b.time("client_stall_ms", above=True),
        b.count("tenant_requests", 1, 10_000_000),
        b.count("connection_requests", 1, 10_000_000),
        b.count("body_bytes", 1024, 2**40),
    )


_UNIT = 10  # units of a token in budgets, so that weights of a tenth stay whole numbers


def _billing(b: _Block, file: pb.Config, located: Located) -> BillingOptions:
    windows: dict[str, tuple[BudgetWindow, ...]] = {}
    for t, tenant in enumerate(file.tenant):
        found = []
        for n, one in enumerate(tenant.budget):
            w = _Block(one, f"tenant[{t}].budget[{n}]", located)
            length = round(w.number("window_ms", 0, 31 * _LONGEST_MS, above=True) * 1000)
            tokens, turn = w.number("tokens", 0, 1e15, above=True), w.number("turn_tokens", 0, 1e15)
            if turn > tokens:
                w.wrong("turn_tokens", f"must be at most tokens ({tokens:g}), is {turn:g}")
            elif length and tokens:
                found.append(BudgetWindow(length, max(int(tokens * _UNIT), 1), int(turn * _UNIT)))
        if found:
            windows[tenant.name] = tuple(found)
    prices: list[tuple[int, TokenPrice]] = []
    for n, message in enumerate(file.billing.price):
        p = _Block(message, f"billing.price[{n}]", located)
        if prices and message.from_unix_us <= prices[-1][0]:
            p.wrong("from_unix_us", "must be later than that of the price before it")
        for name in ("from_unix_us", "read", "kept", "written"):
            if getattr(message, name) < 0:
                p.wrong(name, f"must not be negative, is {getattr(message, name)}")
        prices.append((message.from_unix_us, TokenPrice(message.read, message.kept, message.written)))
    weights = [round(b.number(f"{name}_weight", 0, 1e6) * _UNIT) for name in ("read", "kept", "written")]
    return BillingOptions(
        b.value("ledger"),
        b.time("commit_ms", above=True),
        b.count("ledger_bytes", 1 << 20, 2**46),
        b.value("when_full") == pb.REFUSE_ALL,
        b.count("keep_days", 1, 100_000),
        windows,
        (weights[0], weights[1], weights[2]),
        b.number("spread", 0, 1e6, above=True),
        bool(b.value("lend")),
        tuple(prices),
        frozenset(c.name for c in file.request_class if c.when_over == pb.REFUSE),
    )


def _kserve(
    k: _Block, message: pb.Kserve, classes: tuple[str, ...], tenants: tuple[str, ...]
) -> KserveOptions:
    listen = _address(k, "rest_listen", message.rest_listen, any_port=True) if message.rest_listen else ""
    for field_, names, known in (
        ("request_class", [message.request_class], classes),
        ("tenant", [message.tenant], tenants),
        ("priority_class", message.priority_class, classes),
    ):
        for name in names:
            if name and name not in known:
                k.wrong(field_, f"{name!r} is not among {sorted(known)}")
    return KserveOptions(
        listen,
        message.request_class or (classes[0] if classes else ""),
        message.tenant,
        tuple(message.priority_class),
        k.count("connections", 1, 1_000_000),
        k.time("request_ms", above=True),
        k.time("idle_ms", above=True),
    )
