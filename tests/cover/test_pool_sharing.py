"""Filling work is throttled while serving work on the same worker misses its latency target.

Filling work makes best-effort use of idle processor time.
"""

from __future__ import annotations

from lentilpath_core.pool import PaceRun, StartAnswer, StepSpec
from tests.common.pools import TASK_RESOURCES, PoolHarness, list_starts, make_task, make_worker

SERVING = StepSpec(1, TASK_RESOURCES, lasting=True, image="a", tail_target_ms=100)
FILLING = StepSpec(1, TASK_RESOURCES, 5_000, image="b", fills=True)


def make_shared_worker():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"))
    harness.submit(1, SERVING)
    harness.submit(2, FILLING)
    starts = list_starts(harness.place())
    for start in starts:
        harness.answer_start(start, StartAnswer.STARTED)
    return harness, tuple((start.task, start.run, 100) for start in starts)


def list_paces(effects) -> list[int]:
    return [each.percent for each in effects if isinstance(each, PaceRun)]


def test_filling_work_stops_within_two_seconds_of_a_missed_target():
    harness, running = make_shared_worker()
    paces = []
    for _ in range(3):
        harness.pass_time(1_000)
        paces.extend(list_paces(harness.report("w1", running, load=150)))
    assert paces == [25, 0]


def test_filling_work_resumes_gradually_when_the_target_is_met():
    harness, running = make_shared_worker()
    harness.pass_time(1_000)
    harness.report("w1", running, load=150)
    paces = []
    for _ in range(8):
        harness.pass_time(1_000)
        paces.extend(list_paces(harness.report("w1", running, load=50)))
    assert paces == [50, 75, 100]


def test_work_that_does_not_fill_is_never_paced():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"))
    harness.submit(1, SERVING)
    (start,) = list_starts(harness.place())
    harness.answer_start(start, StartAnswer.STARTED)
    harness.pass_time(2_000)
    effects = harness.report("w1", ((start.task, start.run, 100),), load=900)
    assert list_paces(effects) == []


def test_filling_work_takes_no_counted_processors():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"))
    harness.submit(1, StepSpec(8, TASK_RESOURCES))
    assert len(list_starts(harness.place())) == 8
    harness.submit(2, FILLING)
    assert len(list_starts(harness.place())) == 1


def test_filling_work_that_an_earlier_leader_has_throttled_gets_a_pace_by_the_next_one():
    harness = PoolHarness()
    harness.list_workers(make_worker("w1"))
    harness.submit(1, FILLING)
    running = ((make_task(1), 1, 10),)
    assert list_paces(harness.report("w1", running)) == [100]
    harness.pass_time(3_000)
    assert list_paces(harness.report("w1", running)) == []
