"""Filling work is throttled while serving work on the same worker misses its latency target.

Filling work makes best-effort use of idle processor time.
"""

from __future__ import annotations

from lentilpath_core.pool import PaceRun, StartAnswer, StepSpec
from tests.common.pools import TASK_ROOM, PoolBench, list_starts, make_worker

SERVING = StepSpec(1, TASK_ROOM, lasting=True, image="a", tail_target_ms=100)
FILLING = StepSpec(1, TASK_ROOM, 5_000, image="b", fills=True)


def make_shared_worker():
    bench = PoolBench()
    bench.add_workers(make_worker("w1"))
    bench.submit(1, SERVING)
    bench.submit(2, FILLING)
    starts = list_starts(bench.place())
    for start in starts:
        bench.answer_start(start, StartAnswer.STARTED)
    return bench, tuple((start.task, start.run, 100) for start in starts)


def list_paces(effects) -> list[int]:
    return [each.percent for each in effects if isinstance(each, PaceRun)]


def test_filling_work_stops_within_two_seconds_of_a_missed_target():
    bench, running = make_shared_worker()
    paces = []
    for _ in range(3):
        bench.pass_time(1_000)
        paces.extend(list_paces(bench.report("w1", running, load=150)))
    assert paces == [25, 0]


def test_filling_work_resumes_gradually_when_the_target_is_met():
    bench, running = make_shared_worker()
    bench.pass_time(1_000)
    bench.report("w1", running, load=150)
    paces = []
    for _ in range(8):
        bench.pass_time(1_000)
        paces.extend(list_paces(bench.report("w1", running, load=50)))
    assert paces == [50, 75, 100]


def test_work_that_does_not_fill_is_never_paced():
    bench = PoolBench()
    bench.add_workers(make_worker("w1"))
    bench.submit(1, SERVING)
    (start,) = list_starts(bench.place())
    bench.answer_start(start, StartAnswer.STARTED)
    bench.pass_time(2_000)
    effects = bench.report("w1", ((start.task, start.run, 100),), load=900)
    assert list_paces(effects) == []


def test_filling_work_takes_no_counted_processors():
    bench = PoolBench()
    bench.add_workers(make_worker("w1"))
    bench.submit(1, StepSpec(8, TASK_ROOM))
    assert len(list_starts(bench.place())) == 8
    bench.submit(2, FILLING)
    assert len(list_starts(bench.place())) == 1
