"""Failure handling: quarantine of workers, holds on workloads, backoff and the retry budget.

A failure counts against both the worker and the workload until it can be attributed. If the
workload succeeds elsewhere, the worker is at fault and is quarantined. If the workload fails on
several workers, it is at fault and is held back. The failures are then no longer counted against
the other side. A quarantine or hold ends with a single probe task, as a circuit breaker does in its
half-open state.
"""

from __future__ import annotations

import heapq
import zlib

from lentilpath_core.ids import Instant
from lentilpath_core.placement._messages import RefuseJob, WaitRule
from lentilpath_core.placement._queues import (
    clear_waiting,
    enqueue_job,
    is_startable,
    unblock_fitting_shapes,
)
from lentilpath_core.placement._records import Allocation, Job, PlacementState, Worker, Workload
from lentilpath_core.placement._rooms import reindex_worker
from lentilpath_core.workloads import PriorityClass, WorkloadKind

QUARANTINE_FAILURES = 3
"""Failures on a worker since its last success, at which it is quarantined.

Either the failures of workloads that succeed elsewhere or the distinct failed workloads must reach
this count.
"""
INITIAL_QUARANTINE_MS = 30_000
MAX_QUARANTINE_MS = 600_000
MAX_QUARANTINED_SHARE = 1 / 3
"""Largest share of workers in quarantine; if more workers fail, the cause is not in the workers."""
HOLD_FAILED_WORKERS = 3
"""Workers on which a workload must fail since its last success to be held back."""
INITIAL_HOLD_MS = 30_000
MAX_HOLD_MS = 3_600_000
MAX_HOLDS = 6
"""Consecutive failed trials after which the jobs of a held workload are refused."""
INITIAL_BACKOFF_MS = 1_000
MAX_BACKOFF_MS = 60_000
RETRIES_PER_WORKER_PER_SECOND = 1.0
RETRY_BURST_MS = 2_000
"""Unused retry budget accumulates for this long at most, which limits a burst of retries."""


def add_jitter(delay_ms: int, *identity: object) -> int:
    """Return `delay_ms` with jitter, as 0.5 to 1.5 times its value.

    The jitter is a hash of `identity`, so that decisions stay deterministic.
    """
    digest = zlib.crc32("|".join(str(part) for part in identity).encode())
    return delay_ms // 2 + digest * delay_ms // 0xFFFFFFFF


def compute_backoff_ms(task: str, failures: int) -> int:
    """Return the backoff in milliseconds of a task that failed `failures` times in a row."""
    delay_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << min(failures - 1, 16))
    return add_jitter(delay_ms, task, failures)


def reserve_retry(state: PlacementState, now: Instant) -> Instant:
    """Charge one retry to the zone's retry budget and return when it may start."""
    schedulable = len(state.plain_index) + len(state.accelerated_index)
    interval_ms = 1_000 / (RETRIES_PER_WORKER_PER_SECOND * max(1, schedulable))
    allowed_at = max(state.next_retry_at, now - RETRY_BURST_MS)
    state.next_retry_at = allowed_at + interval_ms
    return Instant(max(now, int(allowed_at)))


def record_success(state: PlacementState, allocation: Allocation) -> None:
    """Reset the failure counts of the worker and the workload, and end their quarantine or hold.

    A quarantine ends only if the task was the probe of the worker.
    """
    workload = allocation.job.workload
    workload.succeeded = True
    workload.failed_workers.clear()
    workload.hold_count = 0
    allocation.job.failures.pop(allocation.task, None)
    release_hold(state, workload)
    worker = state.workers.get(allocation.worker)
    if worker is None:
        return
    worker.failed_workloads.clear()
    if worker.probe_task == allocation.task:
        _readmit_worker(state, worker)


def record_failure(state: PlacementState, allocation: Allocation, now: Instant) -> None:
    """Count a failure, and quarantine the worker or hold the workload if either is at fault."""
    job = allocation.job
    workload = job.workload
    job.failures[allocation.task] = job.failures.get(allocation.task, 0) + 1
    job.avoided_workers.setdefault(allocation.task, set()).add(allocation.worker)
    worker = state.workers.get(allocation.worker)
    if worker is None:
        return
    if worker.quarantined_until is None and workload.held_until is None:
        failures = worker.failed_workloads.get(workload.name, 0)
        worker.failed_workloads[workload.name] = failures + 1
        workload.failed_workers.add(allocation.worker)
    if worker.probe_task == allocation.task or _should_quarantine(state, worker):
        _quarantine_worker(state, worker, now)
    elif workload.probe_task == allocation.task or _should_hold(state, workload):
        _hold_workload(state, workload, now)


def clear_probe(state: PlacementState, allocation: Allocation) -> None:
    """Allow another probe if the attempt was one and ended with neither success nor failure."""
    workload = allocation.job.workload
    if workload.probe_task == allocation.task:
        workload.probe_task = None
        allow_trial(state, workload)
    worker = state.workers.get(allocation.worker)
    if worker is not None and worker.probe_task == allocation.task:
        worker.probe_task = None
        worker.probe_due = True
        state.workers_to_probe[worker.worker] = worker


def release_hold(state: PlacementState, workload: Workload) -> None:
    """End the hold of the workload and queue its jobs."""
    workload.held_until = None
    workload.probe_task = None
    workload.trial_job = None
    jobs, workload.held_jobs = workload.held_jobs, {}
    for job in jobs.values():
        enqueue_job(state, job)


def allow_due_trials(state: PlacementState, now: Instant) -> None:
    """Allow a trial task of each workload whose hold has expired."""
    while state.hold_expiries and state.hold_expiries[0][0] <= now:
        name = heapq.heappop(state.hold_expiries)[1]
        workload = state.workloads.get(name)
        if workload is None or workload.held_until is None or workload.held_until > now:
            continue
        allow_trial(state, workload)


def allow_due_probes(state: PlacementState, now: Instant) -> None:
    """Allow a probe task on each worker whose quarantine has expired."""
    while state.quarantine_expiries and state.quarantine_expiries[0][0] <= now:
        worker = state.workers.get(heapq.heappop(state.quarantine_expiries)[1])
        if worker is None or worker.quarantined_until is None or worker.quarantined_until > now:
            continue
        if worker.probe_task is None:
            worker.probe_due = True
            state.workers_to_probe[worker.worker] = worker


def may_probe_worker(job: Job) -> bool:
    """Return whether a task of the job may run as the probe of a quarantined worker."""
    policy = job.spec.policy
    return (
        job.spec.kind is WorkloadKind.BATCH
        and policy.priority is not PriorityClass.URGENT
        and (policy.idempotent or policy.retry_limit > 0)
    )


def record_worker_probe(state: PlacementState, worker: Worker, allocation: Allocation) -> None:
    """Record the attempt as the probe whose outcome ends or extends the worker's quarantine."""
    worker.probe_task = allocation.task
    worker.probe_due = False
    state.workers_to_probe.pop(worker.worker, None)


def _should_quarantine(state: PlacementState, worker: Worker) -> bool:
    if worker.quarantined_until is not None:
        return False
    quarantined = sum(1 for each in state.workers.values() if each.quarantined_until is not None)
    if quarantined + 1 > max(1, len(state.workers) * MAX_QUARANTINED_SHARE):
        return False
    failures = worker.failed_workloads
    attributed = sum(count for name, count in failures.items() if _succeeds_elsewhere(state, name))
    return attributed >= QUARANTINE_FAILURES or len(failures) >= QUARANTINE_FAILURES


def _succeeds_elsewhere(state: PlacementState, name: str) -> bool:
    workload = state.workloads.get(name)
    return workload is not None and workload.succeeded and len(workload.failed_workers) <= 1


def _should_hold(state: PlacementState, workload: Workload) -> bool:
    if workload.held_until is not None:
        return False
    schedulable = len(state.plain_index) + len(state.accelerated_index)
    return len(workload.failed_workers) >= max(1, min(HOLD_FAILED_WORKERS, schedulable))


def _quarantine_worker(state: PlacementState, worker: Worker, now: Instant) -> None:
    worker.quarantine_count += 1
    worker.probe_task = None
    duration_ms = min(
        MAX_QUARANTINE_MS, INITIAL_QUARANTINE_MS << min(worker.quarantine_count - 1, 16)
    )
    until = Instant(now + add_jitter(duration_ms, worker.worker, worker.quarantine_count))
    worker.quarantined_until = until
    heapq.heappush(state.quarantine_expiries, (until, worker.worker))
    for name in worker.failed_workloads:
        workload = state.workloads.get(name)
        if workload is not None:
            workload.failed_workers.discard(worker.worker)
    worker.failed_workloads.clear()
    reindex_worker(state, worker)


def _readmit_worker(state: PlacementState, worker: Worker) -> None:
    worker.quarantined_until = None
    worker.quarantine_count = 0
    worker.probe_task = None
    worker.probe_due = False
    state.workers_to_probe.pop(worker.worker, None)
    reindex_worker(state, worker)
    unblock_fitting_shapes(state, worker, worker.free)


def _hold_workload(state: PlacementState, workload: Workload, now: Instant) -> None:
    workload.hold_count += 1
    workload.probe_task = None
    workload.trial_job = None
    duration_ms = min(MAX_HOLD_MS, INITIAL_HOLD_MS << min(workload.hold_count - 1, 16))
    until = Instant(now + add_jitter(duration_ms, workload.name, workload.hold_count))
    workload.held_until = until
    heapq.heappush(state.hold_expiries, (until, workload.name))
    for name in workload.failed_workers:
        worker = state.workers.get(name)
        if worker is not None:
            worker.failed_workloads.pop(workload.name, None)
    if workload.hold_count > MAX_HOLDS:
        _refuse_held_jobs(state, workload)


def _refuse_held_jobs(state: PlacementState, workload: Workload) -> None:
    for job in workload.held_jobs.values():
        if job.spec.kind is WorkloadKind.SERVICE or job.refused:
            continue
        job.refused = True
        job.wait_rule = WaitRule.HELD_BACK
        reason = (
            f"refused: it failed on {len(workload.failed_workers)} workers without a success, "
            f"and in {MAX_HOLDS} later trials; mend the work and submit it again"
        )
        job.refusal_reason = reason
        clear_waiting(state, job)
        state.pending_decisions.append(RefuseJob(job.spec.job, reason))


def allow_trial(state: PlacementState, workload: Workload) -> None:
    """Queue the first startable job of a held workload, to run one of its tasks as a trial."""
    workload.trial_job = None
    while workload.held_jobs:
        name = next(iter(workload.held_jobs))
        job = workload.held_jobs.pop(name)
        if not is_startable(job):
            continue
        workload.trial_job = name
        enqueue_job(state, job)
        return
