"""What must hold whatever fails, from what clients and workers have seen."""

from __future__ import annotations

import itertools
from collections.abc import Iterable

from tests.common.fleet.workers import StandInWorker, TrueRun
from tests.soak.clients import REFUSED, TASK_MILLICORES, CutCall, Job
from tests.soak.processes import HostProcess

CLOCK_SLACK_SECONDS = 0.03
"""Leases end at whole milliseconds of the worker's clock, and timers are a little late."""
CANCEL_SECONDS = 4.0
"""Starts of a cancelled job end this long after its acknowledgement, by the deployments' sheets."""
FEWEST_ACCEPTED = 8
"""Two a client. No plan harms all hosts all the time, and a client hands in three jobs a second."""
CALM_SECONDS = 4.0
"""A planned stop is judged if its host had no other fault from this long before it."""


def check_runs(jobs: list[Job], log: list[TrueRun], workers: list[StandInWorker]) -> list[str]:
    """Return what is wrong with the runs of tasks."""
    runs: dict[str, list[TrueRun]] = {}
    for run in log:
        runs.setdefault(run.task, []).append(run)
    problems: list[str] = []
    for task, each in runs.items():
        problems.extend(_check_task(task, each))
    for worker in workers:
        problems.extend(_check_room(worker, [run for run in log if run.worker == worker.name]))
    known = {job.name for job in jobs}
    problems.extend(
        f"UNASKED: {task} ran, which nobody submitted"
        for task in runs
        if task.partition(".")[0] not in known
    )
    for job in jobs:
        problems.extend(_check_job(job, runs))
    return problems


def _check_task(task: str, runs: list[TrueRun]) -> Iterable[str]:
    for first, second in itertools.permutations(runs, 2):
        if first.begun > second.begun:
            continue
        first_end = first.ended if first.ended is not None else float("inf")
        if second.begun < first_end - CLOCK_SLACK_SECONDS and first is not second:
            yield f"TWICE: {task} ran on {first.worker} and {second.worker} at one time"
        elif first.how == "done" and first.is_acknowledged:
            yield f"TWICE: {task} was started on {second.worker} after it was done"


def _check_room(worker: StandInWorker, own: list[TrueRun]) -> Iterable[str]:
    for run in own:
        beside = sum(
            other.begun <= run.begun and run.begun < (other.ended or float("inf")) for other in own
        )
        if beside * TASK_MILLICORES > worker.millicores:
            yield f"LIMIT: {run.task} was one of {beside} on {worker.name}"


def _check_job(job: Job, runs: dict[str, list[TrueRun]]) -> Iterable[str]:
    own = [
        run
        for step in range(len(job.counts))
        for t in job.list_tasks(step)
        for run in runs.get(t, [])
    ]
    if own and job.answers and all(status in REFUSED for status in job.answers):
        yield f"REFUSED: {job.name} ran, though all its submissions were refused"
    for step in range(1, len(job.counts)):
        begun = min((r.begun for t in job.list_tasks(step) for r in runs.get(t, [])), default=None)
        before = [_find_done(runs.get(task, [])) for task in job.list_tasks(step - 1)]
        if begun is not None and any(at is None or at > begun for at in before):
            yield f"ORDER: step {step} of {job.name} began before the one before it was done"
    if job.completed_at is not None:
        for step in range(len(job.counts)):
            for task in job.list_tasks(step):
                done = _find_done(runs.get(task, []))
                if done is None or done > job.completed_at:
                    yield f"MIXED: {job.name} was shown as completed before {task} was done"
    if job.cancelled_at is not None:
        late = [run for run in own if run.begun > job.cancelled_at + CANCEL_SECONDS]
        if late:
            yield f"UNASKED: {late[0].task} was started after its job was cancelled"


def _find_done(runs: list[TrueRun]) -> float | None:
    return min((run.ended for run in runs if run.how == "done" and run.ended), default=None)


def check_served(jobs: list[Job]) -> list[str]:
    """Return a problem if too few jobs were accepted for the other checks to mean anything."""
    accepted = sum(job.accepted_at is not None for job in jobs)
    if accepted < FEWEST_ACCEPTED:
        return [f"UNSERVED: {accepted} of {len(jobs)} jobs were accepted"]
    return []


def check_ends(jobs: list[Job]) -> list[str]:
    """Return what is wrong with the states that were shown at the end."""
    problems: list[str] = []
    for job in jobs:
        if job.accepted_at is None:
            continue
        allowed = ("completed", "cancelled") if job.is_cancel_sent else ("completed",)
        if job.state not in allowed:
            problems.append(f"LOST: {job.name} was accepted and is {job.state or 'not told'}")
    return problems


def check_planned_stops(
    hosts: list[HostProcess], cut_calls: list[CutCall], disturbed: dict[str, list[float]]
) -> list[str]:
    """Return calls that were cut by planned stops of hosts that nothing else had struck."""
    problems = [problem for host in hosts for problem in host.problems]
    for host in hosts:
        for begun, ended in host.stopped_at:
            if any(begun - CALM_SECONDS < at < ended for at in disturbed.get(host.name, [])):
                continue
            problems.extend(
                f"LOST: a call to {host.name} was cut by its planned stop: {call.error}"
                for call in cut_calls
                if call.host == host.name and begun <= call.sent_at and call.ended_at <= ended + 0.2
            )
    return problems
