"""A host whose direct path to the table is broken uses another host as relay or fails at once."""

from __future__ import annotations

import asyncio
from typing import cast

import msgspec
import pytest

from lentilpath_core.errors import (
    OutcomeUnknown,
    PeerNotReached,
    PeerUnavailable,
    TableBusy,
    TableUnavailable,
)
from lentilpath_core.ids import HostId, Incarnation, RowVersion, ZoneId
from lentilpath_core.peers import PeerRequest
from lentilpathd._peers import PeerBus, PeerHandler
from lentilpathd._pool._direct_path import FAILURE_THRESHOLD
from lentilpathd._pool._metrics import PoolMetrics
from lentilpathd._pool._ports import PartitionTransaction
from lentilpathd._pool._table_path import TablePath
from tests.common.tables import OnePartitionTable

PUT = PartitionTransaction("lentilpath-jobs", "0", puts=(("a", b"\x00value"),))


class InMemoryBus:
    """Delivers requests to other hosts of the test, with messages converted as on the wire."""

    def __init__(self, host: str, hosts: dict[str, InMemoryBus]) -> None:
        self.host = HostId(host)
        self.handlers: dict[str, PeerHandler] = {}
        self.hosts = hosts
        self.request_count = 0
        self.silence: type[PeerUnavailable] = PeerUnavailable
        hosts[host] = self

    def handle(self, topic, handler):
        self.handlers[topic] = handler

    async def ask(self, host, topic, message, answer, timeout):
        self.request_count += 1
        if host not in self.hosts:
            raise self.silence(host)
        body = msgspec.to_builtins(message)
        request = PeerRequest(1, self.host, Incarnation("i"), ZoneId("z"), topic, body)
        reply = await self.hosts[host].handlers[topic](request)
        return msgspec.convert(msgspec.to_builtins(reply), answer)


def make_paths(*names: str) -> tuple[list[TablePath], list[OnePartitionTable], list[InMemoryBus]]:
    hosts: dict[str, InMemoryBus] = {}
    buses = [InMemoryBus(name, hosts) for name in names]
    tables = [OnePartitionTable() for _ in names]
    known = tuple(HostId(name) for name in names)
    paths = [
        TablePath(table, cast(PeerBus, bus), lambda now: known, PoolMetrics())
        for table, bus in zip(tables, buses, strict=True)
    ]
    return paths, tables, buses


async def break_direct_path(path: TablePath, table: OnePartitionTable) -> None:
    table.is_unavailable = True
    for _ in range(int(FAILURE_THRESHOLD)):
        with pytest.raises(TableUnavailable):
            await path.read_partition("lentilpath-jobs", "0", "", "", 0.1)
    assert not path.is_direct_path_up()


def test_a_write_is_relayed_while_the_direct_path_is_broken():
    async def scenario():
        (first, _), (own, other), _ = make_paths("h1", "h2")
        await break_direct_path(first, own)
        commit = await first.commit(PUT, 0.1)
        assert commit.applied
        assert other.rows["a"].value == b"\x00value"
        read = await first.read_partition("lentilpath-jobs", "0", "", "", 0.1)
        assert read.rows[0].value == b"\x00value"

    asyncio.run(scenario())


def test_a_condition_that_does_not_hold_is_reported_through_a_relay():
    async def scenario():
        (first, _), (own, _), _ = make_paths("h1", "h2")
        await break_direct_path(first, own)
        twice = PartitionTransaction(
            "lentilpath-jobs", "0", checks=(("a", RowVersion(0)),), puts=(("a", b"1"),)
        )
        assert (await first.commit(twice, 0.1)).applied
        assert not (await first.commit(twice, 0.1)).applied

    asyncio.run(scenario())


def test_nothing_is_sent_while_no_host_reaches_the_table():
    async def scenario():
        (first, second), tables, buses = make_paths("h1", "h2")
        await break_direct_path(first, tables[0])
        await break_direct_path(second, tables[1])
        with pytest.raises(TableUnavailable):
            await first.commit(PUT, 0.1)
        requests_before = buses[0].request_count
        with pytest.raises(TableUnavailable):
            await first.commit(PUT, 0.1)
        assert buses[0].request_count == requests_before

    asyncio.run(scenario())


def test_a_write_whose_relay_does_not_answer_has_an_unknown_outcome():
    async def scenario():
        (first, _), tables, buses = make_paths("h1", "h2")
        await break_direct_path(first, tables[0])
        del buses[0].hosts["h2"]
        with pytest.raises(OutcomeUnknown):
            await first.commit(PUT, 0.1)

    asyncio.run(scenario())


def test_the_direct_path_is_used_again_when_a_probe_is_answered():
    async def scenario():
        (first, _), (own, other), _ = make_paths("h1", "h2")
        await break_direct_path(first, own)
        own.is_unavailable = False
        probing = asyncio.create_task(first.run())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        probing.cancel()
        await asyncio.gather(probing, return_exceptions=True)
        await first.commit(PUT, 0.1)
        assert "a" in own.rows
        assert "a" not in other.rows

    asyncio.run(scenario())


def test_the_direct_path_is_kept_after_two_refusals_of_a_busy_table():
    async def scenario():
        (first, _), (own, other), _ = make_paths("h1", "h2")
        own.is_busy = True
        for _ in range(2):
            with pytest.raises(TableBusy):
                await first.commit(PUT, 0.1)
        own.is_busy = False
        await first.commit(PUT, 0.1)
        assert "a" in own.rows
        assert "a" not in other.rows

    asyncio.run(scenario())


def test_the_commit_timeout_grows_while_the_table_is_slow():
    async def scenario():
        (first, _), (own, _), _ = make_paths("h1", "h2")
        usual = first.get_commit_timeout()
        own.is_unavailable = True
        own.unavailable_error = OutcomeUnknown("no answer in time")
        with pytest.raises(OutcomeUnknown):
            await first.commit(PUT, usual)
        assert first.get_commit_timeout() > usual

    asyncio.run(scenario())


def test_the_direct_path_is_kept_while_a_slow_table_still_answers_some_calls():
    async def scenario():
        (first, _), (own, other), _ = make_paths("h1", "h2")
        await first.read_partition("lentilpath-jobs", "0", "", "", 0.1)
        own.is_unavailable = True
        own.unavailable_error = OutcomeUnknown("no answer in time")
        for _ in range(4):
            with pytest.raises(OutcomeUnknown):
                await first.commit(PUT, 0.1)
        own.is_unavailable = False
        await first.commit(PUT, 0.1)
        assert "a" in own.rows
        assert "a" not in other.rows

    asyncio.run(scenario())


def test_a_write_to_an_unavailable_table_is_relayed_at_once():
    async def scenario():
        (first, _), (own, other), _ = make_paths("h1", "h2")
        own.is_unavailable = True
        assert (await first.commit(PUT, 0.1)).applied
        assert "a" in other.rows

    asyncio.run(scenario())


def test_an_answer_to_an_older_call_does_not_restore_a_broken_direct_path():
    async def scenario():
        (first, _), (own, _), _ = make_paths("h1", "h2")
        own.follow_gate = asyncio.Event()
        following = asyncio.create_task(first.follow("lentilpath-jobs", RowVersion(0), 1.0, 2.0))
        await asyncio.sleep(0.01)
        await break_direct_path(first, own)
        own.follow_gate.set()
        await following
        assert not first.is_direct_path_up()

    asyncio.run(scenario())


def test_a_dead_relay_leaves_one_write_in_doubt_and_is_then_left_out():
    async def scenario():
        (first, _, _), tables, buses = make_paths("h1", "h2", "h3")
        await break_direct_path(first, tables[0])
        del buses[0].hosts["h2"]
        unclear = 0
        for number in range(6):
            put = PartitionTransaction("lentilpath-jobs", "0", puts=((f"k{number}", b"1"),))
            try:
                await first.commit(put, 0.1)
            except OutcomeUnknown:
                unclear += 1
        assert unclear == 1
        assert len(tables[2].rows) == 5

    asyncio.run(scenario())


def test_a_write_that_did_not_leave_for_a_relay_goes_to_the_next_one():
    async def scenario():
        (first, _, _), tables, buses = make_paths("h1", "h2", "h3")
        await break_direct_path(first, tables[0])
        del buses[0].hosts["h2"]
        buses[0].silence = PeerNotReached
        for number in range(4):
            put = PartitionTransaction("lentilpath-jobs", "0", puts=((f"k{number}", b"1"),))
            assert (await first.commit(put, 0.1)).applied
        assert len(tables[2].rows) == 4

    asyncio.run(scenario())
