"""A node's settings: parsed from protobuf text format, validated as a whole, and converted to typed records.

`DEFAULTS` has the default of each field, and the comments of `config.proto` describe it; a test compares the
two.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from google.protobuf.message import Message

from tuliptrack.config.textformat import Diagnostics, read_file, read_text
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
"""Defaults by message and field, in the units of the settings file."""

REPORT_FIELDS = ("in_flight", "memory_share", "tokens_waiting_k")
"""Values that the node derives from an engine's ORCA report, in the order in which the router gets them."""

_MAX_TIME_MS = 86_400_000.0  # One day; a longer time is most likely given in the wrong unit.
_IDEMPOTENCY_BY_EFFECT = {
    pb.SAFE: Idempotency.IDEMPOTENT,
    pb.KEYED: Idempotency.WITH_KEY,
    pb.UNSAFE: Idempotency.NOT_IDEMPOTENT,
}
_SCOPE_BY_NAME = {
    pb.ALL: IdempotencyScope.ALL,
    pb.ZONE: IdempotencyScope.ZONE,
    pb.CELL: IdempotencyScope.CELL,
}
_ROLE_BY_NAME = {pb.READ: Role.PREFILL, pb.WRITE: Role.DECODE, pb.BOTH: Role.PREFILL_AND_DECODE}
_ROLE_NAMES = {Role.PREFILL: "READ", Role.DECODE: "WRITE"}


@dataclass(frozen=True)
class NodeLimits:
    """Limits of a node: sizes in bytes, and counts of requests, connections and tokens."""

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
    """Timeouts (microseconds) and limits of the connections to engines."""

    connect_timeout: int = 250_000
    keepalive_after: int = 10_000_000
    keepalive_timeout: int = 5_000_000
    connections: int = 4
    token_silence: int = 15_000_000
    idle: int = 60_000_000


@dataclass(frozen=True)
class SourceOptions:
    """Where the endpoint list comes from: a file, the address of a feed, or neither (both empty).

    `cache` is the file that keeps the last list for the next start; empty: none.
    """

    file: str = ""
    feed: str = ""
    cache: str = ""
    poll: int = 100_000
    """Microseconds."""


@dataclass(frozen=True)
class ZoneOptions:
    """Names of zones by number (may be empty), and the file for reports of cross-zone traffic (empty: none)."""

    names: tuple[str, ...] = ()
    report: str = ""
    report_interval: int = 10_000_000
    """Microseconds."""
    report_bytes: int = 67_108_864


@dataclass(frozen=True)
class KserveOptions:
    """Options of the KServe front: defaults for requests that name no class or tenant, and the REST listener.

    REST is not served where `rest_listen` is empty.
    """

    rest_listen: str = ""
    request_class: str = ""
    tenant: str = ""
    priority_classes: tuple[str, ...] = ()
    """Names of request classes; the request parameter `priority` selects one, counted from 1."""
    connections: int = 1_024
    request_timeout: int = 10_000_000
    """Microseconds."""
    idle: int = 60_000_000
    """Microseconds."""


@dataclass(frozen=True)
class BillingOptions:
    """Options of token budgets and billing.

    `windows` are by tenant, in units of a tenth of a token. `prices` are ordered by the time from which they
    apply.
    """

    ledger: str = ""
    commit: int = 200_000
    """Microseconds."""
    ledger_bytes: int = 1 << 30
    reject_when_full: bool = False
    keep_days: int = 400
    windows: dict[str, tuple[BudgetWindow, ...]] = field(default_factory=dict)
    weights: tuple[int, int, int] = (10, 1, 30)
    """Units per token: prompt, cached prompt, output."""
    spread: float = 4.0
    lend: bool = True
    prices: tuple[tuple[int, TokenPrice], ...] = ()
    rejecting_classes: frozenset[str] = frozenset()
    """Names of the classes whose requests are rejected when the tenant is over its budget."""


@dataclass(frozen=True)
class NodeConfig:
    """The validated settings of a node."""

    settings: Settings
    kinds: tuple[str, ...]
    """Names of the kinds of engine, in the order of `settings.roles`."""
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
    """Read the settings from a file.

    Raises:
        ConfigError: Lists every problem of the file.
    """
    return _build(*read_file(path, pb.Config))


def parse(text: str) -> NodeConfig:
    """Read the settings from text.

    Raises:
        ConfigError: Lists every problem of the text.
    """
    return _build(*read_text(text, pb.Config))


class _Block:
    """One block of the file; its methods return a field's value or default, and report invalid values."""

    def __init__(self, message: Message, path: str, diagnostics: Diagnostics) -> None:
        self.message, self.path, self.diagnostics = message, path, diagnostics
        self.defaults = DEFAULTS[message.DESCRIPTOR.name]

    def wrong(self, name: str, reason: str) -> None:
        self.diagnostics.add(f"{self.path}.{name}", reason)

    def value(self, name: str) -> Any:
        if self.message.HasField(name):
            return getattr(self.message, name)
        if name not in self.defaults:
            self.wrong(name, "is required")
            return None
        return self.defaults[name]

    def number(self, name: str, minimum: float, maximum: float, exclusive: bool = False) -> float:
        """Return a number from `minimum` (above it, where `exclusive`) to `maximum`."""
        value = self.value(name)
        if value is None:
            return 1.0
        if (
            not math.isfinite(value)
            or not (value > minimum if exclusive else value >= minimum)
            or value > maximum
        ):
            bound = "above" if exclusive else "at least"
            self.wrong(name, f"must be {bound} {minimum:g} and at most {maximum:g}, is {value:g}")
            return max(minimum, 1.0)
        return float(value)

    def count(self, name: str, minimum: int, maximum: int) -> int:
        return int(self.number(name, minimum, maximum))

    def time(self, name: str, exclusive: bool = False) -> int:
        """Return in microseconds a time that the file gives in milliseconds."""
        return round(self.number(name, 0, _MAX_TIME_MS, exclusive) * 1000)


def _names(blocks: Iterable[_Block]) -> tuple[str, ...]:
    """Return the `name` of each block; each must be given and used once."""
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


def _address(block: _Block, name: str, value: str, allow_port_0: bool = False) -> str:
    host, colon, port = value.rpartition(":")
    if not colon or not host or not port.isdigit() or not (0 if allow_port_0 else 1) <= int(port) <= 65_535:
        block.wrong(name, f"must be host:port, is {value!r}")
    return value


def _build(file: pb.Config, diagnostics: Diagnostics) -> NodeConfig:
    def block(message: Message, path: str) -> _Block:
        return _Block(message, path, diagnostics)

    node, routing = block(file.node, "node"), block(file.routing, "routing")
    classes = [block(c, f"request_class[{i}]") for i, c in enumerate(file.request_class)]
    kinds = [block(k, f"kind[{i}]") for i, k in enumerate(file.kind)]
    tenants = [block(t, f"tenant[{i}]") for i, t in enumerate(file.tenant)]
    if not classes:
        diagnostics.add("request_class", "at least one is required")
    if not kinds:
        diagnostics.add("kind", "at least one is required")
    class_names, kind_names, tenant_names = _names(classes), _names(kinds), _names(tenants)
    replicas, slot = node.count("replicas", 1, 100_000), node.count("slot", 0, 100_000)
    if slot >= replicas:
        node.wrong("slot", f"must be below replicas ({replicas}), is {slot}")
    request_classes = tuple(_request_class(c, name) for c, name in zip(classes, class_names, strict=True))
    roles = tuple(_role(k) for k in kinds)
    for role in (Role.PREFILL, Role.DECODE):
        if roles and not {role, Role.PREFILL_AND_DECODE} & set(roles):
            diagnostics.add("kind", f"no kind has the role {_ROLE_NAMES[role]} or BOTH")
    shares = [t.number("share", 0, 1) for t in tenants]
    if sum(shares) > 1 + 1e-9:
        diagnostics.add("tenant", f"the shares add up to {sum(shares):g}, must be at most 1")
    source = _source(block(file.servers, "servers"), file.servers)
    limits = _limits(block(file.limits, "limits"))
    engines = block(file.engines, "engines")
    fields = dict(
        replicas=replicas,
        replica_index=slot,
        zone=node.count("zone", 0, 65_535),
        tenants=tuple(
            Tenant(name, share, t.number("quota_per_s", 0, 1e9))
            for t, name, share in zip(tenants, tenant_names, shares, strict=True)
        ),
        max_attempts=routing.count("max_attempts", 1, 100),
        over_quota_weight_factor=routing.number("over_share_worth", 0, 1),
        release_within_us=routing.time("release_within_ms", exclusive=True),
        drain_grace_us=routing.time("drain_grace_ms"),
        slow_start_us=routing.time("cold_for_ms"),
        slow_start_initial_share=routing.number("cold_from", 0, 1, exclusive=True),
        slow_start_overload_factor=routing.number("fall_multiple", 0, 1e6, exclusive=True),
        slow_start_window_us=routing.time("fall_window_ms", exclusive=True),
        may_resume=bool(routing.value("may_resume")),
        max_retry_after_us=routing.time("max_retry_after_ms"),
        connect_timeout_us=engines.time("connect_timeout_ms", exclusive=True),
    )
    # These are validated, but have no effect.
    routing.number("far_price", 0, 1e6)
    for kind in kinds:
        kind.number("memory_tokens", 0, 1e12)
    engine_options = EngineOptions(
        connect_timeout=engines.time("connect_timeout_ms", exclusive=True),
        keepalive_after=engines.time("keepalive_after_ms", exclusive=True),
        keepalive_timeout=engines.time("keepalive_timeout_ms", exclusive=True),
        connections=engines.count("connections", 1, 1000),
        token_silence=engines.time("token_silence_ms", exclusive=True),
        idle=engines.time("idle_ms"),
    )
    listen = _address(node, "listen", node.value("listen"), allow_port_0=True)
    peers = tuple(_address(node, "peer", peer) for peer in file.node.peer)
    if peers and len(peers) != replicas:
        node.wrong(
            "peer", f"must be given for every node ({replicas}) or for none, is given {len(peers)} times"
        )
    total_quota_per_s = sum(tenant.quota_per_s for tenant in fields["tenants"])  # type: ignore[attr-defined]
    zones, zone_fields = _zones(
        block(file.zones, "zones"), file.zones, class_names, fields["zone"], total_quota_per_s
    )
    kserve = _kserve(block(file.kserve, "kserve"), file.kserve, class_names, tenant_names)
    billing = _billing(block(file.billing, "billing"), file, diagnostics)
    shutdown_grace = node.time("shutdown_grace_ms")
    diagnostics.check()
    settings = Settings(
        classes=request_classes,
        roles=roles,
        may_cancel=True,
        may_send_retry_after=True,
        report_fields=REPORT_FIELDS,
        must_subscribe=bool(source.feed),
        **fields,  # type: ignore[arg-type]
        **zone_fields,
    )
    return NodeConfig(
        settings,
        kind_names,
        listen,
        int(node.value("seed")),
        shutdown_grace,
        node.value("log_format") == pb.JSON,
        peers,
        limits,
        engine_options,
        source,
        zones,
        kserve,
        billing,
    )


def _request_class(block: _Block, name: str) -> RequestClass:
    objective, deadline = block.time("aim_ms", exclusive=True), block.time("deadline_ms", exclusive=True)
    if deadline < objective:
        block.wrong("deadline_ms", f"must be at least aim_ms ({objective / 1000:g}), is {deadline / 1000:g}")
    idempotency = _IDEMPOTENCY_BY_EFFECT[block.value("effect")]
    window = block.time("dedup_window_ms")
    block.number("late_share", 0, 1)  # Validated, but without effect.
    if idempotency is Idempotency.WITH_KEY and not window:
        block.wrong("dedup_window_ms", "is required where effect is KEYED")
    return RequestClass(
        name or "?",
        priority_weight=block.number("worth", 0, 1e9, exclusive=True),
        latency_objective_us=max(objective, 1),
        deadline_us=max(deadline, 1),
        objective_us_per_1000_tokens=float(block.time("aim_per_1000_tokens_ms")),
        inter_token_objective_us=float(block.time("token_aim_ms")),
        idempotency=idempotency,
        idempotency_scope=_SCOPE_BY_NAME[block.value("key_scope")],
        deduplication_window_us=window,
    )


def _role(block: _Block) -> Role:
    role = block.value("role")
    if role == pb.ROLE_UNSPECIFIED:
        block.wrong("role", "must be READ, WRITE or BOTH")
    return _ROLE_BY_NAME.get(role, Role.PREFILL_AND_DECODE)


def _source(block: _Block, message: pb.ServerSource) -> SourceOptions:
    feed, file = message.feed, message.file
    if not feed and not file:
        block.wrong("file", "is required where feed is not set")
    if feed:
        _address(block, "feed", feed)
    return SourceOptions(file, feed, block.value("cache"), block.time("poll_ms", exclusive=True))


def _zones(
    block: _Block, message: pb.Zones, classes: tuple[str, ...], own_zone: Any, total_quota_per_s: float
) -> tuple[ZoneOptions, dict[str, Any]]:
    """Return the options of zones, and the fields of `Settings` that the block sets."""
    names = tuple(message.name)
    if len(set(names)) < len(names):
        block.wrong("name", "no two zones may have the same name")
    if names and own_zone >= len(names):
        reason = f"is {own_zone}, but zones.name has {len(names)} names, from 0"
        block.diagnostics.add("node.zone", reason)
    weights = {
        name: block.number(f"{name}_per_token", 0, 1e9)
        for name in ("prompt_bytes", "state_bytes", "answer_bytes")
    }
    min_burst = 1000 * (weights["prompt_bytes"] + weights["state_bytes"])
    budgets = []
    for n, budget in enumerate(message.budget):
        b = _Block(budget, f"zones.budget[{n}]", block.diagnostics)
        for name in budget.request_class:
            if name not in classes:
                b.wrong("request_class", f"{name!r} is not among {sorted(classes)}")
        if not budget.request_class and n + 1 < len(message.budget):
            b.wrong("request_class", "only the last budget may be for all classes")
        rate, burst = b.number("bytes_per_s", 0, 1e15), b.number("burst_bytes", 0, 1e15, exclusive=True)
        quantum = b.number("quantum_bytes", 0, 1e15) or burst / 10
        by_traffic = b.number("by_traffic", 0, 1)
        if 0 < budget.by_traffic <= 1 and not total_quota_per_s:
            b.wrong("by_traffic", "requires a tenant with a quota_per_s, by which traffic is measured")
        if burst < min_burst:
            b.wrong(
                "burst_bytes",
                f"must hold one prompt of 1,000 tokens, which takes {min_burst:g} bytes, is {burst:g}",
            )
        elif quantum > burst:
            b.wrong("quantum_bytes", f"must be at most burst_bytes ({burst:g}), is {quantum:g}")
        else:
            budgets.append(
                ZoneBudget(
                    rate,
                    burst,
                    quantum,
                    frozenset(classes.index(name) for name in budget.request_class if name in classes),
                    by_traffic,
                )
            )
    options = ZoneOptions(
        names,
        block.value("report"),
        block.time("report_every_ms", exclusive=True),
        block.count("report_bytes", 4096, 2**40),
    )
    return options, {"zone_budgets": tuple(budgets), **weights}


def _limits(block: _Block) -> NodeLimits:
    return NodeLimits(
        block.count("open_requests", 1, 10_000_000),
        block.count("connections", 1, 1_000_000),
        block.count("streams_per_connection", 1, 1_000_000),
        block.count("message_bytes", 1024, 2**31 - 1),
        block.count("header_bytes", 1024, 2**24),
        block.count("tokens", 1, 2**40),
        block.number("bytes_per_token", 0, 1000, exclusive=True),
        block.count("answer_bytes", 1024, 2**31 - 1),
        block.time("answer_ahead_ms"),
        block.time("client_stall_ms", exclusive=True),
        block.count("tenant_requests", 1, 10_000_000),
        block.count("connection_requests", 1, 10_000_000),
        block.count("body_bytes", 1024, 2**40),
    )


_UNITS_PER_TOKEN = 10  # In budgets, so that weights in tenths are whole numbers.


def _billing(block: _Block, file: pb.Config, diagnostics: Diagnostics) -> BillingOptions:
    windows: dict[str, tuple[BudgetWindow, ...]] = {}
    for t, tenant in enumerate(file.tenant):
        found = []
        for n, budget in enumerate(tenant.budget):
            w = _Block(budget, f"tenant[{t}].budget[{n}]", diagnostics)
            length = round(w.number("window_ms", 0, 31 * _MAX_TIME_MS, exclusive=True) * 1000)
            tokens, quantum = w.number("tokens", 0, 1e15, exclusive=True), w.number("turn_tokens", 0, 1e15)
            if quantum > tokens:
                w.wrong("turn_tokens", f"must be at most tokens ({tokens:g}), is {quantum:g}")
            elif length and tokens:
                units = max(int(tokens * _UNITS_PER_TOKEN), 1)
                found.append(BudgetWindow(length, units, int(quantum * _UNITS_PER_TOKEN)))
        if found:
            windows[tenant.name] = tuple(found)
    prices: list[tuple[int, TokenPrice]] = []
    for n, message in enumerate(file.billing.price):
        p = _Block(message, f"billing.price[{n}]", diagnostics)
        if prices and message.from_unix_us <= prices[-1][0]:
            p.wrong("from_unix_us", "must be later than that of the previous price")
        for name in ("from_unix_us", "read", "kept", "written"):
            if getattr(message, name) < 0:
                p.wrong(name, f"must not be negative, is {getattr(message, name)}")
        prices.append((message.from_unix_us, TokenPrice(message.read, message.kept, message.written)))
    weights = [
        round(block.number(f"{name}_weight", 0, 1e6) * _UNITS_PER_TOKEN)
        for name in ("read", "kept", "written")
    ]
    return BillingOptions(
        block.value("ledger"),
        block.time("commit_ms", exclusive=True),
        block.count("ledger_bytes", 1 << 20, 2**46),
        block.value("when_full") == pb.REFUSE_ALL,
        block.count("keep_days", 1, 100_000),
        windows,
        (weights[0], weights[1], weights[2]),
        block.number("spread", 0, 1e6, exclusive=True),
        bool(block.value("lend")),
        tuple(prices),
        frozenset(c.name for c in file.request_class if c.when_over == pb.REFUSE),
    )


def _kserve(
    block: _Block, message: pb.Kserve, classes: tuple[str, ...], tenants: tuple[str, ...]
) -> KserveOptions:
    listen = (
        _address(block, "rest_listen", message.rest_listen, allow_port_0=True) if message.rest_listen else ""
    )
    for field_, names, known in (
        ("request_class", [message.request_class], classes),
        ("tenant", [message.tenant], tenants),
        ("priority_class", message.priority_class, classes),
    ):
        for name in names:
            if name and name not in known:
                block.wrong(field_, f"{name!r} is not among {sorted(known)}")
    return KserveOptions(
        listen,
        message.request_class or (classes[0] if classes else ""),
        message.tenant,
        tuple(message.priority_class),
        block.count("connections", 1, 1_000_000),
        block.time("request_ms", exclusive=True),
        block.time("idle_ms", exclusive=True),
    )
