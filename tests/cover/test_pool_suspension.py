"""A leader stores which workers are silent, so that no later leader waits for them anew."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

import pytest

from lentilpath_core.ids import Epoch, Instant, WorkerId
from lentilpath_core.pool import (
    FormerLeaderEnded,
    JobAccepted,
    ListedWorker,
    RecordWorkers,
    StepSpec,
    create_pool,
    is_former_leader_contained,
    restore_former_workers,
)
from lentilpath_core.pool._authority import (
    FIRST_ANSWER_MS,
    NOTICE_MS,
    UNCONFIRMED_LEASE_BOUND_MS,
)
from lentilpathd._clock import read_instant
from lentilpathd._pool._records import LeaseRow, decode_record
from lentilpathd._pool._recovery import MAX_RUNS_MS, read_commanded_workers, read_pool
from lentilpathd._pool._table_clock import TableClock
from lentilpathd._pool._writer import RecordWriter
from tests.common.pools import (
    TASK_RESOURCES,
    PoolHarness,
    list_starts,
    make_record,
    make_worker,
)
from tests.common.tables import OnePartitionTable, make_leadership

LEASE_MS = 4_000
NAMES = tuple(f"w{number}" for number in range(1, 5))
WORKERS = tuple(make_worker(name) for name in NAMES)
SILENT = WorkerId("w1")


def make_successor(
    suspended: dict[WorkerId, Instant] | None = None, workers: tuple[ListedWorker, ...] = WORKERS
) -> PoolHarness:
    """Return a new leader with a recovered job, and the recorded workers of the former one."""
    harness = PoolHarness(epoch=2)
    harness.state = create_pool(Epoch(2), Instant(harness.now + LEASE_MS), LEASE_MS)
    harness.set_customers(1)
    restore_former_workers(harness.state, WORKERS, (), suspended)
    harness.list_workers_unrecorded(*workers)
    harness.handle_event(JobAccepted(make_record(1), recovered=True))
    return harness


def pass_time(harness: PoolHarness, ms: int, *names: str) -> RecordWorkers | None:
    """Let only these workers report meanwhile; return the last list of workers to be stored."""
    harness.effects.clear()
    for _ in range(ms // 250):
        harness.pass_time(250)
        for name in names:
            harness.report(name)
    records = [each for each in harness.effects if isinstance(each, RecordWorkers)]
    return records[-1] if records else None


def find_first_start(harness: PoolHarness, *names: str, limit_ms: int) -> int | None:
    began = harness.now
    while harness.now < began + limit_ms:
        pass_time(harness, 250, *names)
        if list_starts(harness.place()):
            return harness.now - began
    return None


def test_a_worker_that_does_not_answer_a_new_leader_is_suspended_until_its_runs_have_ended():
    harness = make_successor()
    began = harness.now
    record = pass_time(harness, FIRST_ANSWER_MS + 500, *NAMES[1:])
    assert record is not None
    ((worker, ends_at),) = record.suspended
    assert worker == SILENT
    assert SILENT in {each.worker for each in record.workers}
    assert began + LEASE_MS <= ends_at <= began + LEASE_MS + 500


def test_the_next_leader_waits_for_a_suspended_worker_until_that_time_only():
    ends_at = Instant(PoolHarness().now + 1_500)
    started = find_first_start(make_successor({SILENT: ends_at}), *NAMES[1:], limit_ms=20_000)
    assert started is not None
    assert 1_500 <= started <= 2_000


def test_a_wait_for_a_silent_worker_that_is_over_is_not_begun_anew():
    ends_at = Instant(PoolHarness().now - 1)
    started = find_first_start(make_successor({SILENT: ends_at}), *NAMES[1:], limit_ms=20_000)
    assert started is not None
    assert started <= 500


def test_a_worker_that_is_not_suspended_is_waited_for_beside_one_that_is():
    ends_at = Instant(PoolHarness().now - 1)
    started = find_first_start(make_successor({SILENT: ends_at}), *NAMES[2:], limit_ms=20_000)
    assert started is not None
    assert started >= UNCONFIRMED_LEASE_BOUND_MS


def test_a_suspended_worker_that_answers_is_used_once_that_is_stored():
    ends_at = Instant(PoolHarness().now - 1)
    harness = make_successor({SILENT: ends_at})
    record = pass_time(harness, 500, *NAMES)
    assert record is not None
    assert record.suspended == ()
    worker = harness.state.workers[SILENT]
    assert worker.awaits_record
    assert not worker.is_recorded
    harness.confirm_workers()
    assert not worker.awaits_record
    assert worker.is_recorded


def test_a_record_of_before_a_worker_fell_silent_again_lets_it_get_no_commands():
    harness = make_successor({SILENT: Instant(PoolHarness().now - 1)})
    pass_time(harness, 500, *NAMES)
    before = list(harness.effects)
    pass_time(harness, 20_000, *NAMES[1:])
    harness.state.workers[SILENT].is_suspended = True
    harness.effects = before
    harness.confirm_workers()
    assert not harness.state.workers[SILENT].is_recorded


def test_a_worker_without_runs_that_falls_silent_keeps_no_later_leader_waiting():
    harness = PoolHarness()
    harness.add_workers(*WORKERS)
    record = pass_time(harness, 8_000, *NAMES[1:])
    assert record is not None
    assert {each.worker for each in record.workers} == set(NAMES)
    ((worker, ends_at),) = record.suspended
    assert worker == SILENT
    assert ends_at <= harness.now


def test_a_worker_with_a_run_whose_lease_goes_on_stays_in_the_record():
    harness = PoolHarness()
    harness.add_workers(*WORKERS)
    harness.submit(1, StepSpec(1, TASK_RESOURCES))
    (start,) = list_starts(harness.place())
    others = tuple(name for name in NAMES if name != start.worker)
    assert pass_time(harness, 4_000, *others) is None


def test_a_leader_without_word_from_the_table_suspends_no_worker():
    harness = PoolHarness()
    harness.add_workers(*WORKERS)
    harness.effects.clear()
    harness.pass_time(60_000, is_confirmed=False)
    assert not any(isinstance(each, RecordWorkers) for each in harness.effects)
    assert all(each.is_recorded for each in harness.state.workers.values())


def test_a_leader_that_reaches_a_minority_stores_no_suspension():
    """The former leader may go on there for two minutes, and a later one may know better."""
    harness = make_successor()
    assert pass_time(harness, FIRST_ANSWER_MS + 500, "w4") is None
    assert pass_time(harness, 250, "w3", "w4") is not None


def test_an_earlier_end_of_the_runs_on_suspended_workers_is_stored():
    harness = make_successor()
    pass_time(harness, 3_000, "w4")
    record = pass_time(harness, 250, "w3", "w4")
    assert record is not None
    harness.confirm_workers()
    ended_at = Instant(harness.now - 2_500)
    (sooner,) = harness.handle_event(FormerLeaderEnded(ended_at))
    assert isinstance(sooner, RecordWorkers)
    ends = dict(sooner.suspended)
    assert set(ends) == set(NAMES[:2])
    assert max(ends.values()) <= ended_at + UNCONFIRMED_LEASE_BOUND_MS


def test_earlier_leaders_are_contained_once_the_suspensions_are_stored():
    harness = make_successor()
    pass_time(harness, FIRST_ANSWER_MS + 500, *NAMES[1:])
    assert not is_former_leader_contained(harness.state, harness.now)
    harness.confirm_workers()
    assert is_former_leader_contained(harness.state, harness.now)


def store(table: OnePartitionTable, *records: RecordWorkers, ends: Any = None) -> None:
    async def scenario() -> None:
        leadership = make_leadership(table)
        await leadership.acquire()
        writer = RecordWriter(table, Epoch(1), leadership, lambda event: None)
        writer.add_stored_workers((), ends)
        task = asyncio.create_task(writer.run())
        for record in records:
            writer.queue(record)
            assert await writer.wait_durable(writer.queued_count, 5.0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(scenario())


def test_a_suspension_is_recovered_with_an_end_that_is_not_earlier():
    table, ends_at = OnePartitionTable(), Instant(read_instant() + 2_000)
    store(table, RecordWorkers(WORKERS, ((SILENT, ends_at),)))
    recovered = asyncio.run(read_pool(table, 1))
    assert set(recovered.former_workers) == set(WORKERS)
    ((worker, (found, _)),) = recovered.suspended_workers.items()
    assert worker == SILENT
    # The clock of this table stands still, so that waiting for it takes longer by that time.
    assert ends_at <= found <= ends_at + 2_000
    commanded = asyncio.run(read_commanded_workers(table, 1))
    assert {each.worker for each in commanded} == set(NAMES[1:])


def test_the_end_of_runs_does_not_move_away_with_each_leader_that_stores_it():
    """Each conversion between clocks adds a margin."""
    table, ends_at = OnePartitionTable(), Instant(read_instant() + 2_000)
    store(table, RecordWorkers(WORKERS, ((SILENT, ends_at),)))
    first = asyncio.run(read_pool(table, 1)).suspended_workers
    again = RecordWorkers(WORKERS[:2], ((SILENT, first[SILENT][0]),))
    store(table, again, ends=first)
    assert asyncio.run(read_pool(table, 1)).suspended_workers[SILENT][1] == first[SILENT][1]


def test_no_end_of_runs_is_further_ahead_than_runs_can_last():
    table = OnePartitionTable()
    store(table, RecordWorkers(WORKERS, ((SILENT, Instant(read_instant() + 10**9)),)))
    ends_at, _ = asyncio.run(read_pool(table, 1)).suspended_workers[SILENT]
    assert ends_at <= read_instant() + 1.1 * MAX_RUNS_MS


@pytest.mark.parametrize(("since", "counts"), [(1, True), (2, False), (0, False)])
def test_a_suspension_counts_only_if_all_leaders_since_have_kept_to_it(since, counts):
    """A leader of an earlier release commands all workers and leaves the rows as they are."""
    table = OnePartitionTable()
    store(table, RecordWorkers(WORKERS, ((SILENT, Instant(read_instant() + 2_000)),)))
    assert bool(asyncio.run(read_pool(table, since)).suspended_workers) is counts


@pytest.mark.parametrize("bounds_leases", [True, False])
def test_a_successor_of_an_earlier_release_waits_for_its_full_leases(bounds_leases):
    harness = make_successor()
    former = harness.state.former_leader
    harness.state.former_leader = replace(former, bounds_leases=bounds_leases)
    began = harness.now
    started = find_first_start(harness, *NAMES[2:], limit_ms=20_000)
    assert started is not None
    assert (started >= NOTICE_MS + LEASE_MS) is not bounds_leases
    assert harness.now - began <= NOTICE_MS + LEASE_MS + 1_000


@pytest.mark.parametrize(
    ("inherited", "is_sole", "since"), [(3, False, 3), (3, True, 3), (0, False, 0), (0, True, 7)]
)
def test_a_rule_counts_since_the_first_leader_of_its_release_was_alone(inherited, is_sole, since):
    leadership = make_leadership(OnePartitionTable())
    leadership.suspends_since, leadership.is_sole = inherited, is_sole
    lease = decode_record(leadership.make_renewal(Epoch(7)).put[1], LeaseRow)
    assert lease.suspends_since == since
    assert lease.identifies_since == (7 if is_sole else 0)
    assert lease.holds_since == (7 if is_sole else 0)


@pytest.mark.parametrize("latency_ms", [0, 40, 900])
@pytest.mark.parametrize("ahead_ms", [0, 3_000, 120_000])
def test_a_time_on_the_tables_clock_is_never_too_early(latency_ms, ahead_ms):
    """Whenever within the call the table has read its clock."""
    offset_ms = 7_000
    for read_after_ms in (0, latency_ms):
        clock = TableClock()
        sent_at = Instant(50_000)
        now = Instant(sent_at + latency_ms)
        clock.observe(sent_at + read_after_ms + offset_ms, sent_at, now)
        assert clock.convert(Instant(now + ahead_ms), now) >= now + ahead_ms + offset_ms
