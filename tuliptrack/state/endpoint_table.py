"""The endpoint list as this node last received it, with indexes for the queries of routing decisions."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, replace
from random import Random

from tuliptrack.interface import EndpointInfo, EndpointListUpdate, EndpointState, Role, UpdateKind
from tuliptrack.state.candidates import Candidates
from tuliptrack.state.capacity_index import CapacityIndex
from tuliptrack.state.ejection import Ejection, EjectionScope
from tuliptrack.state.endpoint import Endpoint, WaitingAttempt
from tuliptrack.state.projected_loads import EndpointGroup
from tuliptrack.state.role_statistics import AnswerSample
from tuliptrack.state.selection import lowest_ranked, random_member
from tuliptrack.state.stream_rate import StreamRate
from tuliptrack.structures.grouped_values import GroupedValues
from tuliptrack.structures.rendezvous import RendezvousHasher
from tuliptrack.structures.sorted_members import SortedMembers

__all__ = ["MAX_REMOVED", "AppliedUpdate", "EndpointTable"]

MAX_REMOVED = 128
"""Maximum number of removed endpoints that are remembered, so that an endpoint that is listed again keeps its
ejections and slots."""
MIN_WEIGHT = 1e-6


@dataclass(frozen=True, slots=True)
class AppliedUpdate:
    """What an update of the endpoint list has changed."""

    changed: list[Endpoint]
    """New endpoints, and those whose entry has changed."""
    forgotten: list[int]
    """Ids of endpoints that were dropped from the table."""


class EndpointTable:
    """All known endpoints. Each update maintains the indexes, so queries do not examine every endpoint.

    The table holds the listed endpoints, up to `MAX_REMOVED` removed ones, and removed ones that are still in
    use.
    """

    def __init__(self, roles: tuple[Role, ...], groups_by_zone: bool = False) -> None:
        """Create an empty table.

        Args:
            roles: the role of each endpoint kind, by the index of the kind.
            groups_by_zone: whether to group endpoints by zone too, because cross-zone traffic is budgeted.
        """
        self.roles, self.groups_by_zone = roles, groups_by_zone
        self.endpoints: dict[int, Endpoint] = {}
        self.waiting: dict[int, Endpoint] = {}
        """Endpoints with waiting attempts of this node."""
        self.streaming: dict[int, Endpoint] = {}
        """Endpoints with running streams of this node."""
        self.loaded: dict[int, Endpoint] = {}
        """Endpoints with projected tokens of this node."""
        self.stream_rate = StreamRate()
        """Rate at which this node's streams end, over all endpoints together."""
        self.groups: list[EndpointGroup] = []
        """Every group that ever had a ready endpoint; the index of a group never changes."""
        self.memory_shares: GroupedValues[int] = GroupedValues()
        """Reported memory shares of the ready endpoints that decode."""
        self.prefill_latencies: GroupedValues[int] = GroupedValues()
        """Smoothed prefill latencies of the ready endpoints that prefill; 0 before the first prefill."""
        self.capacity = CapacityIndex()
        self._group_indexes: dict[EndpointGroup, int] = {}
        self._reported: dict[int, Endpoint] = {}
        """Endpoints with recent load reports, the most recently reported last."""
        self._ejected: dict[int, Endpoint] = {}
        self._removed: dict[int, Endpoint] = {}
        """Removed endpoints that are still known, the most recently removed last."""
        self._ready: dict[Role, SortedMembers[Endpoint]] = {role: SortedMembers() for role in Role}
        self._recently_started: dict[Role, SortedMembers[Endpoint]] = {role: SortedMembers() for role in Role}
        """Ready endpoints that were listed with a start time and are not yet known to be warm."""
        self._earliest_start_us: float = math.inf
        """A lower bound on the start times in `_recently_started`."""
        self._by_cell: dict[int, SortedMembers[Endpoint]] = {}
        """Ready endpoints that decode, by cell."""
        self._prefill_hasher: RendezvousHasher[Endpoint] | None = None

    # Endpoint list updates

    def apply(self, update: EndpointListUpdate, now_us: int) -> AppliedUpdate:
        """Apply an update. Endpoints that are missing from a full list are treated as removed."""
        changed: dict[int, Endpoint] = {}
        for info in self._entries_of(update):
            endpoint = self._apply_entry(info, now_us)
            if endpoint is not None:
                changed[info.id] = endpoint
        for stage in (Role.PREFILL, Role.DECODE):
            self.capacity.note_ready_count(stage, len(self._ready[stage]))
        for members in self._recently_started.values():  # The endpoints' capacity shares may have changed.
            for endpoint in members:
                endpoint.no_slot_before_us = 0
        return AppliedUpdate(list(changed.values()), self._forget_removed(now_us))

    def _entries_of(self, update: EndpointListUpdate) -> Iterable[EndpointInfo]:
        if update.kind is UpdateKind.DELTA:
            return update.endpoints
        named = {info.id for info in update.endpoints}
        absent = [
            endpoint.info
            for endpoint in self.endpoints.values()
            if endpoint.id not in named and endpoint.info.state is not EndpointState.REMOVED
        ]
        absent.sort(key=lambda info: info.id)
        return [*(replace(info, state=EndpointState.REMOVED) for info in absent), *update.endpoints]

    def _apply_entry(self, info: EndpointInfo, now_us: int) -> Endpoint | None:
        """Apply one entry; return its endpoint, or None if the entry is unchanged and not a removal."""
        endpoint = self.endpoints.get(info.id)
        if endpoint is None:
            endpoint = self.endpoints[info.id] = Endpoint(info, self._role_of(info.kind))
            self.capacity.add_known(endpoint.role, info.weight)
            self._add_to_indexes(endpoint)
        elif info is not endpoint.info and info != endpoint.info:
            self._replace_entry(endpoint, info, now_us)
        elif info.state is not EndpointState.REMOVED:
            return None
        if info.state is EndpointState.REMOVED:
            self._removed.pop(info.id, None)
            self._removed[info.id] = endpoint
        return endpoint

    def _replace_entry(self, endpoint: Endpoint, info: EndpointInfo, now_us: int) -> None:
        """Replace the entry of a known endpoint.

        A later start time means a new process: the endpoint's ejections, slots and most averages are reset.
        """
        self._remove_from_indexes(endpoint)
        self.capacity.change_weight(endpoint.role, endpoint.info.weight, info.weight)
        if info.started_at_us > endpoint.info.started_at_us:
            endpoint.ejections = {}
            endpoint.prefill_latency_us = 0.0
            endpoint.reported_memory_share = 0.0
            endpoint.reported_waiting_tokens = 0.0
            endpoint.last_slot = 0
            self.reset_stream_rate(endpoint, now_us)
        endpoint.info = info
        self._removed.pop(info.id, None)
        self._add_to_indexes(endpoint)

    def _add_to_indexes(self, endpoint: Endpoint) -> None:
        info, role = endpoint.info, endpoint.role
        if info.state is not EndpointState.READY:
            return
        for served in _served_roles(role):
            self._ready[served].put(info.id, endpoint)
            if info.started_at_us:
                self._recently_started[served].put(info.id, endpoint)
                self._earliest_start_us = min(self._earliest_start_us, info.started_at_us)
        endpoint.group = self._group_index(EndpointGroup(role, info.zone if self.groups_by_zone else 0))
        if role is not Role.DECODE:
            self._prefill_hasher = None
            self.prefill_latencies.put(info.id, endpoint.group, endpoint.prefill_latency_us)
        if role is not Role.PREFILL:
            endpoint.projected_load = endpoint.projected_tokens / max(info.weight, MIN_WEIGHT)
            self.memory_shares.put(info.id, endpoint.group, endpoint.reported_memory_share)
            self._by_cell.setdefault(info.cell, SortedMembers()).put(info.id, endpoint)
        self.capacity.add_ready(role, info)

    def _remove_from_indexes(self, endpoint: Endpoint) -> None:
        info, role = endpoint.info, endpoint.role
        if info.state is not EndpointState.READY:
            return
        for members in (*self._ready.values(), *self._recently_started.values()):
            members.remove(info.id)
        if role is not Role.DECODE:
            self._prefill_hasher = None
            self.prefill_latencies.remove(info.id)
        if role is not Role.PREFILL:
            self.memory_shares.remove(info.id)
            cell = self._by_cell[info.cell]
            cell.remove(info.id)
            if not cell:
                del self._by_cell[info.cell]
        self.capacity.remove_ready(role, info)

    def _group_index(self, group: EndpointGroup) -> int:
        index = self._group_indexes.get(group)
        if index is None:
            index = self._group_indexes[group] = len(self.groups)
            self.groups.append(group)
        return index

    def _forget_removed(self, now_us: int) -> list[int]:
        """Drop the endpoints removed longest ago, unless this node has attempts there; return their ids."""
        idle = [endpoint for endpoint in self._removed.values() if not (endpoint.waiting or endpoint.streams)]
        forgotten = idle[:-MAX_REMOVED]
        for endpoint in forgotten:
            del self.endpoints[endpoint.id], self._removed[endpoint.id]
            self._ejected.pop(endpoint.id, None)
            self._reported.pop(endpoint.id, None)
            self.loaded.pop(endpoint.id, None)
            self.stream_rate.subtract(endpoint.stream_rate, now_us)
            self.capacity.remove_known(endpoint.role, endpoint.info.weight)
        return [endpoint.id for endpoint in forgotten]

    def _role_of(self, kind: int) -> Role:
        return self.roles[kind] if kind < len(self.roles) else Role.DECODE

    # This node's own traffic

    def add_waiting(self, endpoint: Endpoint, attempt: WaitingAttempt) -> None:
        """Record an attempt that was just sent."""
        endpoint.add_waiting(attempt)
        self.waiting[endpoint.info.id] = endpoint

    def remove_waiting(self, endpoint: Endpoint, request_id: int) -> bool:
        """Remove an attempt that was answered or has ended; False if its stream had begun before."""
        was_waiting = endpoint.remove_waiting(request_id)
        if not endpoint.waiting:
            self.waiting.pop(endpoint.info.id, None)
        return was_waiting

    def begin_stream(self, endpoint: Endpoint, request_id: int, now_us: int) -> None:
        """Record that a stream has begun."""
        endpoint.stream_rate.begin_stream(now_us)
        self.stream_rate.begin_stream(now_us)
        endpoint.streams[request_id] = now_us
        self.streaming[endpoint.info.id] = endpoint

    def end_stream(self, endpoint: Endpoint, request_id: int, now_us: int, is_completed: bool) -> int:
        """Record that a stream has ended; return its duration in microseconds."""
        endpoint.stream_rate.end_stream(now_us, is_completed)
        self.stream_rate.end_stream(now_us, is_completed)
        began_at_us = endpoint.streams.pop(request_id)
        if not endpoint.streams:
            self.streaming.pop(endpoint.info.id, None)
        return now_us - began_at_us

    def add_projected_tokens(self, endpoint: Endpoint, tokens: float) -> None:
        """Add the projected tokens of a request, or subtract them (negative)."""
        in_use = endpoint.waiting or endpoint.streams
        endpoint.projected_tokens = max(endpoint.projected_tokens + tokens, 0.0) if in_use else 0.0
        endpoint.projected_load = endpoint.projected_tokens / max(endpoint.info.weight, MIN_WEIGHT)
        if endpoint.projected_tokens:
            self.loaded[endpoint.info.id] = endpoint
        else:
            self.loaded.pop(endpoint.info.id, None)

    def record_report(self, endpoint: Endpoint, report: Mapping[str, float], now_us: int) -> None:
        """Apply a load report."""
        endpoint.record_report(report, now_us)
        self._reported.pop(endpoint.info.id, None)
        self._reported[endpoint.info.id] = endpoint
        if endpoint.info.id in self.memory_shares:
            self.memory_shares.put(endpoint.info.id, endpoint.group, endpoint.reported_memory_share)

    def record_answer(self, endpoint: Endpoint, sample: AnswerSample, now_us: int) -> None:
        """Update the endpoint's averages after an attempt was answered."""
        endpoint.record_answer(sample, now_us)
        if endpoint.info.id in self.prefill_latencies:
            self.prefill_latencies.put(endpoint.info.id, endpoint.group, endpoint.prefill_latency_us)

    def eject(self, endpoint: Endpoint, scope: EjectionScope, ejection: Ejection) -> None:
        """Record an ejection."""
        endpoint.ejections[scope] = ejection
        self._ejected[endpoint.info.id] = endpoint

    def reset_stream_rate(self, endpoint: Endpoint, now_us: int) -> None:
        """Reset an endpoint's streaming time and completed streams; its running streams still count."""
        self.stream_rate.subtract(endpoint.stream_rate, now_us)
        endpoint.stream_rate = StreamRate(endpoint.stream_rate.streams, as_of_us=now_us)

    # Queries

    def ready(self, role: Role) -> SortedMembers[Endpoint]:
        """Return the ready endpoints that serve a stage, including those of both roles, sorted by id."""
        return self._ready[role]

    def in_cell(self, cell: int) -> Collection[Endpoint]:
        """Return the ready endpoints of a cell that decode, sorted by id."""
        return self._by_cell.get(cell, ())

    def ejected(self, role: Role) -> list[Endpoint]:
        """Return the ready endpoints of a role that have any ejection."""
        for endpoint_id in [key for key, endpoint in self._ejected.items() if not endpoint.ejections]:
            del self._ejected[endpoint_id]
        return [endpoint for key, endpoint in self._ejected.items() if key in self._ready[role]]

    def started_since(self, role: Role, since_us: int) -> Collection[Endpoint]:
        """Return the ready endpoints of a role that started after `since_us`, sorted by id.

        All other endpoints count as warm from this call on, so `since_us` must not decrease from call to
        call.
        """
        if self._earliest_start_us <= since_us:
            self._drop_started_by(since_us)
        return self._recently_started[role]

    def _drop_started_by(self, since_us: int) -> None:
        for members in self._recently_started.values():
            for endpoint in [endpoint for endpoint in members if endpoint.info.started_at_us <= since_us]:
                members.remove(endpoint.id)
        starts = (
            endpoint.info.started_at_us for members in self._recently_started.values() for endpoint in members
        )
        self._earliest_start_us = min(starts, default=math.inf)

    def _observed_since(self, since_us: int) -> dict[int, Endpoint]:
        """Return the endpoints with attempts or streams of this node, or with a report after `since_us`."""
        for endpoint_id, endpoint in list(self._reported.items()):
            if endpoint.reported_at_us > since_us:
                break
            del self._reported[endpoint_id]
        return self._reported | self.waiting | self.streaming

    def choose_lowest_score(
        self, candidates: Candidates, score: Callable[[Endpoint], float], since_us: int, random: Random
    ) -> Endpoint | None:
        """Return a uniformly random one of the prefill candidates with the lowest score.

        Only endpoints that were observed after `since_us` are examined individually. The score of all others
        must depend on the group and the prefill latency only, and increase with that latency.
        """
        observed = self._observed_since(since_us)
        examined = candidates.among(observed.values())
        left_out = candidates.excluded | {key for key in observed if key in self.prefill_latencies}
        without_latency = self.prefill_latencies.counts_up_to(0.0, left_out)
        scores_and_counts: list[tuple[float, int]] = []
        for group, count in without_latency.items():
            if count:
                first = next(key for _, key in self.prefill_latencies.ascending(group) if key not in left_out)
                scores_and_counts.append((score(self.endpoints[first]), count))
            rising = self.prefill_latencies.ascending(group, 0.0)
            examined += _first_tied((self.endpoints[key] for _, key in rising if key not in left_out), score)
        lowest_examined = lowest_ranked(examined, score)
        scores = [
            *(group_score for group_score, _ in scores_and_counts),
            *(score(endpoint) for endpoint in lowest_examined[:1]),
        ]
        lowest = min(scores, default=math.inf)
        tied = [endpoint for endpoint in lowest_examined if score(endpoint) == lowest]
        unexamined_tied = sum(count for group_score, count in scores_and_counts if group_score == lowest)
        if not unexamined_tied:
            return random_member(sorted(tied, key=lambda endpoint: endpoint.id), random)
        return candidates.draw(
            lambda endpoint: endpoint in candidates and score(endpoint) == lowest,
            unexamined_tied + len(tied),
            random,
        )

    def prefill_ranking(self) -> RendezvousHasher[Endpoint]:
        """Return a hasher that ranks the ready endpoints that prefill."""
        if self._prefill_hasher is None:
            endpoints = list(self._ready[Role.PREFILL])
            self._prefill_hasher = RendezvousHasher(
                endpoints,
                [endpoint.id for endpoint in endpoints],
                [endpoint.info.weight for endpoint in endpoints],
            )
        return self._prefill_hasher

    def oldest_waiting(self, role: Role) -> Iterable[tuple[Endpoint, WaitingAttempt]]:
        """Yield the oldest waiting attempt at each ready endpoint of a role."""
        ready = self._ready[role]
        for endpoint_id, endpoint in self.waiting.items():
            oldest = endpoint.oldest_waiting
            if oldest and endpoint_id in ready:
                yield endpoint, oldest


def _served_roles(role: Role) -> tuple[Role, ...]:
    """Return the roles under which an endpoint is indexed."""
    return (role, Role.PREFILL, Role.DECODE) if role is Role.PREFILL_AND_DECODE else (role,)


def _first_tied(endpoints: Iterable[Endpoint], score: Callable[[Endpoint], float]) -> list[Endpoint]:
    """Return the first endpoint, and the endpoints directly after it that have the same score."""
    found: list[Endpoint] = []
    for endpoint in endpoints:
        if found and score(endpoint) != score(found[0]):
            break
        found.append(endpoint)
    return found
