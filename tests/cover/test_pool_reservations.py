"""A gang that does not fit starts as early as its workers allow; other work fills in until then."""

from __future__ import annotations

from lentilpath_core.ids import Instant
from lentilpath_core.pool import (
    QueueId,
    RunEnd,
    StartAnswer,
    StartRun,
    StepKey,
    StepSpec,
    _placement,
)
from lentilpath_core.pool._reservations import REFRESH_MS
from lentilpath_core.pool._state import PoolState, Step, Worker
from lentilpath_core.resources import Resources
from tests.common.pools import PoolHarness, list_starts, make_queue, make_worker

URGENT = make_queue(QueueId("urgent"), 0)
GANGS = make_queue(QueueId("gangs"), 1, target_ms=60_000)
PATIENT = make_queue(QueueId("patient"), 2, target_ms=60_000)
MEMBER = Resources(5_000, 512, 0)
SMALL = Resources(1_000, 512, 0)
LONG_MS = 4_000


def make_waiting_gang() -> tuple[PoolHarness, list[StartRun]]:
    """Return a pool of two workers whose long runs keep a gang of two from starting."""
    harness = PoolHarness(URGENT, GANGS, PATIENT)
    harness.add_workers(make_worker("w1"), make_worker("w2"))
    harness.submit(1, StepSpec(2, Resources(4_000, 512, 0), LONG_MS), queue=PATIENT.queue)
    running = list_starts(harness.place())
    for start in running:
        harness.answer_start(start, StartAnswer.STARTED)
    harness.submit(2, StepSpec(2, MEMBER, LONG_MS, gang=True), queue=GANGS.queue)
    assert list_starts(harness.place()) == []
    return harness, running


def list_jobs(starts: list[StartRun]) -> set[str]:
    return {start.task.job[-1] for start in starts}


def test_short_work_uses_reserved_workers_until_the_gang_starts():
    harness, _ = make_waiting_gang()
    harness.submit(3, StepSpec(4, SMALL, 500), queue=PATIENT.queue)
    assert list_jobs(list_starts(harness.place())) == {"3"}


def test_long_work_that_would_delay_the_gang_waits():
    harness, _ = make_waiting_gang()
    harness.submit(3, StepSpec(2, Resources(4_000, 512, 0), LONG_MS), queue=PATIENT.queue)
    assert list_starts(harness.place()) == []


def test_long_work_that_fits_beside_the_gang_starts():
    harness, _ = make_waiting_gang()
    harness.submit(3, StepSpec(2, SMALL, LONG_MS), queue=PATIENT.queue)
    assert list_jobs(list_starts(harness.place())) == {"3"}


def test_urgent_work_uses_reserved_workers():
    harness, _ = make_waiting_gang()
    harness.submit(3, StepSpec(1, Resources(4_000, 512, 0), LONG_MS), queue=URGENT.queue)
    assert list_jobs(list_starts(harness.place())) == {"3"}


def test_the_gang_starts_first_when_its_workers_are_free():
    harness, running = make_waiting_gang()
    harness.submit(3, StepSpec(8, Resources(4_000, 512, 0), LONG_MS), queue=PATIENT.queue)
    for start in running:
        harness.report(start.worker, ended=((1, start.task, start.run, RunEnd.DONE),))
    starts = list_starts(harness.place())
    assert list_jobs(starts[:2]) == {"2"}


def test_a_gang_takes_free_slots_of_many_workers_instead_of_emptying_a_few():
    harness = PoolHarness(GANGS, PATIENT)
    harness.add_workers(*(make_worker(f"w{number}") for number in range(4)))
    harness.submit(1, StepSpec(4, Resources(4_000, 512, 0), LONG_MS), queue=PATIENT.queue)
    harness.place()
    harness.submit(2, StepSpec(5, Resources(4_000, 512, 0), LONG_MS, gang=True), queue=GANGS.queue)
    harness.place()
    reserved = [
        reservation.spare[worker] for worker, reservation in harness.state.reservations.items()
    ]
    assert len(reserved) == 3
    assert sum(each.millicores for each in reserved) == 4_000


def test_a_gang_for_which_no_start_can_be_planned_is_planned_seldom(monkeypatch):
    planned: list[StepKey] = []

    def find_nothing(state: PoolState, step: Step, candidates: list[Worker], now: Instant) -> None:
        planned.append(step.key)

    monkeypatch.setattr(_placement, "make_reservation", find_nothing)
    harness = PoolHarness(GANGS)
    harness.add_workers(make_worker("w1"))
    harness.submit(1, StepSpec(2, MEMBER, LONG_MS, gang=True), queue=GANGS.queue)
    for _ in range(10):
        harness.place()
    assert len(planned) == 1
    harness.pass_time(REFRESH_MS)
    harness.place()
    assert len(planned) == 2
