"""Answers to queries, computed from the state of one zone."""

from __future__ import annotations

from lentilpath_core.ids import JobId, WallTime
from lentilpath_core.language._commands import ListRows, ShowHistory
from lentilpath_core.language._filters import filter_table
from lentilpath_core.language._tables import TABLE_COLUMNS, Cell, Table
from lentilpath_core.language._units import format_time
from lentilpath_core.states import TaskState
from lentilpath_core.zone.records import AttemptRecord, JobRecord, TaskRecord
from lentilpath_core.zone.state import ZoneState

HISTORY_COLUMNS = ("at", "subject", "event", "worker", "detail")


def list_zone_rows(state: ZoneState, command: ListRows) -> Table:
    """Return this zone's rows of the tables `tasks`, `jobs`, `workers` and `zones`."""
    columns = TABLE_COLUMNS[command.table]
    row_builders = {
        "tasks": _list_tasks,
        "jobs": _list_jobs,
        "workers": _list_workers,
        "zones": _list_zone,
    }
    rows = row_builders[command.table](state, command.since or WallTime(0))
    return filter_table(Table(columns, rows), command.conditions, command.limit)


def list_history(state: ZoneState, command: ShowHistory) -> Table:
    """Return the events of a job, oldest first; no rows if the zone does not know the job."""
    job = state.jobs.get(command.job)
    if job is None:
        return Table(HISTORY_COLUMNS)
    events = sorted(_list_job_events(job), key=lambda event: event[0])
    since = command.since or 0
    rows = tuple((format_time(at), *rest) for at, *rest in events if at >= since)
    return Table(HISTORY_COLUMNS, rows)


def count_open_tasks(state: ZoneState, job: JobId) -> int | None:
    """Return how many tasks stopping `job` would end, or `None` if the zone does not know it."""
    record = state.jobs.get(job)
    return None if record is None else record.open_tasks


def describe_job_state(job: JobRecord) -> str:
    """Return the state of the job, in one word."""
    if job.refused_because is not None:
        return "refused"
    if job.open_tasks == 0:
        return "stopped" if job.cancelled_by else "ended"
    if job.cancelled_by:
        return "stopping"
    running = any(task.state is TaskState.RUNNING for task in job.tasks.values())
    starting = any(task.state is TaskState.STARTING for task in job.tasks.values())
    return "running" if running or starting else "waiting"


def _list_tasks(state: ZoneState, since: WallTime) -> tuple[tuple[Cell, ...], ...]:
    return tuple(
        _make_task_row(state, job, task)
        for job in state.jobs.values()
        for task in job.tasks.values()
        if get_last_change(job, task) >= since
    )


def _make_task_row(state: ZoneState, job: JobRecord, task: TaskRecord) -> tuple[Cell, ...]:
    last = task.attempts[-1] if task.attempts else None
    outcome = last.outcome.value if last is not None and last.outcome is not None else "-"
    return (
        task.task,
        job.spec.kind.value,
        task.state.value,
        last.worker if last is not None else "-",
        task.attempts_made,
        format_time(get_last_change(job, task)),
        job.spec.team,
        job.spec.customer,
        state.zone,
        outcome,
        job.spec.job,
    )


def get_last_change(job: JobRecord, task: TaskRecord) -> WallTime:
    """Return when the task last changed, according to the journal."""
    if not task.attempts:
        return max(job.accepted_at, job.cancelled_at)
    last = task.attempts[-1]
    return max(last.decided_at, last.started_at, last.ended_at)


def _list_jobs(state: ZoneState, since: WallTime) -> tuple[tuple[Cell, ...], ...]:
    return tuple(
        (
            job.spec.job,
            job.spec.kind.value,
            job.spec.team,
            job.spec.customer,
            job.spec.policy.priority.value,
            describe_job_state(job),
            job.spec.tasks,
            job.open_tasks,
            format_time(job.accepted_at),
            format_time(job.ended_at),
            state.zone,
        )
        for job in state.jobs.values()
        if max(job.accepted_at, job.ended_at) >= since
    )


def _list_workers(state: ZoneState, since: WallTime) -> tuple[tuple[Cell, ...], ...]:
    task_counts: dict[str, int] = {}
    for job in state.jobs.values():
        for task in job.tasks.values():
            if task.state in (TaskState.STARTING, TaskState.RUNNING) and task.attempts:
                worker = task.attempts[-1].worker
                task_counts[worker] = task_counts.get(worker, 0) + 1
    return tuple(
        (
            record.worker,
            state.zone,
            "-",
            "draining" if record.worker in state.drained else "active",
            task_counts.get(record.worker, 0),
            0,
            0,
            state.drained.get(record.worker, "-"),
        )
        for record in state.workers.values()
    )


def _list_zone(state: ZoneState, since: WallTime) -> tuple[tuple[Cell, ...], ...]:
    open_tasks = sum(job.open_tasks for job in state.jobs.values())
    workers = len(state.workers)
    return ((state.zone, "-", state.epoch, len(state.jobs), open_tasks, workers, state.sequence),)


def _list_job_events(job: JobRecord) -> list[tuple[int, str, str, str, str]]:
    spec = job.spec
    detail = f"{spec.kind.value} of {spec.tasks} tasks, recorded by {job.accepted_by}"
    events: list[tuple[int, str, str, str, str]] = [
        (job.accepted_at, spec.job, "accepted", "-", detail)
    ]
    if job.cancelled_by is not None:
        events.append((job.cancelled_at, spec.job, "stop", "-", f"by {job.cancelled_by}"))
    if job.refused_because is not None:
        events.append((job.ended_at, spec.job, "refused", "-", job.refused_because))
    elif job.ended_at:
        events.append((job.ended_at, spec.job, "ended", "-", describe_job_state(job)))
    for task in job.tasks.values():
        for attempt in task.attempts:
            events.extend(_list_attempt_events(task, attempt))
    return events


def _list_attempt_events(
    task: TaskRecord, attempt: AttemptRecord
) -> list[tuple[int, str, str, str, str]]:
    number = f"attempt {attempt.attempt}"
    events = [
        (int(attempt.decided_at), str(task.task), "placed", str(attempt.worker), attempt.reason)
    ]
    if attempt.started_at:
        events.append((attempt.started_at, task.task, "started", attempt.worker, number))
    if attempt.outcome is not None:
        at = attempt.ended_at or attempt.decided_at
        event = attempt.outcome.value
        events.append((at, task.task, event, attempt.worker, number))
    return events
