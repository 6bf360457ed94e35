"""Sizes and run times learned from what tasks of a workload were seen to use.

A task never holds less than its declared size: a report lags, so room that was given away on the
strength of past runs could not be taken back in time. It holds more than declared as soon as its
workload was seen to use more.
"""

from __future__ import annotations

from lentilpath_core.ids import Instant
from lentilpath_core.placement._messages import StopMode, StopTask, UsageReported
from lentilpath_core.placement._records import (
    KEPT_SAMPLES,
    Excess,
    HeldRoom,
    Job,
    PlacementState,
    Workload,
)
from lentilpath_core.placement._rooms import grow_room, take_larger
from lentilpath_core.placement._stops import request_stop
from lentilpath_core.resources import NO_RESOURCES, Resources
from lentilpath_core.workloads import WorkloadKind

MIN_SAMPLES = 4
"""Finished runs after which the learned run time takes the place of the declared one."""


def estimate_run_ms(job: Job) -> int:
    """Return how long a task of the job is expected to run at most, in milliseconds."""
    workload = job.workload
    if len(workload.run_times) < MIN_SAMPLES:
        return max(job.spec.run_ms, workload.longest_run_ms)
    return workload.longest_run_ms


def estimate_end(held: HeldRoom, now: Instant) -> Instant | None:
    """Return when the attempt will probably end; `None` for a service.

    An attempt that outlasted its estimate is taken to be in the middle of its run.
    """
    if held.expected_end is None:
        return None
    if held.expected_end > now:
        return held.expected_end
    return Instant(now + (now - held.started_at))


def learn_run(held: HeldRoom, ran_ms: int) -> None:
    """Take a finished run into what is known of its workload."""
    workload = held.job.workload
    if held.job.spec.kind is not WorkloadKind.SERVICE:
        workload.run_times.append(ran_ms)
        workload.longest_run_ms = max(workload.run_times)
    _keep_excess(workload, held)


def take_usage(state: PlacementState, event: UsageReported, now: Instant) -> None:
    """Learn from a report, and see to it that the task keeps to its room."""
    held = state.placed.get(event.task)
    if held is None or held.attempt != event.attempt:
        return
    if not held.seen_running and not held.stopping:
        held.job.seen_running += 1
    held.seen_running = True
    if event.used.fits_in(held.peak):
        return
    held.peak = take_larger(held.peak, event.used)
    workload = held.job.workload
    workload.largest_excess = _take_larger_excess(workload.largest_excess, _find_excess(held))
    if not event.used.fits_in(held.room):
        _answer_outgrowth(state, held, event.used, now)


def _find_excess(held: HeldRoom) -> Excess:
    declared = held.job.spec.resources
    return (
        max(1.0, held.peak.millicores / declared.millicores),
        max(1.0, held.peak.memory_mib / declared.memory_mib),
    )


def _take_larger_excess(one: Excess, other: Excess) -> Excess:
    return (max(one[0], other[0]), max(one[1], other[1]))


def _keep_excess(workload: Workload, held: HeldRoom) -> None:
    if held.peak == NO_RESOURCES:
        return
    workload.excesses.append(_find_excess(held))
    if len(workload.excesses) < KEPT_SAMPLES:
        return
    largest = (1.0, 1.0)
    for each in workload.excesses:
        largest = _take_larger_excess(largest, each)
    workload.largest_excess = largest


def _answer_outgrowth(state: PlacementState, held: HeldRoom, used: Resources, now: Instant) -> None:
    worker = state.workers.get(held.worker)
    if worker is None or held.stopping:
        return
    wanted = take_larger(held.room, used)
    if (wanted - held.room).fits_in(worker.free):
        grow_room(state, held, wanted)
        return
    if wanted.memory_mib - held.room.memory_mib > worker.free.memory_mib:
        _end_outgrown(state, held, used, now)
    elif not held.throttled:
        _throttle(state, held, used)


def _throttle(state: PlacementState, held: HeldRoom, used: Resources) -> None:
    held.throttled = True
    reason = (
        f"throttled: it used {used.millicores} millicores, it holds {held.room.millicores} "
        f"and {held.worker} has no more"
    )
    state.pending.append(
        StopTask(
            held.task, held.attempt, held.worker, StopMode.THROTTLE, reason, held.room.millicores
        )
    )


def _end_outgrown(state: PlacementState, held: HeldRoom, used: Resources, now: Instant) -> None:
    reason = (
        f"stopped: it used {used.memory_mib} MiB of memory, it holds {held.room.memory_mib} "
        f"and {held.worker} has no more; its next attempt holds what it used"
    )
    state.pending.append(request_stop(state, held, reason, now))
