"""Server lists from files, feeds and the disk: late, stale, broken, and what a restart makes of them."""

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

DAY = 86_400_000_000


def entry(number: int, **more: object) -> pb.ServerEntry:
    fields: dict[str, object] = {"id": number, "address": f"127.0.0.1:{number}", "kind": "r", **more}
    return pb.ServerEntry(**fields)  # type: ignore[arg-type]


def test_changes_add_up_and_a_start_keeps_its_time_whatever_the_wall_clock_does() -> None:
    roster = EndpointList(["r", "w"])
    first = pb.ServerList(version=1, servers=[entry(1), entry(2, started_unix_us=DAY)])
    one = roster.take(first, 50_000_000, wall=DAY + 3_000_000)
    assert [s.started_at_us for s in one.change.endpoints] == [0, 47_000_000]
    # The same start told again, with the wall clock set back by an hour: the same time.
    again = roster.take(
        pb.ServerList(
            version=2,
            servers=[entry(2, started_unix_us=DAY, state=pb.ServerEntry.DRAINING)],
            kind=pb.ServerList.DELTA,
        ),
        60_000_000,
        wall=DAY - 3_600_000_000,
    )
    assert (again.change.endpoints[0].started_at_us, again.change.endpoints[0].state) == (
        47_000_000,
        EndpointState.DRAINING,
    )
    # A later start under the same id is a new one, and never in the future.
    third = roster.take(
        pb.ServerList(
            version=3, servers=[entry(2, started_unix_us=DAY + 9_000_000)], kind=pb.ServerList.DELTA
        ),
        61_000_000,
        wall=DAY + 5_000_000,
    )
    assert third.change.endpoints[0].started_at_us == 61_000_000
    assert sorted(roster.held) == [1, 2]
    roster.take(
        pb.ServerList(version=4, kind=pb.ServerList.DELTA, servers=[entry(1, state=pb.ServerEntry.GONE)]),
        62_000_000,
    )
    assert sorted(roster.held) == [2]
    failed = roster.take(pb.ServerList(kind=pb.ServerList.FAILED), 63_000_000)
    assert failed.change.kind is UpdateKind.FAILED and sorted(roster.held) == [2]


@pytest.mark.parametrize(
    ("bad", "field"),
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
def test_a_list_with_anything_wrong_is_turned_down_whole(bad: dict[str, object], field: str) -> None:
    roster = EndpointList(["r"])
    roster.take(pb.ServerList(version=1, servers=[entry(7)]), 1)
    wrong = entry(2)
    wrong.MergeFrom(pb.ServerEntry(**bad))  # type: ignore[arg-type]
    if bad.get("id") == 0:
        wrong.id = 0
    with pytest.raises(InvalidListError, match=field.replace("[", r"\[")):
        roster.take(pb.ServerList(version=2, servers=[entry(1), wrong]), 2)
    assert list(roster.held) == [7] and roster.version == 1


def test_the_list_on_disk_survives_a_half_written_one(tmp_path: Path) -> None:
    path = str(tmp_path / "list")
    assert not load_cache(path).servers
    save_cache(path, pb.ServerList(version=5, servers=[entry(1), entry(2, started_unix_us=5)]))
    (tmp_path / "list.new").write_text("servers { id: 3 addre")  # a crash in mid-write leaves this
    kept = load_cache(path)
    assert kept.version == 5 and [e.id for e in kept.servers] == [1, 2]
    (tmp_path / "list").write_text("servers { id: 3 addre")
    with pytest.raises(InvalidListError):
        load_cache(path)


def test_a_file_is_read_again_when_it_changes_and_told_as_failed_when_it_cant_be(tmp_path: Path) -> None:
    async def go() -> None:
        path = tmp_path / "servers"
        path.write_text('version: 1 servers { id: 1 address: "a:1" kind: "r" }')
        got: list[pb.ServerList] = []
        source = FileSource(str(path), 5_000)
        source.start(got.append)
        await until(lambda: len(got) == 1)
        path.write_text('version: 2 servers { id: 1 address: "a:1" ki')
        await until(lambda: len(got) == 2)
        assert got[1].kind == pb.ServerList.FAILED
        path.write_text('version: 3 servers { id: 4 address: "a:1" kind: "r" }')
        await until(lambda: len(got) == 3)
        assert got[2].servers[0].id == 4
        source.subscribe(True)
        await until(lambda: len(got) == 4)
        path.unlink()
        await until(lambda: len(got) == 5)
        await source.close()

    run(go)


def test_a_feed_is_followed_through_silence_failure_and_stale_lists() -> None:
    async def go() -> None:
        feed = Feed()
        address = await feed.start()
        feed.change(entry(1))
        got: list[pb.ServerList] = []
        source = FeedSource(address, "0")
        source.start(got.append)
        source.subscribe(True)
        await until(lambda: len(got) == 1)
        assert got[0].kind == pb.ServerList.FULL
        feed.change(entry(2))
        await until(lambda: len(got) == 2)
        feed.push(
            pb.ServerList(kind=pb.ServerList.DELTA, version=1, servers=[entry(1, state=pb.ServerEntry.GONE)])
        )
        feed.set_silent(True)
        feed.change(entry(3))
        source.fetch()  # asked for, the whole list comes all the same
        await until(lambda: len(got) == 3)
        assert [e.id for e in got[2].servers] == [1, 2, 3] and source.dropped == 1
        feed.set_failing(True)
        await until(lambda: len(got) == 4)
        assert got[3].kind == pb.ServerList.FAILED and source.stream is None
        source.subscribe(True)
        await until(lambda: len(got) == 5)
        assert got[4].kind == pb.ServerList.FAILED
        feed.set_failing(False)
        source.subscribe(True)
        source.subscribe(True)  # one stream is enough
        await until(lambda: len(got) == 6)
        assert got[5].kind == pb.ServerList.FULL and len(feed.watchers) == 1
        await feed.stop()
        await until(lambda: len(got) == 7)
        await source.close()
        await asyncio.sleep(0)

    run(go)
