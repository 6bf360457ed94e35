"""A leader that may have been followed by another takes no job that the other cannot know of."""

from __future__ import annotations

import asyncio

from lentilpath_core.errors import TableUnavailable
from lentilpath_core.ids import Epoch, HostId, Incarnation, Instant, JobId, RowVersion
from lentilpath_core.pool import JobAccepted, JobCancelled
from lentilpath_core.settings import Address
from lentilpathd._pool import _leadership
from lentilpathd._pool._job_feed import JobFeed
from lentilpathd._pool._leadership import LEASE_MS, PoolLeadership, may_take_over
from lentilpathd._pool._ports import PartCommit, PartRow, PartRows
from lentilpathd._pool._records import encode_record
from tests.common.pools import make_record

ADDRESS = Address("127.0.0.1", 1)


class OneRowTable:
    """Holds the leadership rows in memory; the test switches it off."""

    def __init__(self) -> None:
        self.is_away = False
        self.rows: dict[str, PartRow] = {}
        self.version = 0
        self.clock_ms = 50_000
        self.changes: tuple[PartRow, ...] = ()
        self.follows = 0
        self.followed_twice = asyncio.Event()

    async def commit(self, transaction, timeout):
        if self.is_away:
            raise TableUnavailable("away")
        for key, version in transaction.checks:
            found = self.rows[key].version if key in self.rows else 0
            if found != version:
                return PartCommit(False, RowVersion(self.version), self.clock_ms)
        self.version += 1
        for key, value in transaction.puts:
            self.rows[key] = PartRow("cell", key, value, RowVersion(self.version))
        return PartCommit(True, RowVersion(self.version), self.clock_ms)

    async def read_part(self, table, part, first, end, timeout):
        if self.is_away:
            raise TableUnavailable("away")
        return PartRows(tuple(self.rows.values()), RowVersion(self.version), self.clock_ms)

    async def follow(self, table, after, wait_seconds, timeout):
        self.follows += 1
        if self.follows == 2:
            self.followed_twice.set()
        await asyncio.sleep(0)
        return PartRows(self.changes, RowVersion(after + 1), self.clock_ms)


def make_leadership(table: OneRowTable, host: str = "h1") -> PoolLeadership:
    return PoolLeadership(table, HostId(host), Incarnation(host + ".1"), ADDRESS)


def test_a_lease_is_confirmed_for_its_length_from_the_sending_of_its_last_renewal(monkeypatch):
    now = [Instant(1_000_000)]
    monkeypatch.setattr(_leadership, "read_instant", lambda: now[0])
    table = OneRowTable()
    leadership = make_leadership(table)
    epoch = asyncio.run(leadership.wait_for_turn())
    assert epoch == 1
    assert leadership.is_confirmed(Instant(now[0] + LEASE_MS - 1))
    assert not leadership.is_confirmed(Instant(now[0] + LEASE_MS))
    table.is_away = True
    now[0] = Instant(now[0] + 1_000)
    asyncio.run(leadership.release(Epoch(1)))
    assert not leadership.is_confirmed(Instant(now[0] + LEASE_MS - 1_000))


def test_the_leadership_is_free_only_when_the_tables_clock_has_passed_the_lease():
    table = OneRowTable()
    first, second = make_leadership(table), make_leadership(table, "h2")
    asyncio.run(first.wait_for_turn())
    seen = asyncio.run(second._watch())
    assert seen is not None
    assert not may_take_over(seen)
    table.clock_ms += LEASE_MS
    seen = asyncio.run(second._watch())
    assert seen is not None
    assert not may_take_over(seen)
    table.clock_ms += 1_000
    assert asyncio.run(second.wait_for_turn()) == 2


def follow_jobs(table: OneRowTable, confirmed: bool) -> list[JobId]:
    taken: list[JobId] = []

    def take(event: JobAccepted | JobCancelled, version: RowVersion) -> None:
        if isinstance(event, JobAccepted):
            taken.append(event.record.job)

    async def play() -> None:
        feed = JobFeed(table, lambda now: confirmed, take)
        task = asyncio.create_task(feed.run(RowVersion(0), set()))
        await table.followed_twice.wait()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(play())
    return taken


def test_jobs_are_taken_only_while_the_lease_is_confirmed():
    record = make_record(1)
    for confirmed in (False, True):
        table = OneRowTable()
        table.changes = (PartRow("0", record.job, encode_record(record), RowVersion(1)),)
        assert (record.job in follow_jobs(table, confirmed)) is confirmed
