"""A run that stands still is stopped; one whose worker shows too little of its progress is not.

Workers report whole percents. Runs of tasks of over 400 s were stopped as frozen 4 s after each
start, since they showed no progress for longer, and never ended (review/3).
"""

from __future__ import annotations

import pytest

from lentilpath_core.ids import Instant
from lentilpath_core.pool import (
    JobAccepted,
    RunEnd,
    StartAnswer,
    StartRun,
    StepSpec,
    StopReason,
    restore_former_workers,
)
from tests.common.pools import (
    TASK_RESOURCES,
    PoolHarness,
    list_starts,
    list_stops,
    make_record,
    make_task,
    make_worker,
)

TICK_MS = 250
LONG_MS = 600_000
SLOWEST = 6
"""Times that the slowest workers take longer."""
SOON_MS = 5_000
"""Time without progress after which a run of a task of seconds has been stopped."""
SERVING_PERCENT = 100


def start_task(harness: PoolHarness) -> StartRun:
    """Place the only waiting task and have its start answered."""
    while not (starts := list_starts(harness.place())):
        harness.pass_time(TICK_MS)
        report_idle(harness)
    harness.answer_start(starts[0], StartAnswer.STARTED)
    return starts[0]


def report_idle(harness: PoolHarness) -> None:
    for name in harness.listed:
        harness.report(name)


def play_run(
    harness: PoolHarness, start: StartRun, run_ms: float, until_ms: float, first: int = 0
) -> bool:
    """Report a run that takes `run_ms` as it progresses; return whether it was stopped.

    `first` is the percent at which it stands now.
    """
    begun_at = harness.now
    while harness.now < begun_at + until_ms:
        percent = first + int((harness.now - begun_at) * 100 / run_ms)
        running = ((start.task, start.run, min(percent, 100)),)
        harness.report(start.worker, running=running)
        if list_stops(harness.pass_time(TICK_MS)):
            return True
    return False


def make_pool(step: StepSpec) -> PoolHarness:
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"), make_worker("w2"))
    harness.submit(1, step)
    return harness


def end_stopped_run(harness: PoolHarness, start: StartRun, number: int) -> None:
    harness.report(start.worker, ended=((number, start.task, start.run, RunEnd.STOPPED),))
    harness.confirm_records()


@pytest.mark.parametrize("slowness", [1, SLOWEST])
def test_a_long_run_whose_percents_take_longer_than_the_least_limit_is_not_stopped(slowness):
    harness = make_pool(StepSpec(1, TASK_RESOURCES, LONG_MS))
    start = start_task(harness)
    assert not play_run(harness, start, LONG_MS * slowness, LONG_MS * slowness / 10)


def test_a_long_run_of_a_former_leader_is_not_stopped():
    harness = PoolHarness(epoch=2)
    restore_former_workers(harness.state, (make_worker("w1"),))
    harness.list_workers(make_worker("w1"))
    record = make_record(1, StepSpec(1, TASK_RESOURCES, LONG_MS))
    harness.handle_event(JobAccepted(record, recovered=True))
    task = make_task(1)
    for percent in range(40, 50):
        for _ in range(6_000 // TICK_MS):
            harness.report("w1", running=((task, 1, percent),))
            assert list_stops(harness.pass_time(TICK_MS)) == []


@pytest.mark.parametrize("estimate_ms", [0, 1_000])
def test_a_long_task_with_a_missing_or_far_too_low_estimate_is_stopped_a_few_times_only(
    estimate_ms,
):
    harness = make_pool(StepSpec(1, TASK_RESOURCES, estimate_ms))
    stops = 0
    while play_run(harness, start := start_task(harness), LONG_MS, LONG_MS):
        stops += 1
        assert stops <= 3
        end_stopped_run(harness, start, stops)


def test_a_run_without_an_estimate_that_slows_down_is_judged_by_its_own_speed():
    harness = make_pool(StepSpec(1, TASK_RESOURCES))
    start = start_task(harness)
    assert not play_run(harness, start, 200_000, 20_000)
    assert not play_run(harness, start, 200_000 * SLOWEST, 60_000, first=10)


@pytest.mark.parametrize("estimate_ms", [0, 640, 6_200, 30_000])
@pytest.mark.parametrize("percent", [0, 1, 5, 50])
def test_a_run_of_a_task_of_seconds_that_stands_still_is_stopped_soon(estimate_ms, percent):
    harness = make_pool(StepSpec(1, TASK_RESOURCES, estimate_ms))
    start = start_task(harness)
    stands_still_ms = max(estimate_ms, 1_000) * percent / 100
    assert not play_run(harness, start, max(estimate_ms, 1_000), stands_still_ms)
    stopped_by = Instant(int(harness.now + SOON_MS))
    while not list_stops(harness.effects) and harness.now < stopped_by:
        harness.report(start.worker, running=((start.task, start.run, percent),))
        harness.pass_time(TICK_MS)
    assert [each.reason for each in list_stops(harness.effects)] == [StopReason.FROZEN]


def test_the_second_run_of_a_task_of_seconds_is_stopped_as_soon_as_the_first():
    harness = make_pool(StepSpec(1, TASK_RESOURCES, 2_000))
    for number in (1, 2):
        start = start_task(harness)
        assert play_run(harness, start, float("inf"), SOON_MS)
        end_stopped_run(harness, start, number)


def test_a_long_run_that_stands_still_is_stopped():
    harness = make_pool(StepSpec(1, TASK_RESOURCES, LONG_MS))
    start = start_task(harness)
    assert not play_run(harness, start, LONG_MS, LONG_MS / 10)
    assert play_run(harness, start, float("inf"), LONG_MS / 4, first=10)


def test_no_member_of_a_gang_raises_the_limit_of_another():
    harness = make_pool(StepSpec(8, TASK_RESOURCES, 2_000, gang=True))
    for turn in (1, 2):
        while not (starts := list_starts(harness.place())):
            harness.pass_time(TICK_MS)
            report_idle(harness)
        for start in starts:
            harness.answer_start(start, StartAnswer.STARTED)
        harness.effects.clear()
        for _ in range(SOON_MS // TICK_MS):
            _report_standing_still(harness, starts)
            harness.pass_time(TICK_MS)
        assert {each.task for each in list_stops(harness.effects)} == {each.task for each in starts}
        for number, start in enumerate(starts):
            end_stopped_run(harness, start, 8 * turn + number)


def _report_standing_still(harness: PoolHarness, starts: list[StartRun]) -> None:
    for name in harness.listed:
        running = tuple((each.task, each.run, 0) for each in starts if each.worker == name)
        harness.report(name, running=running)


def test_a_lasting_task_with_a_long_startup_serves_in_the_end_and_is_then_judged_anew():
    harness = make_pool(StepSpec(1, TASK_RESOURCES, lasting=True))
    startup_ms = 7_000
    number = 0
    while True:
        start = start_task(harness)
        if not play_run(harness, start, float("inf"), startup_ms):
            break
        number += 1
        assert number <= 3
        end_stopped_run(harness, start, number)
    assert not play_run(harness, start, LONG_MS, SOON_MS, first=SERVING_PERCENT)
    end_stopped_run(harness, start, number + 1)
    assert play_run(harness, start_task(harness), float("inf"), SOON_MS)
