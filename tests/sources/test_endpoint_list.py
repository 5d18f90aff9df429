"""Endpoint lists from files, feeds and the cache on disk: late, stale or malformed, and after a restart."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from world import run, until

from tuliptrack.interface import EndpointState, UpdateKind
from tuliptrack.lab.feed import Feed
from tuliptrack.proto import fleet_pb2 as pb
from tuliptrack.sources.endpoint_list import EndpointList, InvalidListError, load_cache, save_cache
from tuliptrack.sources.feed import FeedSource
from tuliptrack.sources.file import FileSource

DAY_US = 86_400_000_000


def entry(endpoint_id: int, **others: object) -> pb.ServerEntry:
    fields: dict[str, object] = {
        "id": endpoint_id,
        "address": f"127.0.0.1:{endpoint_id}",
        "kind": "r",
        **others,
    }
    return pb.ServerEntry(**fields)  # type: ignore[arg-type]


def test_updates_add_up_and_a_start_keeps_its_time_whatever_the_wall_clock_does() -> None:
    endpoints = EndpointList(["r", "w"])
    first_message = pb.ServerList(version=1, servers=[entry(1), entry(2, started_unix_us=DAY_US)])
    first_update = endpoints.apply(first_message, 50_000_000, wall_us=DAY_US + 3_000_000)
    assert [endpoint.started_at_us for endpoint in first_update.update.endpoints] == [0, 47_000_000]
    # The same start listed again, with the wall clock set back by an hour: the same time.
    second_update = endpoints.apply(
        pb.ServerList(
            version=2,
            servers=[entry(2, started_unix_us=DAY_US, state=pb.ServerEntry.DRAINING)],
            kind=pb.ServerList.DELTA,
        ),
        60_000_000,
        wall_us=DAY_US - 3_600_000_000,
    )
    assert (second_update.update.endpoints[0].started_at_us, second_update.update.endpoints[0].state) == (
        47_000_000,
        EndpointState.DRAINING,
    )
    # A later start time under the same id means that the engine has restarted; one in the future counts as now.
    third_update = endpoints.apply(
        pb.ServerList(
            version=3, servers=[entry(2, started_unix_us=DAY_US + 9_000_000)], kind=pb.ServerList.DELTA
        ),
        61_000_000,
        wall_us=DAY_US + 5_000_000,
    )
    assert third_update.update.endpoints[0].started_at_us == 61_000_000
    assert sorted(endpoints.entries) == [1, 2]
    endpoints.apply(
        pb.ServerList(version=4, kind=pb.ServerList.DELTA, servers=[entry(1, state=pb.ServerEntry.GONE)]),
        62_000_000,
    )
    assert sorted(endpoints.entries) == [2]
    failed = endpoints.apply(pb.ServerList(kind=pb.ServerList.FAILED), 63_000_000)
    assert failed.update.kind is UpdateKind.FAILED and sorted(endpoints.entries) == [2]


@pytest.mark.parametrize(
    ("fields", "path"),
    [
        ({"id": 0}, "servers[1].id"),
        ({"id": 1}, "servers[1].id"),
        ({"kind": "x"}, "servers[1].kind"),
        ({"address": "x"}, "servers[1].address"),
        ({"address": "x:0"}, "servers[1].address"),
        ({"weight": float("nan")}, "servers[1].weight"),
        ({"weight": -1.0}, "servers[1].weight"),
        ({"started_unix_us": -5}, "servers[1].started_unix_us"),
    ],
)
def test_an_invalid_entry_is_left_out_and_named_and_affects_no_other(
    fields: dict[str, object], path: str
) -> None:
    """If one invalid entry made the whole list invalid, requests would still go to engines that it lists as
    draining."""
    endpoints = EndpointList(["r"])
    endpoints.apply(pb.ServerList(version=1, servers=[entry(7)]), 1)
    invalid = entry(2)
    invalid.MergeFrom(pb.ServerEntry(**fields))  # type: ignore[arg-type]
    if fields.get("id") == 0:
        invalid.id = 0
    draining = entry(7, state=pb.ServerEntry.DRAINING)
    listed = endpoints.apply(pb.ServerList(version=2, servers=[entry(1), invalid, draining]), 2)
    assert [reason.partition(":")[0] for reason in listed.left_out] == [path]
    assert list(endpoints.entries) == [1, 7] and endpoints.version == 2
    assert [endpoint.state for endpoint in listed.update.endpoints] == [
        EndpointState.READY,
        EndpointState.DRAINING,
    ]


@pytest.mark.parametrize("state", [pb.ServerEntry.DRAINING, pb.ServerEntry.GONE])
@pytest.mark.parametrize("fields", [{"kind": "x"}, {"address": "x"}, {"weight": 1e300}])
def test_an_invalid_entry_still_makes_a_leaving_engine_unready(
    fields: dict[str, object], state: pb.ServerEntry.State
) -> None:
    """In a delta, leaving out the invalid entry would keep the engine ready."""
    endpoints = EndpointList(["r"])
    endpoints.apply(pb.ServerList(version=1, servers=[entry(7), entry(8)]), 1)
    message = pb.ServerList(version=2, kind=pb.ServerList.DELTA, servers=[entry(7, state=state, **fields)])
    listed = endpoints.apply(message, 2)
    assert len(listed.left_out) == 1
    is_draining = state == pb.ServerEntry.DRAINING
    expected = EndpointState.DRAINING if is_draining else EndpointState.REMOVED
    assert [(endpoint.id, endpoint.state) for endpoint in listed.update.endpoints] == [(7, expected)]
    assert list(endpoints.entries) == ([7, 8] if is_draining else [8])


def test_a_list_of_an_unknown_kind_or_beyond_the_bound_is_rejected_and_nothing_changes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    endpoints = EndpointList(["r"])
    endpoints.apply(pb.ServerList(version=1, servers=[entry(7)]), 1)
    monkeypatch.setattr("tuliptrack.sources.endpoint_list.MAX_ENDPOINTS", 1)
    with pytest.raises(InvalidListError, match="servers: 2 entries"):
        endpoints.apply(pb.ServerList(version=2, servers=[entry(1), entry(2)]), 2)
    assert list(endpoints.entries) == [7] and endpoints.version == 1


def test_the_cached_list_survives_a_half_written_one(tmp_path: Path) -> None:
    path = str(tmp_path / "list")
    assert not load_cache(path).servers
    save_cache(path, pb.ServerList(version=5, servers=[entry(1), entry(2, started_unix_us=5)]))
    (tmp_path / "list.new").write_text("servers { id: 3 addre")  # a crash in mid-write leaves this
    cached = load_cache(path)
    assert cached.version == 5 and [server.id for server in cached.servers] == [1, 2]
    (tmp_path / "list").write_text("servers { id: 3 addre")
    with pytest.raises(InvalidListError):
        load_cache(path)


def test_a_file_is_read_again_when_it_changes_and_published_as_failed_when_unreadable(tmp_path: Path) -> None:
    async def scenario() -> None:
        path = tmp_path / "servers"
        path.write_text('version: 1 servers { id: 1 address: "a:1" kind: "r" }')
        lists: list[pb.ServerList] = []
        source = FileSource(str(path), 5_000)
        source.start(lists.append)
        await until(lambda: len(lists) == 1)
        path.write_text('version: 2 servers { id: 1 address: "a:1" ki')
        await until(lambda: len(lists) == 2)
        assert lists[1].kind == pb.ServerList.FAILED
        path.write_text('version: 3 servers { id: 4 address: "a:1" kind: "r" }')
        await until(lambda: len(lists) == 3)
        assert lists[2].servers[0].id == 4
        source.subscribe(True)
        await until(lambda: len(lists) == 4)
        path.unlink()
        await until(lambda: len(lists) == 5)
        await source.close()

    run(scenario)


def test_a_feed_is_followed_through_silence_failure_and_stale_lists() -> None:
    async def scenario() -> None:
        feed = Feed()
        address = await feed.start()
        feed.change(entry(1))
        lists: list[pb.ServerList] = []
        source = FeedSource(address, "0")
        source.start(lists.append)
        source.subscribe(True)
        await until(lambda: len(lists) == 1)
        assert lists[0].kind == pb.ServerList.FULL
        feed.change(entry(2))
        await until(lambda: len(lists) == 2)
        feed.push(
            pb.ServerList(kind=pb.ServerList.DELTA, version=1, servers=[entry(1, state=pb.ServerEntry.GONE)])
        )
        feed.set_silent(True)
        feed.change(entry(3))
        source.fetch()  # the full list comes although the stream is silent
        await until(lambda: len(lists) == 3)
        assert [server.id for server in lists[2].servers] == [1, 2, 3] and source.dropped_count == 1
        feed.set_failing(True)
        await until(lambda: len(lists) == 4)
        assert lists[3].kind == pb.ServerList.FAILED and not source.is_watching
        source.subscribe(True)
        await until(lambda: len(lists) == 5)
        assert lists[4].kind == pb.ServerList.FAILED
        feed.set_failing(False)
        source.subscribe(True)
        source.subscribe(True)  # one stream is enough
        await until(lambda: len(lists) == 6)
        assert lists[5].kind == pb.ServerList.FULL and len(feed.watchers) == 1
        await feed.stop()
        await until(lambda: len(lists) == 7)
        await source.close()
        await asyncio.sleep(0)

    run(scenario)
