"""State replayed from a zone's journal: its jobs, tasks and workers."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatch

from lentilpath_core.ids import (
    Epoch,
    JobId,
    JournalSequence,
    TaskId,
    WallTime,
    WorkerId,
    ZoneId,
    get_job_of_task,
)
from lentilpath_core.states import ENDED_TASK_STATES, AttemptOutcome, TaskState
from lentilpath_core.workloads import WorkloadKind
from lentilpath_core.zone.journal import (
    AttemptEnded,
    AttemptStarting,
    CommandAnswered,
    JobAccepted,
    JobCancelled,
    JobRefused,
    JournalBatch,
    WorkerDrained,
    WorkerJoined,
    WorkerLost,
    WorkerUndrained,
)
from lentilpath_core.zone.records import AttemptRecord, JobRecord, TaskRecord, WorkerRecord

MAX_ENDED_JOBS = 2_000
"""Ended jobs kept in memory; older ones are found in the history objects."""
MAX_ANSWERED_COMMANDS = 10_000
MAX_KEPT_ATTEMPTS = 16
"""Attempts of one task kept in memory, so that a service that fails for weeks cannot fill it."""
RERUN_OUTCOMES = frozenset({AttemptOutcome.LEASE_EXPIRED, AttemptOutcome.LOST})


@dataclass(slots=True)
class ZoneState:
    """The durable state of a zone. Journal events change it in place."""

    zone: ZoneId
    sequence: JournalSequence = JournalSequence(0)
    """The last batch that is part of this state."""
    epoch: Epoch = Epoch(0)
    jobs: dict[JobId, JobRecord] = field(default_factory=dict)
    workers: dict[WorkerId, WorkerRecord] = field(default_factory=dict)
    drained: dict[WorkerId, str] = field(default_factory=dict)
    """Drained workers, each with the operator who drained it."""
    answers: dict[str, CommandAnswered] = field(default_factory=dict)
    open_attempts: dict[WorkerId, dict[TaskId, int]] = field(default_factory=dict)
    """For each worker, the attempts placed on it whose end is not recorded, by task."""
    ended_jobs: dict[JobId, None] = field(default_factory=dict)
    """Ids of the ended jobs that are still in `jobs`, oldest first."""

    def find_task(self, task: TaskId) -> TaskRecord | None:
        """Return the record of `task`, or `None`."""
        job = self.jobs.get(get_job_of_task(task))
        return job.tasks.get(task) if job is not None else None


def create_zone_state(zone: ZoneId) -> ZoneState:
    """Return the state of a zone whose journal is empty."""
    return ZoneState(zone)


def apply_batch(state: ZoneState, batch: JournalBatch) -> None:
    """Apply the events of `batch` to `state`; a batch that was applied before changes nothing."""
    if batch.sequence <= state.sequence:
        return
    for event in batch.events:
        apply_journal_event(event, state)
    state.sequence = batch.sequence
    state.epoch = batch.epoch


@singledispatch
def apply_journal_event(event: object, state: ZoneState) -> None:
    """Apply one event to `state`. An event that was applied before changes nothing."""
    raise TypeError(f"not a journal event: {event!r}")


@apply_journal_event.register
def _(event: JobAccepted, state: ZoneState) -> None:
    if event.spec.job in state.jobs:
        return
    tasks = {task: TaskRecord(task) for task in event.spec.list_tasks()}
    state.jobs[event.spec.job] = JobRecord(
        event.spec, event.accepted_at, event.accepted_by, tasks, len(tasks)
    )


@apply_journal_event.register
def _(event: JobCancelled, state: ZoneState) -> None:
    job = state.jobs.get(event.job)
    if job is None or job.cancelled_by is not None:
        return
    job.cancelled_by = event.cancelled_by
    job.cancelled_at = event.cancelled_at
    for task in job.tasks.values():
        if task.state is TaskState.WAITING:
            _end_task(state, job, task, TaskState.STOPPED, event.cancelled_at)


@apply_journal_event.register
def _(event: JobRefused, state: ZoneState) -> None:
    job = state.jobs.get(event.job)
    if job is None:
        return
    job.refused_because = event.reason
    for task in job.tasks.values():
        if task.state is TaskState.WAITING:
            _end_task(state, job, task, TaskState.REFUSED, event.refused_at)


@apply_journal_event.register
def _(event: AttemptStarting, state: ZoneState) -> None:
    task = state.find_task(event.task)
    if task is None or task.state in ENDED_TASK_STATES:
        return
    if any(attempt.attempt == event.attempt for attempt in task.attempts):
        return
    attempt = AttemptRecord(
        event.attempt, event.worker, event.decided_at, event.reason, room=event.room
    )
    _open_attempt(state, task, attempt)
    task.state = TaskState.STARTING


@apply_journal_event.register
def _(event: AttemptEnded, state: ZoneState) -> None:
    job = state.jobs.get(get_job_of_task(event.task))
    task = state.find_task(event.task)
    if job is None or task is None:
        return
    index = task.find_attempt(event.attempt, event.worker)
    if index is None:
        # A start made while the table was unavailable may have no journal event of its own.
        unrecorded = AttemptRecord(
            event.attempt, event.worker, event.started_at, "started while the table was away"
        )
        _open_attempt(state, task, unrecorded)
        index = len(task.attempts) - 1
    attempt = task.attempts[index]
    if attempt.outcome is AttemptOutcome.LOST and event.outcome is not AttemptOutcome.LOST:
        _correct_lost_attempt(task, index, event)
        return
    if attempt.outcome is not None:
        return
    task.attempts[index] = _close_attempt(attempt, event)
    _remove_open_attempt(state, event.worker, event.task, event.attempt)
    if task.state in ENDED_TASK_STATES:
        return
    if event.outcome is AttemptOutcome.FAILED:
        task.failures += 1
    next_state = decide_next_task_state(job, task, event.outcome)
    if next_state in ENDED_TASK_STATES:
        _end_task(state, job, task, next_state, event.ended_at)
    else:
        task.state = next_state


@apply_journal_event.register
def _(event: WorkerJoined, state: ZoneState) -> None:
    record = state.workers.get(event.worker)
    if record is None:
        state.workers[event.worker] = WorkerRecord(event.worker, event.boot)
    else:
        record.boot = event.boot


@apply_journal_event.register
def _(event: WorkerLost, state: ZoneState) -> None:
    state.workers.pop(event.worker, None)


@apply_journal_event.register
def _(event: WorkerDrained, state: ZoneState) -> None:
    state.drained[event.worker] = event.drained_by


@apply_journal_event.register
def _(event: WorkerUndrained, state: ZoneState) -> None:
    state.drained.pop(event.worker, None)


@apply_journal_event.register
def _(event: CommandAnswered, state: ZoneState) -> None:
    state.answers.setdefault(event.command, event)
    while len(state.answers) > MAX_ANSWERED_COMMANDS:
        del state.answers[next(iter(state.answers))]


def decide_next_task_state(job: JobRecord, task: TaskRecord, outcome: AttemptOutcome) -> TaskState:
    """Return the state of `task` after one of its attempts ended with `outcome`.

    A task of unknown outcome runs again only if its policy declares it idempotent. A task that was
    stopped before it finished runs again only if its policy declares it idempotent, checkpointable
    or stoppable. Services always run again, since a replica has no outcome of its own.
    """
    if job.cancelled_by is not None:
        return TaskState.STOPPED if outcome is not AttemptOutcome.SUCCEEDED else TaskState.SUCCEEDED
    if outcome is AttemptOutcome.NOT_STARTED or job.spec.kind is WorkloadKind.SERVICE:
        return TaskState.WAITING
    if outcome is AttemptOutcome.STOPPED:
        policy = job.spec.policy
        repeatable = policy.idempotent or policy.checkpointable or policy.stoppable
        return TaskState.WAITING if repeatable else TaskState.UNKNOWN
    if outcome is AttemptOutcome.SUCCEEDED:
        return TaskState.SUCCEEDED
    if outcome in RERUN_OUTCOMES:
        return TaskState.WAITING if job.spec.policy.idempotent else TaskState.UNKNOWN
    if task.failures > job.spec.policy.retry_limit:
        return TaskState.FAILED
    return TaskState.WAITING


def _open_attempt(state: ZoneState, task: TaskRecord, attempt: AttemptRecord) -> None:
    task.attempts.append(attempt)
    task.attempts_made = max(task.attempts_made, attempt.attempt)
    del task.attempts[:-MAX_KEPT_ATTEMPTS]
    state.open_attempts.setdefault(attempt.worker, {})[task.task] = attempt.attempt


def _remove_open_attempt(state: ZoneState, worker: WorkerId, task: TaskId, attempt: int) -> None:
    on_worker = state.open_attempts.get(worker, {})
    if on_worker.get(task) == attempt:
        del on_worker[task]
    if not on_worker:
        state.open_attempts.pop(worker, None)


def _close_attempt(attempt: AttemptRecord, event: AttemptEnded) -> AttemptRecord:
    return AttemptRecord(
        attempt.attempt,
        attempt.worker,
        attempt.decided_at,
        attempt.reason,
        event.outcome,
        event.started_at,
        event.ended_at,
        event.millicore_ms,
        event.peak_memory_mib,
        attempt.room,
    )


def _correct_lost_attempt(task: TaskRecord, index: int, event: AttemptEnded) -> None:
    # A worker that was recorded as lost may return and report how the attempt ended. The task is
    # not run again because of it, but a state of `UNKNOWN` is replaced by the reported outcome.
    task.attempts[index] = _close_attempt(task.attempts[index], event)
    if task.state is not TaskState.UNKNOWN:
        return
    if event.outcome is AttemptOutcome.SUCCEEDED:
        task.state = TaskState.SUCCEEDED
    elif event.outcome is AttemptOutcome.FAILED:
        task.state = TaskState.FAILED


def _end_task(
    state: ZoneState, job: JobRecord, task: TaskRecord, ended: TaskState, at: WallTime
) -> None:
    task.state = ended
    job.open_tasks -= 1
    if job.open_tasks > 0:
        return
    job.ended_at = at
    state.ended_jobs[job.spec.job] = None
    while len(state.ended_jobs) > MAX_ENDED_JOBS:
        oldest = next(iter(state.ended_jobs))
        del state.ended_jobs[oldest]
        del state.jobs[oldest]
