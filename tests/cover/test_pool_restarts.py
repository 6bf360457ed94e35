"""What was sent to one incarnation of a worker may take effect at the next one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from lentilpath_core.errors import OutcomeUnknown
from lentilpath_core.ids import Epoch, Instant, WallTime, WorkerId, WorkerTime
from lentilpath_core.pool import (
    AdvicePolicy,
    JobAccepted,
    JobRecord,
    Life,
    ListedWorker,
    OtherLifeAnswered,
    RecordWorkers,
    RunEnd,
    RunNumber,
    RunRecord,
    RunsRecovered,
    StartAnswer,
    StartAnswered,
    StartRun,
    StartUnanswered,
    StepSpec,
    StopAnswered,
    StopReason,
    StopRun,
    TaskKey,
    WorkerReport,
    WorkersListed,
    WorkersRecorded,
    restore_former_workers,
)
from lentilpath_core.pool._runs import UNANSWERED_START_MEMORY_MS
from lentilpathd._clock import read_instant
from lentilpathd._pool import _link
from lentilpathd._pool._leases import extend_lease
from lentilpathd._pool._link import WorkerLink
from lentilpathd._pool._ports import OtherLife, RefusedByFence
from lentilpathd._pool._writer import RecordWriter
from tests.common.pools import (
    LIFE,
    QUEUE,
    SETTLE_MS,
    TASK_RESOURCES,
    PoolHarness,
    let_rest,
    list_advice_requests,
    list_starts,
    list_stops,
    make_job_id,
    make_queue,
    make_record,
    make_task,
    make_worker,
)
from tests.common.requests import wait_until
from tests.common.tables import OnePartitionTable, make_leadership

LONGEST_LEASE_MS = 10_000


def make_harness_with_start():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"), make_worker("w2"))
    harness.submit(1)
    (start,) = list_starts(harness.place())
    return harness, start


def restart_worker(harness: PoolHarness, worker: WorkerId, life: int = 2) -> list[StopRun]:
    """List the next incarnation of a worker and return the stops that follow."""
    others = [each for each in harness.listed.values() if each.worker != worker]
    harness.effects.clear()
    harness.list_workers(make_worker(worker, life=Life(life)), *others)
    return list_stops(harness.effects)


def test_a_start_that_a_silent_incarnation_may_have_taken_is_not_repeated_within_its_lease():
    harness, start = make_harness_with_start()
    restart_worker(harness, start.worker)
    for _ in range(LONGEST_LEASE_MS // 250):
        harness.pass_time(250)
        harness.report("w2" if start.worker == "w1" else "w1")
        assert list_starts(harness.place()) == []
    harness.pass_time(1_000)
    harness.report("w2" if start.worker == "w1" else "w1")
    assert len(list_starts(harness.place())) == 1


def test_a_run_on_a_new_incarnation_is_kept_between_its_first_report_and_its_first_lease():
    harness, start = make_harness_with_start()
    (stop,) = restart_worker(harness, start.worker)
    harness.handle_event(StopAnswered(stop.worker, stop.life, stop.task, stop.run))
    harness.report(start.worker, ((start.task, start.run, 10),), with_lease=False)
    harness.pass_time(250)
    assert list_starts(harness.place()) == []


def lose_answer(harness: PoolHarness, start: StartRun) -> None:
    harness.handle_event(StartUnanswered(start.worker, start.life, start.task, start.run))


def test_a_late_copy_of_an_answered_start_may_run_on_the_next_incarnation():
    harness, start = make_harness_with_start()
    lose_answer(harness, start)
    harness.answer_start(start, StartAnswer.STARTED)
    harness.report(start.worker, ((start.task, start.run, 10),))
    (stop,) = restart_worker(harness, start.worker)
    assert (stop.life, stop.task, stop.run) == (2, start.task, start.run)
    assert list_starts(harness.place()) == []
    harness.handle_event(StopAnswered(stop.worker, stop.life, stop.task, stop.run))
    harness.report(start.worker)
    (again,) = list_starts(harness.place())
    assert again.run > start.run


def test_a_leader_that_may_have_been_replaced_gives_up_no_run_of_a_restarted_worker():
    """Its successor had stored the end before the restart, and the task ran again (TWICE)."""
    harness, start = make_harness_with_start()
    harness.answer_start(start, StartAnswer.STARTED)
    harness.report(start.worker, ((start.task, start.run, 10),))
    restarted = make_worker(start.worker, life=Life(2))
    others = [each for each in harness.listed.values() if each.worker != start.worker]
    harness.handle_event(WorkersListed((restarted, *others), is_confirmed=False))
    assert list_starts(harness.place()) == []
    harness.handle_event(WorkersListed((restarted, *others), is_confirmed=True))
    (again,) = list_starts(harness.place())
    assert again.run > start.run


def test_a_late_copy_of_a_start_whose_run_is_done_is_stopped_on_the_next_incarnation():
    harness, start = make_harness_with_start()
    lose_answer(harness, start)
    harness.answer_start(start, StartAnswer.STARTED)
    harness.report(start.worker, ended=((1, start.task, start.run, RunEnd.DONE),))
    harness.confirm_records()
    (stop,) = restart_worker(harness, start.worker)
    assert (stop.life, stop.task, stop.run) == (2, start.task, start.run)
    (stop,) = restart_worker(harness, start.worker, life=3)
    assert stop.life == 3


def test_a_start_without_an_answer_is_forgotten_in_time():
    harness, start = make_harness_with_start()
    lose_answer(harness, start)
    harness.answer_start(start, StartAnswer.STARTED)
    harness.report(start.worker, ended=((1, start.task, start.run, RunEnd.DONE),))
    harness.pass_time(UNANSWERED_START_MEMORY_MS)
    assert restart_worker(harness, start.worker) == []
    assert harness.state.unanswered_starts == {}


class OpenedWorker:
    """Answers renewals, and counts the stops that it gets."""

    def __init__(self) -> None:
        self.stops: list[RunNumber] = []

    async def renew(self, last_end_number, lease_until, wait_ms, timeout):
        await asyncio.sleep(0.001)
        return WorkerReport(WorkerTime(1_000), (), ())

    async def stop(self, task, run, timeout):
        self.stops.append(run)

    def close(self) -> None:
        pass


def test_a_stop_for_a_link_that_has_only_just_been_opened_is_sent():
    client: Any = OpenedWorker()
    events: list[object] = []

    async def scenario() -> None:
        writer = RecordWriter(
            OnePartitionTable(), Epoch(1), make_leadership(OnePartitionTable()), events.append
        )
        link = WorkerLink(
            make_worker("w1"), lambda: client, Epoch(1), lambda: 4_000, writer, events.append
        )
        task = asyncio.create_task(link.run())
        link.send_stop(
            StopRun(WorkerId("w1"), LIFE, make_task(1), RunNumber(3), StopReason.UNCLEAR)
        )
        await asyncio.sleep(0.02)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(scenario())
    assert client.stops == [3]
    assert [each.run for each in events if isinstance(each, StopAnswered)] == [3]


def run_link(create_client: Any, is_over: Callable[[], bool], monkeypatch) -> list[object]:
    """Run a link that is given a start when it has lost its worker, until `is_over`."""
    events: list[object] = []
    monkeypatch.setattr(_link, "RETRY_SECONDS", 0.001)

    async def scenario() -> None:
        table = OnePartitionTable()
        writer = RecordWriter(table, Epoch(1), make_leadership(table), events.append)
        link = WorkerLink(
            make_worker("w1"), create_client, Epoch(1), lambda: 4_000, writer, events.append
        )
        task = asyncio.create_task(link.run())
        await wait_until(is_over)
        link.send_start(
            StartRun(WorkerId("w1"), LIFE, make_task(1), RunNumber(1), "run", "", "", 0, 0)
        )
        link.send_stop(StopRun(WorkerId("w1"), LIFE, make_task(2), RunNumber(1), StopReason.FROZEN))
        await wait_until(lambda: any(isinstance(each, StopAnswered) for each in events))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(scenario())
    return events


class LosesExtension(OpenedWorker):
    """Answers the first renewal; the answer to the extension of its lease is lost."""

    async def renew(self, last_end_number, lease_until, wait_ms, timeout):
        if lease_until is not None:
            raise OutcomeUnknown("no answer")
        return await super().renew(last_end_number, lease_until, wait_ms, timeout)


def test_an_extension_of_a_lease_that_was_not_answered_is_waited_for():
    client: Any = LosesExtension()
    before = read_instant()
    noted: list[int] = []
    asyncio.run(extend_lease(client, lambda: 4_000, noted.append))
    (ends_at,) = noted
    assert ends_at >= before + 4_000


def test_only_the_list_of_workers_that_was_stored_allows_starts():
    events: list[object] = []
    workers = [make_worker("w1"), make_worker("w2")]

    async def scenario() -> None:
        table = OnePartitionTable()
        writer = RecordWriter(table, Epoch(1), make_leadership(table), events.append)
        writer.queue(RecordWorkers(tuple(workers)))
        writer.queue(RecordWorkers((workers[0],)))
        task = asyncio.create_task(writer.run())
        assert await writer.wait_durable(2, 5.0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(scenario())
    recorded = [each for each in events if isinstance(each, WorkersRecorded)]
    assert [each.lives for each in recorded] == [(("w1", LIFE),)]


def test_a_start_that_the_next_incarnation_answered_is_not_repeated_before_its_report():
    harness, start = make_harness_with_start()
    # The answer to a start does not tell which incarnation has given it.
    harness.answer_start(start, StartAnswer.STARTED)
    (stop,) = restart_worker(harness, start.worker)
    assert (stop.life, stop.task, stop.run) == (2, start.task, start.run)
    harness.pass_time(250)
    assert list_starts(harness.place()) == []


def test_a_task_is_not_bound_forever_to_a_silent_worker_that_restarts_on_and_on():
    harness, start = make_harness_with_start()
    other = "w2" if start.worker == "w1" else "w1"
    starts: list[StartRun] = []
    for life in range(2, 12):
        restart_worker(harness, start.worker, life)
        for _ in range(32):
            harness.pass_time(250)
            harness.report(other)
            starts.extend(list_starts(harness.place()))
    assert [each.worker for each in starts] == [other]


def test_a_later_process_that_may_not_be_taken_up_yet_does_not_show_that_a_start_came_to_nothing():
    """The start may still be carried out by the later process, while its task runs elsewhere."""
    harness, start = make_harness_with_start()
    lose_answer(harness, start)
    others = [each for each in harness.listed.values() if each.worker != start.worker]
    later = make_worker(start.worker, life=Life(2))
    while harness.now < harness.state.workers[start.worker].lease_ends_at + SETTLE_MS:
        harness.pass_time(250, is_confirmed=False)
        harness.handle_event(WorkersListed((later, *others), is_confirmed=False))
        harness.report(others[0].worker)
    harness.pass_time(250)
    assert list_starts(harness.place()) == []


FORMER, SET_BACK = Life(5), Life(3)


def make_harness_with_run() -> tuple[PoolHarness, StartRun]:
    """Return a leader with two workers, one of which lists a run."""
    harness = PoolHarness()
    harness.add_workers(make_worker("w1", life=FORMER), make_worker("w2", life=FORMER))
    harness.submit(1)
    (start,) = list_starts(harness.place())
    harness.answer_start(start, StartAnswer.STARTED)
    harness.report(start.worker, ((start.task, start.run, 10),))
    return harness, start


def get_life(harness: PoolHarness, worker: WorkerId) -> Life:
    return harness.state.workers[worker].life


def test_a_process_that_started_with_its_clock_set_back_is_used_once_it_has_answered():
    """Its entry was taken for one of a former process until the clock had caught up."""
    harness, start = make_harness_with_run()
    restart_worker(harness, start.worker, SET_BACK)
    harness.handle_event(OtherLifeAnswered(start.worker, FORMER, SET_BACK))
    restart_worker(harness, start.worker, SET_BACK)
    assert get_life(harness, start.worker) == SET_BACK
    harness.report(start.worker)
    let_rest(harness, start.worker)
    harness.submit(2, StepSpec(9, TASK_RESOURCES, 500))
    assert (start.worker, SET_BACK) in {
        (each.worker, each.life) for each in list_starts(harness.place())
    }


@pytest.mark.parametrize("life", [SET_BACK, Life(FORMER + 1)])
def test_a_restarted_worker_whose_entry_was_gone_meanwhile_may_hold_its_runs_for_longer(life):
    harness, start = make_harness_with_run()
    others = [each for each in harness.listed.values() if each.worker != start.worker]
    harness.list_workers(*others)
    while start.worker in harness.state.workers:
        harness.pass_time(250)
    restart_worker(harness, start.worker, life)
    harness.report(start.worker)
    assert harness.state.workers[start.worker].held_until > harness.now


@pytest.mark.parametrize("answered", [None, Life(2), Life(4)])
def test_an_entry_of_a_former_process_that_comes_late_does_not_end_a_run(answered):
    harness, start = make_harness_with_run()
    if answered is not None:
        harness.handle_event(OtherLifeAnswered(start.worker, FORMER, answered))
    restart_worker(harness, start.worker, SET_BACK)
    assert get_life(harness, start.worker) == FORMER
    harness.report("w2" if start.worker == "w1" else "w1")
    assert list_starts(harness.place()) == []


@pytest.mark.parametrize("late", [FORMER, Life(4)])
def test_an_entry_from_before_the_clock_was_set_back_that_comes_late_does_not_end_a_run(late):
    """A list that was requested earlier may be as of a later moment."""
    harness, start = make_harness_with_run()
    harness.handle_event(OtherLifeAnswered(start.worker, FORMER, SET_BACK))
    restart_worker(harness, start.worker, SET_BACK)
    restart_worker(harness, start.worker, late)
    assert get_life(harness, start.worker) == SET_BACK
    restart_worker(harness, start.worker, FORMER + 1)
    assert get_life(harness, start.worker) == FORMER + 1


def test_a_leader_that_may_have_been_replaced_does_not_take_up_a_process_that_has_answered():
    harness, start = make_harness_with_run()
    harness.handle_event(OtherLifeAnswered(start.worker, FORMER, SET_BACK))
    entry = make_worker(start.worker, life=SET_BACK)
    others = [each for each in harness.listed.values() if each.worker != start.worker]
    harness.handle_event(WorkersListed((entry, *others), is_confirmed=False))
    assert get_life(harness, start.worker) == FORMER


def test_an_answer_that_was_meant_for_a_former_link_does_not_count():
    harness, start = make_harness_with_run()
    harness.handle_event(OtherLifeAnswered(start.worker, Life(4), SET_BACK))
    restart_worker(harness, start.worker, SET_BACK)
    assert get_life(harness, start.worker) == FORMER


class RestartedWorker(OpenedWorker):
    """Another incarnation answers the second renewal and the following ones."""

    def __init__(self) -> None:
        super().__init__()
        self.leases: list[WorkerTime | None] = []
        self.starts = 0

    async def renew(self, last_end_number, lease_until, wait_ms, timeout):
        self.leases.append(lease_until)
        if len(self.leases) > 1:
            raise OtherLife("life 2 answered a request to life 1", Life(2))
        return await super().renew(last_end_number, lease_until, wait_ms, timeout)

    async def start(self, task, run, text, checkpoint, ticket, lease_until, timeout):
        self.starts += 1
        return StartAnswer.STARTED


def test_an_incarnation_gets_no_leases_and_starts_that_were_meant_for_another_one(monkeypatch):
    client: Any = RestartedWorker()
    events = run_link(lambda: client, lambda: len(client.leases) > 4, monkeypatch)
    assert client.leases[2:] == [None] * len(client.leases[2:])
    (answered,) = [each for each in events if isinstance(each, StartAnswered)]
    assert (client.starts, answered.answer) == (0, StartAnswer.UNHEALTHY)
    others = [each for each in events if isinstance(each, OtherLifeAnswered)]
    assert others == [OtherLifeAnswered(WorkerId("w1"), LIFE, Life(2))]


class FencingWorker(OpenedWorker):
    """Loses one renewal; clients opened before that are refused from then on."""

    def __init__(self, opened: list[FencingWorker]) -> None:
        super().__init__()
        self.opened = opened
        opened.append(self)

    async def renew(self, last_end_number, lease_until, wait_ms, timeout):
        await asyncio.sleep(0.001)
        if len(self.opened) == 1:
            raise OutcomeUnknown("no answer")
        return WorkerReport(WorkerTime(1_000), (), ())

    async def stop(self, task, run, timeout):
        if self is not self.opened[-1]:
            raise RefusedByFence("a later token was seen")
        await super().stop(task, run, timeout)


def test_a_worker_that_fell_silent_is_contacted_with_a_new_token(monkeypatch):
    opened: list[FencingWorker] = []
    run_link(lambda: FencingWorker(opened), lambda: len(opened) > 1, monkeypatch)
    assert len(opened) == 2


def make_successor(*former: str) -> PoolHarness:
    """Return a new leader that knows the workers of the former one and has a recovered job."""
    harness = PoolHarness(epoch=2)
    workers = tuple(make_worker(name) for name in ("w1", "w2"))
    restore_former_workers(harness.state, tuple(each for each in workers if each.worker in former))
    harness.list_workers(*workers)
    harness.handle_event(JobAccepted(make_record(1), recovered=True))
    harness.report("w2")
    return harness


def test_a_successor_waits_for_a_silent_worker_that_restarted_as_long_as_for_any_silent_one():
    """All recovered jobs stood still for the longest lease, 10 s (review/8)."""
    harness = make_successor("w1", "w2")
    restart_worker(harness, WorkerId("w1"))
    restarted_at = harness.now
    starts: list[StartRun] = []
    while not starts and harness.now < restarted_at + 2 * LONGEST_LEASE_MS:
        harness.pass_time(250)
        harness.report("w2")
        starts = list_starts(harness.place())
    assert [each.worker for each in starts] == ["w2"]
    assert SETTLE_MS - 250 <= harness.now - restarted_at <= SETTLE_MS + 250


def test_a_successor_of_an_earlier_release_waits_for_a_silent_worker_that_has_restarted():
    """Leaders of that release send late commands to whoever answers at the worker's address."""
    harness = make_successor("w1", "w2")
    former = harness.state.former_leader
    harness.state.former_leader = replace(former, identifies_processes=False)
    restart_worker(harness, WorkerId("w1"))
    for _ in range(LONGEST_LEASE_MS // 250):
        harness.pass_time(250)
        harness.report("w2")
        assert list_starts(harness.place()) == []
    harness.pass_time(1_000)
    harness.report("w2")
    assert len(list_starts(harness.place())) == 1


def test_a_successor_waits_for_a_silent_worker_that_was_recorded_after_its_restart():
    """The former leader may have started tasks there: it sends nothing before the record."""
    harness = PoolHarness(epoch=2)
    workers = (make_worker("w1", life=Life(2)), make_worker("w2"))
    restore_former_workers(harness.state, workers)
    harness.list_workers(*workers)
    harness.handle_event(JobAccepted(make_record(1), recovered=True))
    harness.report("w2")
    assert list_starts(harness.place()) == []


def test_a_successor_numbers_runs_above_all_that_its_predecessor_may_have_started():
    """A worker refuses numbers up to those it has seen (review/5: a task restarted 168 times)."""
    predecessor = PoolHarness(epoch=1)
    predecessor.add_workers(make_worker("w1"))
    predecessor.submit(1, StepSpec(1, TASK_RESOURCES, lasting=True))
    for number in range(1, 1_201):
        (start,) = list_starts(predecessor.place())
        predecessor.answer_start(start, StartAnswer.STARTED)
        predecessor.report("w1", ended=((number, start.task, start.run, RunEnd.DONE),))
    successor = PoolHarness(epoch=2)
    successor.add_workers(make_worker("w1"))
    record = make_record(1, StepSpec(1, TASK_RESOURCES, lasting=True))
    successor.handle_event(JobAccepted(record, recovered=True))
    (first,) = list_starts(successor.place())
    assert first.run > start.run


def test_a_run_that_a_successor_finds_is_kept_until_the_leases_it_extended_are_over():
    harness = make_successor("w1", "w2")
    harness.state.former_leases_end_at = Instant(harness.now + SETTLE_MS + 2_000)
    harness.report("w1", ((make_task(1), 5, 10),), with_lease=False)
    harness.pass_time(SETTLE_MS + 500)
    harness.report("w2")
    assert list_starts(harness.place()) == []


def test_the_done_tasks_of_a_repeating_job_do_not_run_again_after_a_change_of_leader():
    # The steps of its occurrences began with the first tick, after the recovered ends were handled.
    harness = PoolHarness(epoch=2)
    harness.state.wall_now = WallTime(harness.now)
    steps = (StepSpec(2, TASK_RESOURCES, 500),)
    record = JobRecord(
        make_job_id(1),
        QUEUE,
        "run",
        steps,
        repeats=3,
        first_due=WallTime(harness.now - 500),
        every_ms=60_000,
    )
    harness.handle_event(JobAccepted(record, recovered=True))
    done = RunRecord(RunNumber(1), RunEnd.DONE)
    second = TaskKey(make_job_id(1), 1, 0, 0)
    harness.handle_event(RunsRecovered(((make_task(1), done), (second, done))))
    harness.add_workers(make_worker("w1"))
    harness.pass_time(250)
    started = {(each.task.occurrence, each.task.number) for each in list_starts(harness.place())}
    assert started == {(0, 1), (1, 1)}


def test_a_task_that_was_planned_for_the_former_incarnation_of_a_worker_starts_on_the_next_one():
    harness = PoolHarness(make_queue(advice=AdvicePolicy(100.0, 1.0, 300)))
    harness.add_workers(make_worker("w1"))
    harness.submit(1)
    (ask,) = list_advice_requests(harness.place())
    harness.grant_permissions(ask, "w1", valid_ms=300)
    harness.pass_time(250)
    harness.report("w1")
    (renewal,) = list_advice_requests(harness.place())
    harness.list_workers(make_worker("w1", life=Life(2)))
    harness.report("w1")
    assert list_starts(harness.grant_permissions(renewal, "w1", valid_ms=60_000)) == []
    let_rest(harness, "w1")
    (start,) = list_starts(harness.place())
    assert start.life == 2


def report_others(harness: PoolHarness, silent: str, *listed: ListedWorker) -> None:
    """Let all workers but one report; the registry shows `listed` instead, if given."""
    harness.pass_time(250)
    harness.list_workers(*(listed or tuple(harness.listed.values())))
    for name in harness.listed:
        if name != silent:
            harness.report(name)


def start_and_lose_the_first_answer() -> tuple[PoolHarness, StartRun]:
    harness, start = make_harness_with_start()
    lose_answer(harness, start)
    harness.answer_start(start, StartAnswer.STARTED)
    harness.report(start.worker, ((start.task, start.run, 10),))
    return harness, start


def test_a_task_waits_for_the_registry_if_a_late_start_may_reach_the_next_incarnation():
    """A task was started elsewhere at the lapse, and a late copy ran on the restarted worker."""
    harness, start = start_and_lose_the_first_answer()
    for _ in range((SETTLE_MS + 1_000) // 250):
        report_others(harness, start.worker)
        assert list_starts(harness.place()) == []
    (stop,) = restart_worker(harness, start.worker)
    assert (stop.life, stop.task, stop.run) == (2, start.task, start.run)


def test_a_task_starts_elsewhere_once_its_worker_has_outlived_the_lease_or_left_the_registry():
    for is_alive in (True, False):
        harness, start = start_and_lose_the_first_answer()
        for _ in range((SETTLE_MS + 1_000) // 250):
            report_others(harness, start.worker)
        assert list_starts(harness.place()) == []
        remaining = [each for each in harness.listed.values() if each.worker != start.worker]
        beating = make_worker(start.worker, sequence=1)
        for _ in range(8):
            report_others(harness, start.worker, *remaining, *((beating,) if is_alive else ()))
        (again,) = list_starts(harness.place())
        assert again.run > start.run


def test_a_ticket_for_one_incarnation_is_not_used_for_a_start_on_the_next_one():
    """It is valid during one life of the worker, so the start would be refused."""
    harness = PoolHarness(make_queue(advice=AdvicePolicy(100.0, 1.0, 60_000)))
    harness.add_workers(make_worker("w1"))
    harness.submit(1)
    (ask,) = list_advice_requests(harness.place())
    harness.grant_permissions(ask, "w1", valid_ms=60_000)
    (start,) = list_starts(harness.place())
    harness.answer_start(start, StartAnswer.STARTED)
    harness.report("w1", ((start.task, start.run, 10),))
    harness.list_workers(make_worker("w1", life=Life(2)))
    harness.report("w1", with_lease=False)
    let_rest(harness, "w1")
    effects = harness.place()
    assert list_starts(effects) == []
    (renewal,) = list_advice_requests(effects)
    (again,) = list_starts(harness.grant_permissions(renewal, "w1", valid_ms=60_000))
    assert again.life == 2
