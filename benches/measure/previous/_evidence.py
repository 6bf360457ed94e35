"""Evidence against workers that fail what they start, and against work that fails everywhere.

A failure counts against both the worker and the workload until one of them is cleared: a success
of the workload elsewhere speaks against the worker, failures on several other workers speak
against the workload. Whoever is found at fault takes its failures off the other's account.
"""

from __future__ import annotations

import heapq
import zlib

from benches.measure.previous._queues import (
    clear_waiting,
    enqueue_job,
    is_startable,
    unblock_shapes,
)
from benches.measure.previous._records import HeldRoom, Job, PlacementState, Worker, Workload
from benches.measure.previous._rooms import reindex_worker
from lentilpath_core.ids import Instant
from lentilpath_core.placement._messages import RefuseJob, WaitRule
from lentilpath_core.workloads import PriorityClass, WorkloadKind

QUARANTINE_FAILURES = 3
"""Failures without a success between, of work that runs elsewhere or of as many workloads."""
QUARANTINE_MS = 30_000
MAX_QUARANTINE_MS = 600_000
MAX_QUARANTINED_SHARE = 1 / 3
"""If more workers fail than this, the cause is not in the workers."""
HOLD_FAILED_WORKERS = 3
"""A workload is held back after it failed on this many workers without a success between."""
HOLD_MS = 30_000
MAX_HOLD_MS = 3_600_000
MAX_HOLDS = 6
"""Failed trials after which a held job is refused."""
BACKOFF_MS = 1_000
MAX_BACKOFF_MS = 60_000
RETRIES_PER_WORKER_PER_SECOND = 1.0
RETRY_BURST_MS = 2_000
"""Unused retry budget is kept for so long."""


def spread_delay(delay_ms: int, *identity: object) -> int:
    """Return 0.5 to 1.5 times `delay_ms`, by a hash of `identity`."""
    digest = zlib.crc32("|".join(str(part) for part in identity).encode())
    return delay_ms // 2 + digest * delay_ms // 0xFFFFFFFF


def find_backoff(task: str, failures: int) -> int:
    """Return the milliseconds to wait before a task that failed `failures` times in a row."""
    delay = min(MAX_BACKOFF_MS, BACKOFF_MS << min(failures - 1, 16))
    return spread_delay(delay, task, failures)


def book_retry(state: PlacementState, now: Instant) -> Instant:
    """Return when the zone's retry budget allows one more retry, and take it."""
    usable = len(state.plain_index) + len(state.accelerated_index)
    interval = 1_000 / (RETRIES_PER_WORKER_PER_SECOND * max(1, usable))
    booked = max(state.next_retry_at, now - RETRY_BURST_MS)
    state.next_retry_at = booked + interval
    return Instant(max(now, int(booked)))


def note_success(state: PlacementState, held: HeldRoom) -> None:
    """Clear the worker and the workload of their failures."""
    workload = held.job.workload
    workload.succeeded = True
    workload.failed_workers.clear()
    workload.holds = 0
    held.job.failures.pop(held.task, None)
    release_hold(state, workload)
    worker = state.workers.get(held.worker)
    if worker is None:
        return
    worker.failed_workloads.clear()
    if worker.probe == held.task:
        _readmit_worker(state, worker)


def note_failure(state: PlacementState, held: HeldRoom, now: Instant) -> None:
    """Count a failure, and quarantine the worker or hold back the workload if enough speaks so."""
    job = held.job
    workload = job.workload
    job.failures[held.task] = job.failures.get(held.task, 0) + 1
    job.avoided.setdefault(held.task, set()).add(held.worker)
    worker = state.workers.get(held.worker)
    if worker is None:
        return
    if worker.quarantined_until is None and workload.held_until is None:
        failures = worker.failed_workloads.get(workload.name, 0)
        worker.failed_workloads[workload.name] = failures + 1
        workload.failed_workers.add(held.worker)
    if worker.probe == held.task or _speaks_against_worker(state, worker):
        _quarantine_worker(state, worker, now)
    elif workload.probe == held.task or _speaks_against_workload(state, workload):
        _hold_workload(state, workload, now)


def end_probe(state: PlacementState, held: HeldRoom) -> None:
    """Let another task be the probe, if this one ended without an answer."""
    workload = held.job.workload
    if workload.probe == held.task:
        workload.probe = None
        release_trial(state, workload)
    worker = state.workers.get(held.worker)
    if worker is not None and worker.probe == held.task:
        worker.probe = None
        worker.probe_due = True
        state.probing_workers[worker.worker] = worker


def release_hold(state: PlacementState, workload: Workload) -> None:
    """Let all tasks of the workload start again."""
    workload.held_until = None
    workload.probe = None
    workload.trial = None
    jobs, workload.held_jobs = workload.held_jobs, {}
    for job in jobs.values():
        enqueue_job(state, job)


def fire_holds(state: PlacementState, now: Instant) -> None:
    """Let one task of each workload start whose hold is over."""
    while state.holds and state.holds[0][0] <= now:
        name = heapq.heappop(state.holds)[1]
        workload = state.workloads.get(name)
        if workload is None or workload.held_until is None or workload.held_until > now:
            continue
        release_trial(state, workload)


def fire_quarantines(state: PlacementState, now: Instant) -> None:
    """Let each worker be probed whose quarantine is over."""
    while state.quarantines and state.quarantines[0][0] <= now:
        worker = state.workers.get(heapq.heappop(state.quarantines)[1])
        if worker is None or worker.quarantined_until is None or worker.quarantined_until > now:
            continue
        if worker.probe is None:
            worker.probe_due = True
            state.probing_workers[worker.worker] = worker


def is_probe_for_workers(job: Job) -> bool:
    """Return whether a task of the job may be tried on a worker that failed before."""
    policy = job.spec.policy
    return (
        job.spec.kind is WorkloadKind.BATCH
        and policy.priority is not PriorityClass.URGENT
        and (policy.idempotent or policy.retry_limit > 0)
    )


def start_worker_probe(state: PlacementState, worker: Worker, held: HeldRoom) -> None:
    """Remember that the worker is judged by this attempt."""
    worker.probe = held.task
    worker.probe_due = False
    state.probing_workers.pop(worker.worker, None)


def _speaks_against_worker(state: PlacementState, worker: Worker) -> bool:
    if worker.quarantined_until is not None:
        return False
    quarantined = sum(1 for each in state.workers.values() if each.quarantined_until is not None)
    if quarantined + 1 > max(1, len(state.workers) * MAX_QUARANTINED_SHARE):
        return False
    names = worker.failed_workloads
    proven = sum(count for name, count in names.items() if _runs_elsewhere(state, name))
    return proven >= QUARANTINE_FAILURES or len(names) >= QUARANTINE_FAILURES


def _runs_elsewhere(state: PlacementState, name: str) -> bool:
    workload = state.workloads.get(name)
    return workload is not None and workload.succeeded and len(workload.failed_workers) <= 1


def _speaks_against_workload(state: PlacementState, workload: Workload) -> bool:
    if workload.held_until is not None:
        return False
    usable = len(state.plain_index) + len(state.accelerated_index)
    return len(workload.failed_workers) >= max(1, min(HOLD_FAILED_WORKERS, usable))


def _quarantine_worker(state: PlacementState, worker: Worker, now: Instant) -> None:
    worker.quarantines += 1
    worker.probe = None
    length = min(MAX_QUARANTINE_MS, QUARANTINE_MS << min(worker.quarantines - 1, 16))
    until = Instant(now + spread_delay(length, worker.worker, worker.quarantines))
    worker.quarantined_until = until
    heapq.heappush(state.quarantines, (until, worker.worker))
    for name in worker.failed_workloads:
        workload = state.workloads.get(name)
        if workload is not None:
            workload.failed_workers.discard(worker.worker)
    worker.failed_workloads.clear()
    reindex_worker(state, worker)


def _readmit_worker(state: PlacementState, worker: Worker) -> None:
    worker.quarantined_until = None
    worker.quarantines = 0
    worker.probe = None
    worker.probe_due = False
    state.probing_workers.pop(worker.worker, None)
    reindex_worker(state, worker)
    unblock_shapes(state, worker.free)


def _hold_workload(state: PlacementState, workload: Workload, now: Instant) -> None:
    workload.holds += 1
    workload.probe = None
    workload.trial = None
    length = min(MAX_HOLD_MS, HOLD_MS << min(workload.holds - 1, 16))
    until = Instant(now + spread_delay(length, workload.name, workload.holds))
    workload.held_until = until
    heapq.heappush(state.holds, (until, workload.name))
    for name in workload.failed_workers:
        worker = state.workers.get(name)
        if worker is not None:
            worker.failed_workloads.pop(workload.name, None)
    if workload.holds > MAX_HOLDS:
        _refuse_held_jobs(state, workload)


def _refuse_held_jobs(state: PlacementState, workload: Workload) -> None:
    for job in workload.held_jobs.values():
        if job.spec.kind is WorkloadKind.SERVICE or job.refused:
            continue
        job.refused = True
        job.rule = WaitRule.HELD_BACK
        reason = (
            f"refused: it failed on {len(workload.failed_workers)} workers without a success, "
            f"and in {MAX_HOLDS} later trials; mend the work and submit it again"
        )
        job.refusal = reason
        clear_waiting(state, job)
        state.pending.append(RefuseJob(job.spec.job, reason))


def release_trial(state: PlacementState, workload: Workload) -> None:
    """Let one task of a workload that is held back be tried."""
    workload.trial = None
    while workload.held_jobs:
        name = next(iter(workload.held_jobs))
        job = workload.held_jobs.pop(name)
        if not is_startable(job):
            continue
        workload.trial = name
        enqueue_job(state, job)
        return
