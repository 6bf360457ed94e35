"""A leader accepts jobs only while its lease is confirmed, and a takeover waits for its end.

A successor would not know of a job that its predecessor accepted after the takeover.
"""

from __future__ import annotations

import asyncio
import logging

import msgspec

from lentilpath_core.errors import OutcomeUnknown
from lentilpath_core.ids import Epoch, HostId, Instant, JobId, RowVersion
from lentilpath_core.pool import JobAccepted, JobCancelled
from lentilpathd._pool import _leadership, _lease_watch
from lentilpathd._pool._job_feed import JobFeed
from lentilpathd._pool._leadership import (
    LEASE_MS,
    SLOW_HOST_WAIT_MS,
    SLOW_LEASE_MS,
    SLOW_RENEWAL_MS,
)
from lentilpathd._pool._ports import PartitionCommitResult, PartitionRow, PartitionTransaction
from lentilpathd._pool._records import (
    EPOCH_KEY,
    LEASE_KEY,
    POOL_PARTITION,
    POOL_TABLE,
    LeaseRow,
    decode_record,
    encode_record,
)
from lentilpathd._pool._settling import RepeatedCommit
from lentilpathd._pool._succession import (
    LEADER_TIMEOUT_MS,
    TAKEOVER_MARGIN_MS,
    find_takeover_wait,
    may_take_over,
)
from tests.common.pools import make_record
from tests.common.tables import ADDRESS, OnePartitionTable, make_leadership


def test_a_lease_is_confirmed_for_its_length_from_the_sending_of_its_last_renewal(monkeypatch):
    now = [Instant(1_000_000)]
    monkeypatch.setattr(_leadership, "read_instant", lambda: now[0])
    table = OnePartitionTable()
    leadership = make_leadership(table)
    epoch = asyncio.run(leadership.acquire())
    assert epoch == 1
    assert leadership.is_confirmed(Instant(now[0] + LEASE_MS - 1))
    assert not leadership.is_confirmed(Instant(now[0] + LEASE_MS))
    table.is_unavailable = True
    now[0] = Instant(now[0] + 1_000)
    asyncio.run(leadership.release(Epoch(1)))
    assert not leadership.is_confirmed(Instant(now[0] + LEASE_MS - 1_000))


def test_the_leadership_is_free_only_after_a_lease_without_a_write(monkeypatch):
    now = [Instant(1_000_000)]
    monkeypatch.setattr(_leadership, "read_instant", lambda: now[0])
    table = OnePartitionTable()
    first, second = make_leadership(table), make_leadership(table, "h2")
    asyncio.run(first.acquire())
    # Whatever this host has not watched does not count.
    now[0] = Instant(now[0] + 10 * LEASE_MS)
    table.clock_ms += 10 * LEASE_MS

    def may_second_take_over() -> bool:
        snapshot = asyncio.run(second._read_snapshot())
        assert snapshot is not None
        return second._may_take_over_now(snapshot, now[0])

    assert not may_second_take_over()
    now[0] = Instant(now[0] + LEASE_MS + TAKEOVER_MARGIN_MS - 1)
    assert not may_second_take_over()
    now[0] = Instant(now[0] + 1)
    assert may_second_take_over()
    assert asyncio.run(second.acquire()) == 2


def test_a_late_copy_of_an_older_renewal_does_not_shorten_a_lease(monkeypatch):
    """A late renewal showed an older end, and the leader was replaced (review/11)."""
    now = [Instant(1_000_000)]
    monkeypatch.setattr(_leadership, "read_instant", lambda: now[0])
    table = OnePartitionTable()
    first, second = make_leadership(table), make_leadership(table, "h2")
    epoch = asyncio.run(first.acquire())
    old = table.rows[LEASE_KEY].value

    def pass_time(ms: int) -> bool:
        """Return whether the second host may take over after some more time."""
        now[0] = Instant(now[0] + ms)
        table.clock_ms += ms
        snapshot = asyncio.run(second._read_snapshot())
        assert snapshot is not None
        return second._may_take_over_now(snapshot, now[0])

    assert not pass_time(2_500)
    asyncio.run(first._write_lease(epoch))
    sent_at = now[0]
    table.version += 1
    table.rows[LEASE_KEY] = PartitionRow("cell", LEASE_KEY, old, RowVersion(table.version))
    while first.is_confirmed(now[0]):
        assert not pass_time(50)
    assert now[0] == sent_at + LEASE_MS
    assert not pass_time(TAKEOVER_MARGIN_MS - 50)
    assert pass_time(100)


def test_a_late_copy_of_a_shorter_lease_limits_what_a_leader_counts_on(monkeypatch):
    """The successor of a leader waits for the lease that the row shows at last."""
    now = [Instant(1_000_000)]
    monkeypatch.setattr(_leadership, "read_instant", lambda: now[0])
    leader = make_leadership(OnePartitionTable())
    epoch = asyncio.run(leader.acquire())

    def renew(answer_ms: int, may_be_done_later: bool) -> int:
        """Renew the lease; return for how long the leader counts on it from its sending on."""
        renewal = leader.make_renewal(epoch)
        now[0] = Instant(now[0] + answer_ms)
        answer = PartitionCommitResult(True, RowVersion(1), 50_000)
        leader.record_renewal(renewal, RepeatedCommit(answer, may_be_done_later))
        return leader._confirmed_until - renewal.sent_at

    assert renew(SLOW_RENEWAL_MS, may_be_done_later=False) == LEASE_MS
    assert renew(SLOW_RENEWAL_MS, may_be_done_later=False) == SLOW_LEASE_MS
    short = leader.make_renewal(epoch)
    short.lease_ms = short.counted_ms = LEASE_MS
    leader._renewals.close(short, may_be_done_later=True)
    now[0] = Instant(now[0] + 1_000)
    assert renew(SLOW_RENEWAL_MS, may_be_done_later=False) == LEASE_MS


def test_a_shorter_lease_that_is_sent_beside_a_longer_one_limits_both(monkeypatch):
    now = [Instant(1_000_000)]
    monkeypatch.setattr(_leadership, "read_instant", lambda: now[0])
    leader = make_leadership(OnePartitionTable())
    epoch = asyncio.run(leader.acquire())
    done = RepeatedCommit(PartitionCommitResult(True, RowVersion(1), 50_000), False)
    first = leader.make_renewal(epoch)
    now[0] = Instant(now[0] + SLOW_RENEWAL_MS)
    leader.record_renewal(first, done)
    longer = leader.make_renewal(epoch)
    leader._renewal_ms = 0
    shorter = leader.make_renewal(epoch)
    assert (longer.lease_ms, shorter.lease_ms) == (SLOW_LEASE_MS, LEASE_MS)
    leader.record_renewal(shorter, done)
    leader.record_renewal(longer, done)
    assert leader._confirmed_until == now[0] + LEASE_MS


def test_a_late_renewal_does_not_take_a_release_back():
    """Without a release, a successor waits for the whole lease of a host that has stopped."""
    table = OnePartitionTable()
    leader = make_leadership(table)
    epoch = asyncio.run(leader.acquire())
    renewal = leader.make_renewal(epoch)
    version = leader.epoch_version
    asyncio.run(leader.release(epoch, HostId("h2")))
    late = PartitionTransaction(
        POOL_TABLE, POOL_PARTITION, checks=((EPOCH_KEY, version),), puts=(renewal.put,)
    )
    assert not asyncio.run(table.commit(late, 1.0)).applied
    assert asyncio.run(make_leadership(table, "h2").acquire()) == epoch + 1


def follow_jobs(table: OnePartitionTable, confirmed: bool) -> list[JobId]:
    accepted: list[JobId] = []

    def accept(event: JobAccepted | JobCancelled, version: RowVersion) -> None:
        if isinstance(event, JobAccepted):
            accepted.append(event.record.job)

    async def scenario() -> None:
        feed = JobFeed(table, lambda now: confirmed, accept)
        task = asyncio.create_task(feed.run(RowVersion(0), set()))
        await table.followed_twice.wait()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(scenario())
    return accepted


def test_jobs_are_accepted_only_while_the_lease_is_confirmed():
    record = make_record(1)
    for confirmed in (False, True):
        table = OnePartitionTable()
        table.changes = (PartitionRow("0", record.job, encode_record(record), RowVersion(1)),)
        assert (record.job in follow_jobs(table, confirmed)) is confirmed


def test_a_restarted_process_takes_over_from_the_earlier_one_of_its_host_at_once():
    table = OnePartitionTable()
    assert asyncio.run(make_leadership(table).acquire()) == 1
    assert asyncio.run(make_leadership(table).acquire()) == 2


def test_a_lease_that_looks_expired_but_is_still_renewed_is_not_taken_over():
    table = OnePartitionTable()
    first, second = make_leadership(table), make_leadership(table, "h2")
    asyncio.run(first.acquire())
    table.clock_ms += LEASE_MS + 1_000
    snapshot = asyncio.run(second._read_snapshot())
    assert snapshot is not None
    free_after = find_takeover_wait(snapshot.lease)
    assert not may_take_over(snapshot, HostId("h2"), ADDRESS, free_after, LEADER_TIMEOUT_MS - 1)
    assert may_take_over(snapshot, HostId("h2"), ADDRESS, free_after, LEADER_TIMEOUT_MS)


def test_a_renewal_that_was_on_its_way_keeps_a_leader_whose_lease_looked_expired():
    table = OnePartitionTable()
    first, second = make_leadership(table), make_leadership(table, "h2")
    epoch = asyncio.run(first.acquire())
    snapshot = asyncio.run(second._read_snapshot())
    assert snapshot is not None
    asyncio.run(first._write_lease(epoch))
    assert asyncio.run(second._take_over(snapshot)) is None
    asyncio.run(first._write_lease(epoch))


def test_a_leader_counts_on_no_longer_lease_than_the_table_shows(monkeypatch):
    now = [Instant(1_000_000)]
    monkeypatch.setattr(_leadership, "read_instant", lambda: now[0])
    table = OnePartitionTable()
    leader = make_leadership(table)
    epoch = asyncio.run(leader.acquire())
    for answer_ms, lease_ms in ((0, LEASE_MS), (SLOW_RENEWAL_MS, LEASE_MS), (0, SLOW_LEASE_MS)):
        renewal = leader.make_renewal(epoch)
        row = decode_record(renewal.put[1], LeaseRow)
        assert row.until_ms == leader._clock.estimate(now[0]) + lease_ms
        assert row.lease_ms == lease_ms
        now[0] = Instant(now[0] + answer_ms)
        answer = PartitionCommitResult(True, RowVersion(1), table.clock_ms)
        leader.record_renewal(renewal, RepeatedCommit(answer, may_be_done_later=False))
        assert leader.is_confirmed(Instant(renewal.sent_at + lease_ms - 1))
        assert not leader.is_confirmed(Instant(renewal.sent_at + lease_ms))


def test_each_change_of_the_lease_restarts_the_wait(monkeypatch):
    now = [Instant(1_000_000)]
    monkeypatch.setattr(_leadership, "read_instant", lambda: now[0])
    table = OnePartitionTable()
    first, second = make_leadership(table), make_leadership(table, "h2")
    epoch = asyncio.run(first.acquire())
    for _ in range(3):
        now[0] = Instant(now[0] + 800)
        asyncio.run(first._write_lease(epoch))
        asyncio.run(second._read_snapshot())
        assert second._watch.get_watched_ms(now[0]) == 0
        assert second._watch.get_unchanged_ms(now[0]) == 0
    now[0] = Instant(now[0] + 800)
    asyncio.run(second._read_snapshot())
    assert second._watch.get_watched_ms(now[0]) == 800
    assert second._watch.get_unchanged_ms(now[0]) == 800


def test_the_named_successor_of_a_planned_stop_goes_first():
    table = OnePartitionTable()
    first, second = make_leadership(table), make_leadership(table, "h2")
    epoch = asyncio.run(first.acquire())
    asyncio.run(first.release(epoch, HostId("h2")))
    snapshot = asyncio.run(second._read_snapshot())
    assert snapshot is not None
    assert may_take_over(snapshot, HostId("h2"), ADDRESS, 0, 0)
    assert not may_take_over(snapshot, HostId("h3"), ADDRESS, 0, 0)
    assert may_take_over(snapshot, HostId("h3"), ADDRESS, 0, LEADER_TIMEOUT_MS)


def test_a_slow_host_leaves_a_silent_leader_to_faster_hosts_for_a_while(monkeypatch):
    # The bound is exact to the millisecond, so no time may pass while the lease is acquired.
    monkeypatch.setattr(_leadership, "read_instant", lambda: Instant(1_000_000))
    table = OnePartitionTable()
    first, second = make_leadership(table), make_leadership(table, "h2")
    asyncio.run(first.acquire())
    snapshot = asyncio.run(second._read_snapshot())
    assert snapshot is not None
    host, wait_ms = HostId("h2"), LEASE_MS + TAKEOVER_MARGIN_MS
    assert may_take_over(snapshot, host, ADDRESS, wait_ms, LEADER_TIMEOUT_MS)
    slow_ms = SLOW_HOST_WAIT_MS
    assert not may_take_over(snapshot, host, ADDRESS, wait_ms, LEADER_TIMEOUT_MS, slow_ms)
    wait_ms += slow_ms
    assert not may_take_over(snapshot, host, ADDRESS, wait_ms - 1, LEADER_TIMEOUT_MS, slow_ms)
    assert may_take_over(snapshot, host, ADDRESS, wait_ms, LEADER_TIMEOUT_MS, slow_ms)


def test_a_slow_host_leaves_a_planned_stop_without_a_successor_to_faster_hosts_for_a_while():
    table = OnePartitionTable()
    first, second = make_leadership(table), make_leadership(table, "h2")
    epoch = asyncio.run(first.acquire())
    asyncio.run(first.release(epoch))
    snapshot = asyncio.run(second._read_snapshot())
    assert snapshot is not None
    assert may_take_over(snapshot, HostId("h2"), ADDRESS, 0, 0)
    assert not may_take_over(snapshot, HostId("h2"), ADDRESS, 0, 0, SLOW_HOST_WAIT_MS)
    assert may_take_over(snapshot, HostId("h2"), ADDRESS, 0, SLOW_HOST_WAIT_MS, SLOW_HOST_WAIT_MS)


def test_after_an_outage_of_the_table_a_living_leader_has_time_to_renew_first(monkeypatch):
    now = [Instant(1_000_000)]
    monkeypatch.setattr(_leadership, "read_instant", lambda: now[0])
    table = OnePartitionTable()
    first, second = make_leadership(table), make_leadership(table, "h2")
    asyncio.run(first.acquire())
    asyncio.run(second._read_snapshot())

    def may_second_take_over(after_ms: int) -> bool:
        now[0] = Instant(now[0] + after_ms)
        table.clock_ms += after_ms
        snapshot = asyncio.run(second._read_snapshot())
        return snapshot is not None and second._may_take_over_now(snapshot, now[0])

    table.is_unavailable = True
    for _ in range(10):
        assert not may_second_take_over(500)
    table.is_unavailable = False
    assert not may_second_take_over(350)
    assert not may_second_take_over(LEADER_TIMEOUT_MS - 1)
    assert may_second_take_over(1)


def test_a_host_whose_takeover_is_done_late_leads_at_its_next_read(monkeypatch):
    """The takeover got no answer and was not in the table yet when the host looked for it."""
    monkeypatch.setattr(_leadership, "POLL_INTERVAL_MS", 1)
    monkeypatch.setattr(_lease_watch, "POLL_INTERVAL_MS", 1)
    table = OnePartitionTable()
    leadership = make_leadership(table)
    commit = table.commit
    late: list[PartitionTransaction] = []

    async def lose_first(transaction, timeout, prefer_relay=False):
        if late:
            return await commit(transaction, timeout)
        late.append(transaction)
        raise OutcomeUnknown("no answer")

    async def read_then_do_late_write(*arguments):
        read = await OnePartitionTable.read_partition(table, *arguments)
        if late and not table.rows:
            assert table.apply(late[0]).applied
        return read

    monkeypatch.setattr(table, "commit", lose_first)
    monkeypatch.setattr(table, "read_partition", read_then_do_late_write)
    assert asyncio.run(leadership.acquire()) == 2
    assert not table.apply(late[0]).applied


def test_late_copies_of_a_term_are_without_effect_in_the_next_one(monkeypatch):
    now = [Instant(1_000_000)]
    monkeypatch.setattr(_leadership, "read_instant", lambda: now[0])
    table = OnePartitionTable()
    first, second = make_leadership(table), make_leadership(table, "h2")
    epoch = asyncio.run(first.acquire())
    late = [
        PartitionTransaction(
            POOL_TABLE, POOL_PARTITION, checks=((EPOCH_KEY, first.epoch_version),), puts=(put,)
        )
        for put in (first.make_renewal(epoch).put, ("end/0123456789abcdef/0/0/0/1", b""))
    ]
    asyncio.run(first.release(epoch))
    assert asyncio.run(second.acquire()) == epoch + 1
    assert not any(table.apply(each).applied for each in late)


def test_the_lease_of_an_earlier_release_counts_as_the_longest_one():
    """Its row ends before the field that says how long the lease is."""
    table = OnePartitionTable()
    asyncio.run(make_leadership(table).acquire())
    fields = msgspec.msgpack.decode(table.rows[LEASE_KEY].value)
    former = decode_record(msgspec.msgpack.encode(fields[:-1]), LeaseRow)
    assert find_takeover_wait(former) == SLOW_LEASE_MS + TAKEOVER_MARGIN_MS
    assert find_takeover_wait(decode_record(table.rows[LEASE_KEY].value, LeaseRow)) < (
        find_takeover_wait(former)
    )


def test_a_lease_that_goes_back_is_logged(caplog, monkeypatch):
    now = [Instant(1_000_000)]
    monkeypatch.setattr(_leadership, "read_instant", lambda: now[0])
    caplog.set_level(logging.INFO)
    table = OnePartitionTable()
    first, second = make_leadership(table), make_leadership(table, "h2")
    epoch = asyncio.run(first.acquire())
    old = table.rows[LEASE_KEY].value
    now[0] = Instant(now[0] + 500)
    table.clock_ms += 500
    asyncio.run(first._write_lease(epoch))
    asyncio.run(second._read_snapshot())
    assert "LP586" not in caplog.text
    table.rows[LEASE_KEY] = PartitionRow("cell", LEASE_KEY, old, RowVersion(9))
    asyncio.run(second._read_snapshot())
    assert "LP586" in caplog.text
    assert caplog.text.count("LP585") == 2
