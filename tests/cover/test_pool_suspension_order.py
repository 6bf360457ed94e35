"""Suspensions and records that overtake each other."""

from __future__ import annotations

import asyncio

from lentilpath_core.ids import Epoch, Instant, WorkerId
from lentilpath_core.pool import (
    JobAccepted,
    Life,
    RecordRun,
    RecordWorkers,
    RunEnd,
    RunNumber,
    RunRecord,
    StartUnanswered,
    StepSpec,
    TaskKey,
    WorkersRecorded,
    create_pool,
    restore_former_workers,
)
from lentilpath_core.pool._authority import FIRST_ANSWER_MS
from lentilpathd._pool._recovery import read_pool
from lentilpathd._pool._writer import MAX_PUTS, RecordWriter
from tests.common.pools import (
    TASK_RESOURCES,
    PoolHarness,
    list_starts,
    make_job_id,
    make_record,
    make_worker,
)
from tests.common.tables import OnePartitionTable, make_leadership

LEASE_MS = 4_000
NAMES = tuple(f"w{number}" for number in range(1, 5))
WORKERS = tuple(make_worker(name) for name in NAMES)
SILENT = WorkerId("w1")


def make_successor(workers=WORKERS, unknown: tuple[str, ...] = (), suspended=None) -> PoolHarness:
    harness = PoolHarness(epoch=2)
    harness.state = create_pool(Epoch(2), Instant(harness.now + LEASE_MS), LEASE_MS)
    harness.set_customers(1)
    restore_former_workers(harness.state, workers, unknown, suspended)
    harness.list_workers_unrecorded(*workers)
    harness.handle_event(JobAccepted(make_record(1), recovered=True))
    return harness


def pass_ticks(harness: PoolHarness, ms: int) -> None:
    for _ in range(ms // 250):
        harness.pass_time(250)


def pop_record(harness: PoolHarness) -> RecordWorkers:
    (record,) = (each for each in harness.effects if isinstance(each, RecordWorkers))
    harness.effects.clear()
    return record


class GatedTable(OnePartitionTable):
    """A table that lets transactions through one by one."""

    def __init__(self) -> None:
        super().__init__()
        self.gate: asyncio.Semaphore | None = None

    async def commit(self, transaction, timeout, prefer_relay=False):
        if self.gate is not None:
            await self.gate.acquire()
        return await super().commit(transaction, timeout, prefer_relay)

    def get_commit_timeout(self) -> float:
        return 3.0


def test_a_worker_gets_commands_only_while_no_stored_list_suspends_it():
    """A list of before the suspension becomes durable only after the worker has answered again."""
    harness = make_successor()
    joined = make_worker("x1")
    harness.effects.clear()
    for name in NAMES[1:]:
        harness.report(name)
    harness.pass_time(250)
    harness.list_workers_unrecorded(*WORKERS, joined)
    harness.report("x1")
    before = pop_record(harness)
    pass_ticks(harness, FIRST_ANSWER_MS)
    suspending = pop_record(harness)
    assert [worker for worker, _ in suspending.suspended] == [SILENT]
    harness.report(SILENT)
    again = pop_record(harness)
    assert again.suspended == ()
    ends = [
        RecordRun(TaskKey(make_job_id(2), 0, 0, each), RunRecord(RunNumber(1), RunEnd.FAILED))
        for each in range(MAX_PUTS)
    ]
    table = GatedTable()

    async def scenario() -> None:
        leadership = make_leadership(table)
        await leadership.acquire()
        table.gate = asyncio.Semaphore(0)

        def handle_event(event) -> None:
            if isinstance(event, WorkersRecorded):
                harness.handle_event(event)

        writer = RecordWriter(table, Epoch(1), leadership, handle_event)
        task = asyncio.create_task(writer.run())
        writer.queue(before)
        await asyncio.sleep(0.05)
        records: list[RecordRun | RecordWorkers] = [suspending, *ends, again]
        for record in records:
            writer.queue(record)
        broken = []
        for number in range(3):
            table.gate.release()
            await asyncio.sleep(0.1)
            stored = await read_pool(table, 1)
            listed = {each.worker for each in stored.former_workers}
            is_kept_out = SILENT in stored.suspended_workers or SILENT not in listed
            worker = harness.state.workers[SILENT]
            if is_kept_out and not worker.awaits_record:
                broken.append((number, worker.awaits_record, worker.is_recorded))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert not broken

    asyncio.run(scenario())


def test_a_worker_that_was_suspended_without_a_record_gets_commands_once_it_answers():
    """A row of other workers cannot be read, so that no list could be stored meanwhile."""
    harness = make_successor(WORKERS[:1], ("0workers/7/1/1",))
    harness.pass_time(250)
    pass_ticks(harness, FIRST_ANSWER_MS)
    assert harness.state.workers[SILENT].is_suspended
    harness.report(SILENT)
    for _ in range(600):
        harness.pass_time(250)
        harness.report(SILENT)
        if any(isinstance(each, RecordWorkers) for each in harness.effects):
            harness.confirm_workers()
    worker = harness.state.workers[SILENT]
    assert worker.is_recorded
    assert not worker.awaits_record


def test_no_list_leaves_out_a_suspended_worker_that_has_restarted():
    """Its new life may carry out what was sent to the former one, so leaders wait for it."""
    harness = make_successor()
    for name in NAMES[1:]:
        harness.report(name)
    harness.pass_time(250)
    pass_ticks(harness, FIRST_ANSWER_MS)
    record = pop_record(harness)
    assert [worker for worker, _ in record.suspended] == [SILENT]
    harness.handle_event(
        WorkersRecorded(
            tuple((each.worker, each.life) for each in WORKERS[1:]),
            ((SILENT, Life(1)),),
            record.number,
        )
    )
    harness.effects.clear()
    harness.list_workers_unrecorded(make_worker("w1", life=Life(2)), *WORKERS[1:])
    assert SILENT in harness.state.unconfirmed_workers
    records = [each for each in harness.effects if isinstance(each, RecordWorkers)]
    assert all(SILENT in {each.worker for each in record.workers} for record in records)


def test_a_leader_whose_loop_was_late_suspends_no_worker_that_was_not_asked_in_vain():
    harness = make_successor()
    harness.effects.clear()
    harness.pass_time(250)
    # The loop recovers jobs; answers that have come meanwhile are handled after this tick.
    harness.pass_time(FIRST_ANSWER_MS)
    assert not any(each.is_suspended for each in harness.state.workers.values())


def test_a_silent_worker_stays_in_the_record_although_a_start_there_got_no_answer():
    """A later leader waits for the workers of the record, and for no others."""
    harness = PoolHarness()
    harness.add_workers(*(make_worker(name, sequence=1) for name in NAMES))
    harness.submit(1, StepSpec(1, TASK_RESOURCES))
    (start,) = list_starts(harness.place())
    harness.handle_event(StartUnanswered(start.worker, start.life, start.task, start.run))
    harness.effects.clear()
    others = [name for name in NAMES if name != start.worker]
    for number in range(40):
        harness.pass_time(250)
        for name in others:
            harness.report(name)
        if number % 4 == 0:
            harness.list_workers_unrecorded(
                *(make_worker(name, sequence=2 + number) for name in NAMES)
            )
    records = [each for each in harness.effects if isinstance(each, RecordWorkers)]
    assert all(start.worker in {each.worker for each in record.workers} for record in records)
