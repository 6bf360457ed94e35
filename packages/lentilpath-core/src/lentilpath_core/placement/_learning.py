"""Estimates of task size and run time, learned from the measured usage of a workload.

A task is never allocated less than its declared size: usage reports lag, so resources overcommitted
on the basis of past runs could not be reclaimed in time. It is allocated more than declared once a
task of its workload has used more.
"""

from __future__ import annotations

from lentilpath_core.ids import Instant
from lentilpath_core.placement._messages import StopMode, StopTask, UsageReported
from lentilpath_core.placement._records import (
    MAX_SAMPLES,
    Allocation,
    Job,
    PlacementState,
    UsageRatio,
    Workload,
)
from lentilpath_core.placement._rooms import grow_allocation, max_resources
from lentilpath_core.placement._stops import request_stop
from lentilpath_core.resources import NO_RESOURCES, Resources
from lentilpath_core.workloads import WorkloadKind

MIN_SAMPLES = 4
"""Successful runs after which the learned run time replaces the declared one."""


def estimate_run_ms(job: Job) -> int:
    """Return the longest expected run time of a task of the job, in milliseconds."""
    workload = job.workload
    if len(workload.run_times) < MIN_SAMPLES:
        return max(job.spec.run_ms, workload.longest_run_ms)
    return workload.longest_run_ms


def estimate_end(allocation: Allocation, now: Instant) -> Instant | None:
    """Return when the attempt is expected to end; `None` for a service.

    An attempt that has run past its estimate is assumed to be halfway through its run.
    """
    if allocation.estimated_end is None:
        return None
    if allocation.estimated_end > now:
        return allocation.estimated_end
    return Instant(now + (now - allocation.started_at))


def record_run(allocation: Allocation, ran_ms: int) -> None:
    """Add the run time and peak usage of a successful run to the samples of its workload."""
    workload = allocation.job.workload
    if allocation.job.spec.kind is not WorkloadKind.SERVICE:
        workload.run_times.append(ran_ms)
        workload.longest_run_ms = max(workload.run_times)
    _record_usage_ratio(workload, allocation)


def record_usage(state: PlacementState, event: UsageReported, now: Instant) -> None:
    """Update usage estimates from a report, and handle a task that exceeds its allocation.

    Such a task gets a larger allocation if its worker has the resources. Otherwise it is stopped
    if the worker lacks the memory, and throttled if it lacks only the processors.
    """
    allocation = state.allocations.get(event.task)
    if allocation is None or allocation.attempt != event.attempt:
        return
    if not allocation.seen_running and not allocation.stopping:
        allocation.job.running_count += 1
    allocation.seen_running = True
    if event.used.fits_in(allocation.peak):
        return
    allocation.peak = max_resources(allocation.peak, event.used)
    workload = allocation.job.workload
    workload.max_usage_ratio = _max_usage_ratio(
        workload.max_usage_ratio, _compute_usage_ratio(allocation)
    )
    if not event.used.fits_in(allocation.resources):
        _handle_overuse(state, allocation, event.used, now)


def _compute_usage_ratio(allocation: Allocation) -> UsageRatio:
    declared = allocation.job.spec.resources
    return (
        max(1.0, allocation.peak.millicores / declared.millicores),
        max(1.0, allocation.peak.memory_mib / declared.memory_mib),
    )


def _max_usage_ratio(one: UsageRatio, other: UsageRatio) -> UsageRatio:
    return (max(one[0], other[0]), max(one[1], other[1]))


def _record_usage_ratio(workload: Workload, allocation: Allocation) -> None:
    if allocation.peak == NO_RESOURCES:
        return
    workload.usage_ratios.append(_compute_usage_ratio(allocation))
    if len(workload.usage_ratios) < MAX_SAMPLES:
        return
    largest = (1.0, 1.0)
    for each in workload.usage_ratios:
        largest = _max_usage_ratio(largest, each)
    workload.max_usage_ratio = largest


def _handle_overuse(
    state: PlacementState, allocation: Allocation, used: Resources, now: Instant
) -> None:
    worker = state.workers.get(allocation.worker)
    if worker is None or allocation.stopping:
        return
    wanted = max_resources(allocation.resources, used)
    if (wanted - allocation.resources).fits_in(worker.free):
        grow_allocation(state, allocation, wanted)
        return
    if wanted.memory_mib - allocation.resources.memory_mib > worker.free.memory_mib:
        _stop_for_memory(state, allocation, used, now)
    elif not allocation.throttled:
        _throttle(state, allocation, used)


def _throttle(state: PlacementState, allocation: Allocation, used: Resources) -> None:
    allocation.throttled = True
    reason = (
        f"throttled: it used {used.millicores} millicores, "
        f"it holds {allocation.resources.millicores} "
        f"and {allocation.worker} has no more"
    )
    state.pending_decisions.append(
        StopTask(
            allocation.task,
            allocation.attempt,
            allocation.worker,
            StopMode.THROTTLE,
            reason,
            allocation.resources.millicores,
        )
    )


def _stop_for_memory(
    state: PlacementState, allocation: Allocation, used: Resources, now: Instant
) -> None:
    reason = (
        f"stopped: it used {used.memory_mib} MiB of memory, "
        f"it holds {allocation.resources.memory_mib} "
        f"and {allocation.worker} has no more; its next attempt holds what it used"
    )
    state.pending_decisions.append(request_stop(state, allocation, reason, now))
