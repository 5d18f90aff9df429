"""Which engines serve which model, and which version a request goes to.

Engines of different models, or of two versions of one, share nothing that routing could use: a state read by
one can't be written by the other, queues and failures of one say nothing of the other. So each (model,
version) has a `Router` of its own, told of its own engines only, and this decides who they are. The routers
of one node share the tenants' quotas and the zones' budgets; `part` tells each how much of the quotas its
engines are built for.

A request that names no version gets one by its session: weighted rendezvous over the versions that can serve,
weighted by what they can do. So a rollout moves as much of the traffic as there are engines for it, each
session moves once, and every node picks alike.

No I/O, no clock, no chance. Bound: `MAX_MODELS` models and versions; engines of one more are not served, and
named.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, replace

import xxhash

from tuliptrack.interface import EndpointInfo, EndpointListUpdate, EndpointState, Role, UpdateKind

__all__ = ["Model", "ModelCatalog", "NotServedError"]

MAX_MODELS = 256


@dataclass(frozen=True, slots=True, order=True)
class Model:
    """A model and one of its versions; both may be empty, where a fleet serves just one thing."""

    name: str = ""
    version: str = ""


class NotServedError(Exception):
    """No engines can serve what was asked for. `known` tells whether the list names it, so that it may come
    back.
    """

    def __init__(self, field: str, reason: str, known: bool = False) -> None:
        super().__init__(f"{field}: {reason}")
        self.field, self.reason, self.known = field, reason, known


class ModelCatalog:
    """The engines by model. `split` takes changes of the server list, `choose` answers requests."""

    def __init__(self, roles: tuple[Role, ...]) -> None:
        self.roles = roles
        self.servers: dict[int, tuple[Model, EndpointInfo]] = {}
        """Every server that is listed and not gone."""
        self.left_out: set[int] = set()
        """Servers of models past the bound."""
        self._sizes: dict[Model, dict[Role, float]] = {}

    # -- the list

    def split(self, change: EndpointListUpdate, labels: dict[int, Model]) -> dict[Model, EndpointListUpdate]:
        """One change for each router that has to hear of it. `labels` names the model of each server in the
        change.
        """
        before = {model for model, _ in self.servers.values()}
        whole = change.kind is not UpdateKind.DELTA
        told: dict[Model, list[EndpointInfo]] = defaultdict(list)
        if whole:
            gone = self.servers.keys() - labels.keys()
            self.left_out &= labels.keys()
            for model in before:  # what a whole list doesn't name has gone, at each router
                told[model] = []
        else:
            gone = set()
        taken = set() if whole else set(before)
        for server in change.endpoints:
            label = labels.get(server.id, Model())
            old = self.servers.get(server.id)
            if (
                old and old[0] != label and not whole
            ):  # It serves something else now: to the old router it has gone.
                told[old[0]].append(replace(old[1], state=EndpointState.REMOVED))
            if server.state is EndpointState.REMOVED:
                self.servers.pop(server.id, None)
                self.left_out.discard(server.id)
                told[old[0] if old else label].append(server)
                continue
            if label not in taken and len(taken) >= MAX_MODELS:
                self.left_out.add(server.id)
                self.servers.pop(server.id, None)
                continue
            taken.add(label)
            self.left_out.discard(server.id)
            self.servers[server.id] = (label, server)
            told[label].append(server)
        for server_id in gone:
            self.servers.pop(server_id, None)
        parts_before = {model: self.part(model) for model in before}
        self._count()
        for model in before - told.keys():  # Its part has changed with the others'.
            if abs(self.part(model) - parts_before[model]) > 0.01:
                told[model] = []
        return {
            model: EndpointListUpdate(
                change.kind if model in before or not whole else UpdateKind.FULL,
                change.version,
                tuple(servers),
                self.part(model),
            )
            for model, servers in told.items()
        }

    def _count(self) -> None:
        sizes: dict[Model, dict[Role, float]] = {}
        for model, server in self.servers.values():
            role = self.roles[server.kind] if server.kind < len(self.roles) else Role.DECODE
            if server.state is EndpointState.READY:
                by_role = sizes.setdefault(model, {})
                by_role[role] = by_role.get(role, 0.0) + server.weight
        self._sizes = sizes

    def _can(self, model: Model) -> float:
        """What it can do: the lesser of its reading and its writing size; 0 where one is missing."""
        sizes = self._sizes.get(model, {})
        both = sizes.get(Role.PREFILL_AND_DECODE, 0.0)
        return min(sizes.get(Role.PREFILL, 0.0) + both, sizes.get(Role.DECODE, 0.0) + both)

    def part(self, model: Model) -> float:
        """The part of the fleet, and so of the quotas, that its engines are; 1 where nothing else is
        listed.
        """
        whole = sum(self._can(one) for one in self._sizes)
        return self._can(model) / whole if whole and self._can(model) else 1.0

    # -- questions

    def listed(self) -> list[Model]:
        """Every model and version that the list names, ready or not."""
        return sorted({model for model, _ in self.servers.values()})

    def serving(self, name: str = "") -> list[Model]:
        """Those of a name (all, where it is empty) that have ready readers and writers."""
        return sorted(m for m in self._sizes if (not name or m.name == name) and self._can(m) > 0)

    def ready(self, name: str, version: str = "") -> bool:
        """Whether a request for it would find engines."""
        return any(not version or m.version == version for m in self.serving(name))

    def choose(self, name: str, version: str, session: str) -> Model:
        """Where a request goes; NotServed names the field that can't be met."""
        listed = self.listed()
        names = {m.name for m in listed}
        if not listed:
            return Model()  # Nothing is known yet: its router refuses.
        if not name and len(names) > 1:
            raise NotServedError("model", f"is required, as more than one is served: {_some(names)}")
        name = name or next(iter(names))
        if name not in names:
            if names == {""} and not version:
                return Model()  # The engines carry no labels: they serve whatever is asked for.
            raise NotServedError("model", f"{name[:60]!r} is not served here; {_some(names)}")
        versions = [m for m in listed if m.name == name and version in ("", m.version)]
        if not versions:
            raise NotServedError(
                "model_version",
                f"{version[:40]!r} of {name[:60]!r} is not served here; "
                + _some({m.version for m in listed if m.name == name}),
            )
        able = [m for m in versions if self._can(m) > 0]
        if not able:
            raise NotServedError("model", f"no engines of {name[:60]!r} are ready", known=True)
        return able[0] if len(able) == 1 else max(able, key=lambda m: self._rank(m, session))

    def _rank(self, model: Model, session: str) -> float:
        draw = (xxhash.xxh3_64_intdigest(f"{model.name}\0{model.version}\0{session}".encode()) + 1) / (
            2**64 + 1
        )
        return self._can(model) / -math.log(draw)


def _some(names: Iterable[str]) -> str:
    shown = sorted(names)
    return ", ".join(repr(n[:60]) for n in shown[:8]) + (" ..." if len(shown) > 8 else "") or "none is listed"
