"""Tracks which endpoints serve which model, and decides which model and version a request goes to.

Endpoints of different models, or of two versions of one model, share nothing that routing could use: KV
state of one is of no use to the other, and queues and failures of one say nothing of the other. So each
(model, version) has a `Router` that sees only the endpoints of that version. The catalog divides each update
of the endpoint list among the routers. The routers of one node share the tenants' quotas and the cross-zone
budgets; `quota_share` gives a router's part of the quotas, in proportion to the capacity of its endpoints.

For a request that names no version, the version is chosen by the request's session: rendezvous hashing over
the versions that can serve, weighted by their capacity. So a new version gets as much of the traffic as its
endpoints have the capacity for, each session moves to it once, and all nodes choose the same version.

The module does no I/O, reads no clock and draws no random numbers. Memory bound: `MAX_MODELS` models and
versions; endpoints of further ones are not served and are listed in `over_limit`.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

import xxhash

from tuliptrack.interface import EndpointInfo, EndpointListUpdate, EndpointState, Role, UpdateKind

__all__ = ["MAX_MODELS", "Model", "ModelCatalog", "NotServedError"]

MAX_MODELS = 256
MIN_SHARE_CHANGE = 0.01
"""Change of a router's share of the quotas above which the router is updated without changed endpoints."""
MAX_NAMES_SHOWN = 8
MAX_NAME_SHOWN_CHARS = 60
MAX_VERSION_SHOWN_CHARS = 40
"""Longest version in the text of an error.

Like `MAX_NAMES_SHOWN` and `MAX_NAME_SHOWN_CHARS`, it bounds the text, which repeats what clients sent.
"""


@dataclass(frozen=True, slots=True, order=True)
class Model:
    """A model and one of its versions; both are empty if a fleet serves only one and sets no labels."""

    name: str = ""
    version: str = ""


class NotServedError(Exception):
    """No endpoints can serve the model and version that a request asks for."""

    def __init__(self, field: str, reason: str, is_listed: bool = False) -> None:
        """`field` is the request's field at fault; `is_listed`: endpoints exist, but may not be ready yet."""
        super().__init__(f"{field}: {reason}")
        self.field, self.reason, self.is_listed = field, reason, is_listed


@dataclass(frozen=True, slots=True)
class _LabelledEndpoint:
    model: Model
    info: EndpointInfo


@dataclass(slots=True)
class _SplitUpdate:
    """An update of the endpoint list while it is being divided among the routers."""

    is_full: bool
    models: set[Model]
    """Models and versions that count towards `MAX_MODELS`."""
    endpoints: dict[Model, list[EndpointInfo]] = field(default_factory=lambda: defaultdict(list))


class ModelCatalog:
    """The endpoints that one node knows, by model and version."""

    def __init__(self, roles: tuple[Role, ...]) -> None:
        """`roles` gives the role of each kind of endpoint."""
        self._roles = roles
        self._endpoints: dict[int, _LabelledEndpoint] = {}
        """Every endpoint, by id, that is listed and served."""
        self.over_limit: set[int] = set()
        """Ids of endpoints that are not served because they exceed `MAX_MODELS` models and versions."""
        self._weights: dict[Model, dict[Role, float]] = {}
        """Sum of the weights of the ready endpoints, by model and role."""

    def split_update(
        self, update: EndpointListUpdate, labels: dict[int, Model]
    ) -> dict[Model, EndpointListUpdate]:
        """Apply an update of the endpoint list, and return an update for each router that it affects.

        `labels` gives the model of each endpoint in the update.
        """
        before = {endpoint.model for endpoint in self._endpoints.values()}
        shares_before = {model: self.quota_share(model) for model in before}
        is_full = update.kind is not UpdateKind.DELTA
        split = _SplitUpdate(is_full, set() if is_full else set(before))
        missing = self._endpoints.keys() - labels.keys() if is_full else set()
        if is_full:
            self.over_limit &= labels.keys()
            for model in before:
                split.endpoints[model] = []  # Each router removes what a full list does not name.
        for endpoint in update.endpoints:
            self._apply(endpoint, labels.get(endpoint.id, Model()), split)
        for endpoint_id in missing:
            self._endpoints.pop(endpoint_id, None)
        self._sum_weights()
        for model in before - split.endpoints.keys():
            if abs(self.quota_share(model) - shares_before[model]) > MIN_SHARE_CHANGE:
                split.endpoints[model] = []
        return {
            model: EndpointListUpdate(
                update.kind if model in before or not is_full else UpdateKind.FULL,
                update.version,
                tuple(endpoints),
                self.quota_share(model),
            )
            for model, endpoints in split.endpoints.items()
        }

    def _apply(self, endpoint: EndpointInfo, model: Model, split: _SplitUpdate) -> None:
        known = self._endpoints.get(endpoint.id)
        if known and known.model != model and not split.is_full:
            # It serves another model now, so the old model's router must remove it.
            split.endpoints[known.model].append(replace(known.info, state=EndpointState.REMOVED))
        if endpoint.state is EndpointState.REMOVED:
            self._endpoints.pop(endpoint.id, None)
            self.over_limit.discard(endpoint.id)
            split.endpoints[known.model if known else model].append(endpoint)
            return
        if model not in split.models and len(split.models) >= MAX_MODELS:
            self.over_limit.add(endpoint.id)
            self._endpoints.pop(endpoint.id, None)
            return
        split.models.add(model)
        self.over_limit.discard(endpoint.id)
        self._endpoints[endpoint.id] = _LabelledEndpoint(model, endpoint)
        split.endpoints[model].append(endpoint)

    def _sum_weights(self) -> None:
        weights: dict[Model, dict[Role, float]] = {}
        for endpoint in self._endpoints.values():
            info = endpoint.info
            role = self._roles[info.kind] if info.kind < len(self._roles) else Role.DECODE
            if info.state is EndpointState.READY:
                by_role = weights.setdefault(endpoint.model, {})
                by_role[role] = by_role.get(role, 0.0) + info.weight
        self._weights = weights

    def _capacity(self, model: Model) -> float:
        """Return the weight that can serve both prefill and decode; 0 if either has no ready endpoint."""
        weights = self._weights.get(model, {})
        both = weights.get(Role.PREFILL_AND_DECODE, 0.0)
        return min(weights.get(Role.PREFILL, 0.0) + both, weights.get(Role.DECODE, 0.0) + both)

    def quota_share(self, model: Model) -> float:
        """Return the model's part of the fleet's capacity, and so of the quotas; 1 if its capacity is 0."""
        total = sum(self._capacity(other) for other in self._weights)
        return self._capacity(model) / total if total and self._capacity(model) else 1.0

    def listed(self) -> list[Model]:
        """Return every model and version that the endpoint list names, ready or not."""
        return sorted({endpoint.model for endpoint in self._endpoints.values()})

    def serving(self, name: str = "") -> list[Model]:
        """Return the versions of a model (of all, if empty) with ready endpoints for prefill and decode."""
        return sorted(m for m in self._weights if (not name or m.name == name) and self._capacity(m) > 0)

    def ready(self, name: str, version: str = "") -> bool:
        """Whether a request for a model (and a version, unless empty) would find ready endpoints."""
        return any(not version or m.version == version for m in self.serving(name))

    def choose(self, name: str, version: str, session: str) -> Model:
        """Return the model and version that serve a request; NotServedError if none can."""
        listed = self.listed()
        names = {model.name for model in listed}
        if not listed:
            return Model()  # Before the first list: the router without endpoints rejects the request.
        if not name and len(names) > 1:
            raise NotServedError("model", f"is required, as more than one is served: {_shown(names)}")
        name = name or next(iter(names))
        if name in names:
            versions = _matching_versions(listed, name, version)
            return self._choose_version(name, versions, session)
        if names == {""} and not version:
            return Model()  # The endpoints have no labels: they serve any model.
        shown = f"{name[:MAX_NAME_SHOWN_CHARS]!r} is not served here; {_shown(names)}"
        raise NotServedError("model", shown)

    def _choose_version(self, name: str, versions: list[Model], session: str) -> Model:
        able = [model for model in versions if self._capacity(model) > 0]
        if not able:
            reason = f"no engines of {name[:MAX_NAME_SHOWN_CHARS]!r} are ready"
            raise NotServedError("model", reason, is_listed=True)
        return able[0] if len(able) == 1 else max(able, key=lambda model: self._rank(model, session))

    def _rank(self, model: Model, session: str) -> float:
        key = f"{model.name}\0{model.version}\0{session}".encode()
        position = (xxhash.xxh3_64_intdigest(key) + 1) / (2**64 + 1)
        return self._capacity(model) / -math.log(position)


def _matching_versions(listed: list[Model], name: str, version: str) -> list[Model]:
    versions = [model for model in listed if model.name == name]
    matching = [model for model in versions if version in ("", model.version)]
    if matching:
        return matching
    shown_version, shown_name = version[:MAX_VERSION_SHOWN_CHARS], name[:MAX_NAME_SHOWN_CHARS]
    raise NotServedError(
        "model_version",
        f"{shown_version!r} of {shown_name!r} is not served here; {_shown({m.version for m in versions})}",
    )


def _shown(names: Iterable[str]) -> str:
    """Return names for the text of an error."""
    ordered = sorted(names)
    if not ordered:
        return "none is listed"
    shown = ", ".join(repr(name[:MAX_NAME_SHOWN_CHARS]) for name in ordered[:MAX_NAMES_SHOWN])
    return shown + (" ..." if len(ordered) > MAX_NAMES_SHOWN else "")
