"""Checks the guarantees that hold under any faults against the records of clients and workers."""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Mapping

from tests.common.fleet.workers import ObservedRun, StandInWorker
from tests.soak.clients import REFUSED, TASK_MILLICORES, Job, UnansweredCall
from tests.soak.plans import HEARTBEAT_SECONDS
from tests.soak.processes import HostProcess, Leadership

CLOCK_SLACK_SECONDS = 0.03
"""Leases end at whole milliseconds of the worker's clock, and timers fire slightly late."""
CANCEL_GRACE_SECONDS = 4.0
"""A cancelled job gets no starts this long after the acknowledgement, as deployments specify."""
CONFIRMATION_SLACK_SECONDS = 0.05
"""Between the answer to a takeover and its line in the log, on a busy machine."""
MIN_ACCEPTED_JOBS = 8
"""Two per client. No plan disrupts all hosts all the time, and a client submits three jobs/s."""
CAPACITY_GRACE_SECONDS = 4.0 + HEARTBEAT_SECONDS
"""Starts may still use capacity that has shrunk for this long, as deployments specify."""
MIN_CRASHES = 2
"""A task may be given up once it has crashed this many workers."""
CRASHES_BEFORE_BUDGET = 3
"""Once a task has crashed this many workers, it may be started fewer than three times more."""
MAX_STARTS_AFTER_CRASHES = 2
UNDISTURBED_SECONDS = 4.0
"""A planned stop is checked only if its host had no other fault in this time before it."""


def check_runs(
    jobs: list[Job],
    log: list[ObservedRun],
    workers: list[StandInWorker],
    delays: Mapping[str, list[float]],
) -> list[str]:
    """Return the violations of guarantees by the runs of tasks.

    `delays` has the times at which faults that delay commands began or ended, by worker.
    """
    runs: dict[str, list[ObservedRun]] = {}
    for run in log:
        runs.setdefault(run.task, []).append(run)
    problems: list[str] = []
    for task, each in runs.items():
        problems.extend(_check_task(task, each))
    for worker in workers:
        worker_runs = [run for run in log if run.worker == worker.name]
        problems.extend(_check_capacity(worker, worker_runs, delays.get(worker.name, [])))
    known = {job.name for job in jobs}
    problems.extend(
        f"UNASKED: {task} ran, but its job was not submitted"
        for task in runs
        if task.partition(".")[0] not in known
    )
    for job in jobs:
        problems.extend(_check_job(job, runs))
    return problems


def _check_task(task: str, runs: list[ObservedRun]) -> Iterable[str]:
    for first, second in itertools.permutations(runs, 2):
        if first.started_at > second.started_at:
            continue
        first_end = first.ended_at if first.ended_at is not None else float("inf")
        if second.started_at < first_end - CLOCK_SLACK_SECONDS and first is not second:
            yield f"TWICE: {task} ran on {first.worker} and {second.worker} at the same time"
        elif first.outcome == "done" and first.is_acknowledged:
            yield f"TWICE: {task} was started on {second.worker} after its acknowledged success"


def _check_capacity(
    worker: StandInWorker, worker_runs: list[ObservedRun], delays: list[float]
) -> Iterable[str]:
    for run in worker_runs:
        recent_delays = [
            at for at in delays if run.started_at - CAPACITY_GRACE_SECONDS < at <= run.started_at
        ]
        sent_at = min(recent_delays, default=run.started_at)
        capacity = worker.get_max_capacity(sent_at - CAPACITY_GRACE_SECONDS, run.started_at)
        concurrent = sum(
            other.started_at <= run.started_at and run.started_at < (other.ended_at or float("inf"))
            for other in worker_runs
        )
        if concurrent * TASK_MILLICORES > capacity:
            yield (
                f"LIMIT: {run.task} was one of {concurrent} concurrent tasks on {worker.name}, "
                f"which had {capacity} millicores"
            )


def _check_job(job: Job, runs: dict[str, list[ObservedRun]]) -> Iterable[str]:
    job_runs = [
        run
        for step in range(len(job.counts))
        for t in job.list_tasks(step)
        for run in runs.get(t, [])
    ]
    if (
        job_runs
        and job.submit_statuses
        and all(status in REFUSED for status in job.submit_statuses)
    ):
        yield f"REFUSED: {job.name} ran although all its submissions were refused"
    for step in range(1, len(job.counts)):
        started_at = min(
            (r.started_at for t in job.list_tasks(step) for r in runs.get(t, [])), default=None
        )
        completions = [
            _find_completion_time(runs.get(task, [])) for task in job.list_tasks(step - 1)
        ]
        if started_at is not None and any(at is None or at > started_at for at in completions):
            yield f"ORDER: step {step} of {job.name} started before the previous step was done"
    if job.crashes_workers:
        yield from _check_crashes(job, job_runs)
    if job.completed_at is not None:
        for step in range(len(job.counts)):
            for task in job.list_tasks(step):
                done = _find_completion_time(runs.get(task, []))
                if done is None or done > job.completed_at:
                    yield f"MIXED: {job.name} was reported as completed before {task} was done"
    if job.cancelled_at is not None:
        late_runs = [
            run for run in job_runs if run.started_at > job.cancelled_at + CANCEL_GRACE_SECONDS
        ]
        if late_runs:
            yield f"UNASKED: {late_runs[0].task} was started after its job was cancelled"


def _check_crashes(job: Job, runs: list[ObservedRun]) -> Iterable[str]:
    """Check the runs of a job of one task that crashes its workers."""
    crashes = sorted(run.ended_at for run in runs if run.outcome == "crashed" and run.ended_at)
    if len(crashes) >= CRASHES_BEFORE_BUDGET:
        last_at = crashes[CRASHES_BEFORE_BUDGET - 1]
        later = sum(run.started_at > last_at for run in runs)
        if later > MAX_STARTS_AFTER_CRASHES:
            yield f"BUDGET: {job.name} was started {later} times after it crashed three workers"
    if job.failed_at is not None:
        count = sum(at <= job.failed_at for at in crashes)
        if count < MIN_CRASHES:
            yield f"LOST: {job.name} was reported as failed after it crashed {count} workers"


def _find_completion_time(runs: list[ObservedRun]) -> float | None:
    return min(
        (run.ended_at for run in runs if run.outcome == "done" and run.ended_at), default=None
    )


def check_accepted_count(jobs: list[Job]) -> list[str]:
    """Return a problem if too few jobs were accepted for the other checks to be meaningful."""
    accepted = sum(job.accepted_at is not None for job in jobs)
    if accepted < MIN_ACCEPTED_JOBS:
        return [f"UNSERVED: {accepted} of {len(jobs)} jobs were accepted"]
    return []


def check_final_states(jobs: list[Job]) -> list[str]:
    """Return the accepted jobs that failed without cause or did not reach their final state."""
    problems: list[str] = []
    for job in jobs:
        if job.accepted_at is None:
            continue
        final = "failed" if job.crashes_workers else "completed"
        allowed = (final, "cancelled") if job.is_cancel_sent else (final,)
        if job.failed_at is not None and not job.crashes_workers:
            problems.append(f"LOST: {job.name} was reported as failed")
        elif job.state not in allowed:
            problems.append(
                f"LOST: {job.name} was accepted, but its last state is {job.state or 'unknown'}"
            )
    return problems


def check_planned_stops(
    hosts: list[HostProcess],
    unanswered_calls: list[UnansweredCall],
    disturbances: dict[str, list[float]],
) -> list[str]:
    """Return the hosts' problems, and calls that a planned stop of an undisturbed host cut off."""
    problems = [problem for host in hosts for problem in host.problems]
    for host in hosts:
        for started_at, ended_at in host.planned_stops:
            if any(
                started_at - UNDISTURBED_SECONDS < at < ended_at
                for at in disturbances.get(host.name, [])
            ):
                continue
            problems.extend(
                f"LOST: a call to {host.name} was cut off by its planned stop: {call.error}"
                for call in unanswered_calls
                if call.host == host.name
                and started_at <= call.sent_at
                and call.ended_at <= ended_at + 0.2
            )
    return problems


def check_leaders(leaderships: Iterable[Leadership]) -> list[str]:
    """Return the takeovers from a host that counted on its lease at that moment."""
    return [
        f"TWICE: {later.host} led {former.counted_until - later.gained_at:.3f} s before the lease "
        f"of {former.host} had ended"
        for former, later in itertools.permutations(leaderships, 2)
        if former.gained_at < later.gained_at < former.counted_until - CONFIRMATION_SLACK_SECONDS
    ]
