"""Lasting tasks are moved off a worker before it leaves; other work runs on."""

from __future__ import annotations

import pytest

from lentilpath_core.pool import RunEnd, StartAnswer, StartRun, StepSpec, StopReason
from tests.common.pools import (
    TASK_RESOURCES,
    PoolHarness,
    list_starts,
    list_stops,
    make_worker,
)

NOTICE_MS = 2_500
LASTING = StepSpec(1, TASK_RESOURCES, lasting=True)


def start_on_one_worker(*steps: StepSpec) -> tuple[PoolHarness, StartRun]:
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"))
    harness.submit(1, *steps)
    start, *_ = starts = list_starts(harness.place())
    for each in starts:
        harness.answer_start(each, StartAnswer.STARTED)
    return harness, start


def announce_leaving(harness: PoolHarness) -> None:
    harness.list_workers(
        make_worker("w1", leaves_in_ms=NOTICE_MS, sequence=1), make_worker("w2", sequence=1)
    )
    harness.report("w2")


def test_a_lasting_task_is_started_elsewhere_before_its_worker_ends():
    harness, start = start_on_one_worker(LASTING)
    announce_leaving(harness)
    assert list_stops(harness.pass_time(500)) == []
    (stop,) = list_stops(harness.pass_time(600))
    assert (stop.task, stop.reason) == (start.task, StopReason.EVACUATED)
    harness.report("w1", ended=((1, start.task, start.run, RunEnd.STOPPED),))
    (again,) = list_starts(harness.place())
    assert (again.task, again.worker) == (start.task, "w2")


@pytest.mark.parametrize(
    "step",
    [
        StepSpec(1, TASK_RESOURCES, 20_000),
        StepSpec(1, TASK_RESOURCES, 20_000, saves_progress=True),
        StepSpec(3, TASK_RESOURCES, 20_000, gang=True, saves_progress=True),
    ],
    ids=["saves nothing", "saves", "gang"],
)
def test_work_that_ends_by_itself_runs_on(step):
    harness, _ = start_on_one_worker(step)
    announce_leaving(harness)
    assert list_stops(harness.pass_time(NOTICE_MS)) == []


def test_a_later_notice_does_not_put_off_the_move():
    harness, _ = start_on_one_worker(LASTING)
    announce_leaving(harness)
    harness.pass_time(800)
    harness.list_workers(
        make_worker("w1", leaves_in_ms=NOTICE_MS, sequence=2), make_worker("w2", sequence=2)
    )
    assert len(list_stops(harness.pass_time(300))) == 1
