"""Work that saves its progress is moved off a worker before it leaves; other work runs on."""

from __future__ import annotations

from lentilpath_core.pool import RunEnd, StartAnswer, StartRun, StepSpec, StopReason
from tests.common.pools import (
    TASK_ROOM,
    PoolBench,
    list_starts,
    list_stops,
    make_worker,
)

NOTICE_MS = 2_500


def start_on_one_worker(*steps: StepSpec) -> tuple[PoolBench, list[StartRun]]:
    bench = PoolBench()
    bench.add_workers(make_worker("w1"))
    bench.submit(1, *steps)
    starts = list_starts(bench.place())
    for start in starts:
        bench.answer_start(start, StartAnswer.STARTED)
    return bench, starts


def announce_leaving(bench: PoolBench) -> None:
    bench.list_workers(
        make_worker("w1", leaves_in_ms=NOTICE_MS, sequence=1), make_worker("w2", sequence=1)
    )
    bench.report("w2")


def report_progress(bench: PoolBench, starts: list[StartRun], percent: int) -> None:
    bench.report(
        "w1", running=tuple((each.task, each.run, percent) for each in starts), checkpoint="half"
    )


def test_a_run_that_saves_its_progress_goes_on_elsewhere_from_its_checkpoint():
    bench, (start,) = start_on_one_worker(StepSpec(1, TASK_ROOM, 20_000, saves_progress=True))
    announce_leaving(bench)
    report_progress(bench, [start], 10)
    assert list_stops(bench.pass_time(500)) == []
    (stop,) = list_stops(bench.pass_time(600))
    assert (stop.task, stop.reason) == (start.task, StopReason.EVACUATED)
    bench.report("w1", ended=((1, start.task, start.run, RunEnd.STOPPED),), checkpoint="later")
    (again,) = list_starts(bench.place())
    assert (again.worker, again.checkpoint) == ("w2", "later")


def test_a_run_that_will_be_done_in_time_is_left_alone():
    bench, (start,) = start_on_one_worker(StepSpec(1, TASK_ROOM, 2_000, saves_progress=True))
    announce_leaving(bench)
    bench.pass_time(800)
    report_progress(bench, [start], 50)
    assert list_stops(bench.pass_time(400)) == []


def test_a_run_that_saves_nothing_is_left_alone():
    bench, _ = start_on_one_worker(StepSpec(1, TASK_ROOM, 20_000))
    announce_leaving(bench)
    assert list_stops(bench.pass_time(NOTICE_MS)) == []


def test_a_lasting_task_is_started_elsewhere():
    bench, (start,) = start_on_one_worker(StepSpec(1, TASK_ROOM, lasting=True))
    announce_leaving(bench)
    (stop,) = list_stops(bench.pass_time(NOTICE_MS))
    assert stop.task == start.task
    bench.report("w1", ended=((1, start.task, start.run, RunEnd.STOPPED),))
    bench.report("w2")
    assert [each.worker for each in list_starts(bench.place())] == ["w2"]


def test_a_gang_is_moved_whole():
    gang = StepSpec(3, TASK_ROOM, 20_000, gang=True, saves_progress=True)
    bench, starts = start_on_one_worker(gang)
    announce_leaving(bench)
    assert len(list_stops(bench.pass_time(NOTICE_MS))) == 3
    ended = tuple(
        (number, each.task, each.run, RunEnd.STOPPED) for number, each in enumerate(starts, 1)
    )
    bench.report("w1", ended=ended, checkpoint="half")
    bench.report("w2")
    again = list_starts(bench.place())
    assert {(each.worker, each.checkpoint) for each in again} == {("w2", "half")}
    assert len(again) == 3


def test_a_later_notice_does_not_put_off_the_move():
    bench, _ = start_on_one_worker(StepSpec(1, TASK_ROOM, 20_000, saves_progress=True))
    announce_leaving(bench)
    bench.pass_time(800)
    bench.list_workers(
        make_worker("w1", leaves_in_ms=NOTICE_MS, sequence=2), make_worker("w2", sequence=2)
    )
    assert len(list_stops(bench.pass_time(300))) == 1
