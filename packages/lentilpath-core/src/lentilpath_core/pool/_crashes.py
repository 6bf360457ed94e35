"""Tasks that crash the workers that start them: suspected, started with care, and given up.

Designed for jobs of which one task crashes its worker, again and again, beside jobs that only lost
their workers to it. A worker that crashes tells nothing, so each run is suspected that it had not
listed in a report yet. A suspected task starts where no other start is in progress, on a worker
that has answered right before and is asked again right after, so that the next crash points at one
task. Its starts are stored before they are sent, so that a later leader knows of a crash under one
in flight. It is cleared when a report that was made after its start lists its run, or when a worker
that was only cut off is heard again.

Only a later process of the worker, or on its machine, shows that it has crashed. A worker whose
entry is missing may be cut off from the registry too, so its runs stay suspected until it returns.
"""

from __future__ import annotations

from collections.abc import Sequence

from lentilpath_core.ids import Instant
from lentilpath_core.pool._events import (
    BlameRuns,
    ClearRun,
    ForgetCrash,
    PoolEffect,
    RecordRun,
)
from lentilpath_core.pool._model import (
    Life,
    ListedWorker,
    MachineId,
    RunEnd,
    RunNumber,
    RunRecord,
    TaskKey,
    WorkerProcess,
)
from lentilpath_core.pool._reasons import (
    CrashEvidence,
    FailureCause,
)
from lentilpath_core.pool._state import Attempt, MissingWorker, PoolState, Step, Worker
from lentilpath_core.pool._steps import (
    fail_job,
    find_step,
    mark_run_number_used,
    release_worker,
)

MAX_CRASHES = 3
"""A task is given up after this many crashes in a row. Users allow it after two; the first of the
three may have been another task's, since several may have been starting."""
RESOLUTION_MS = 1_000
"""How long a task waits that may have crashed too many workers, for the last of them to be listed
again: longer than the interval between two lists. Most crashed workers are back before their leases
have expired, and the task has been down for that long already."""
SURVIVAL_MS = 50
"""A worker has survived a start if it lists the run in a report that was made this long after the
start was answered. Tasks crash their workers 10 ms after the start, and a report that was made in
between may list the run."""
MAX_REPORT_DELAY_MS = 200
"""A report arrives at most this long after it was made: a network round trip between regions, and
an event loop that is delayed by one period of its CPU quota."""
SILENT_ENTRY_MS = 10_000
"""A worker that lists show for this long after its runs became suspected is only cut off. The entry
of a crashed worker expires after three heartbeats of 1,500 ms, and is kept for another 2,500 ms."""
LIST_GAP_MS = 3_000
"""After a longer time without a list the registry was away, and entries may not have expired."""


def count_suspicions(step: Step, index: int) -> int:
    """Return how many runs of a task have crashed their worker, or may have."""
    return len(step.crashed_runs.get(index, ())) + len(step.suspected_runs.get(index, ()))


def list_startable(step: Step, now: Instant) -> Sequence[int]:
    """Return the waiting tasks that may start, the suspected ones first.

    The others may be about to be given up or to be cleared. A gang starts with all its tasks or
    not.
    """
    if not step.suspected_runs and not step.crashed_runs:
        return step.waiting
    startable = [index for index in step.waiting if not _awaits_resolution(step, index, now)]
    if step.spec.gang and len(startable) < len(step.waiting):
        return []
    return sorted(startable, key=lambda index: count_suspicions(step, index) == 0)


def _awaits_resolution(step: Step, index: int, now: Instant) -> bool:
    """Return whether a task waits until it is known which of its workers it has crashed."""
    if count_suspicions(step, index) < MAX_CRASHES:
        return False
    return now < step.suspected_at.get(index, Instant(0)) + RESOLUTION_MS


def starts_apart(step: Step, index: int) -> bool:
    """Return whether a task starts on a worker of its own.

    The members of a gang start together, and there may be fewer workers than suspected members.
    """
    return count_suspicions(step, index) > 0 and not step.spec.gang


def is_quiet(worker: Worker) -> bool:
    """Return whether the worker has listed all its runs, so that no start is in progress there."""
    return all(attempt.is_confirmed for attempt in worker.attempts.values())


def may_start(step: Step, index: int, worker: Worker) -> bool:
    """Return whether a task may start on a worker beside the starts in progress there."""
    if worker.kept_for is not None:
        return False
    return not starts_apart(step, index) or is_quiet(worker)


def suspect_run(state: PoolState, attempt: Attempt, now: Instant) -> bool:
    """Note that a run was lost with its worker; return whether it may have crashed the worker."""
    worker, step = attempt.worker, attempt.step
    if step is None or worker.listed.leaves_in_ms is not None:
        return False
    key = (attempt.task, attempt.run)
    was_sent = attempt.has_started or key in state.unanswered_starts.get(worker.worker, {})
    # A task without a suspicion is not blamed once its run was listed at all. Few of those that
    # crash their workers are, and many others share the crashed workers.
    is_spared = attempt.is_confirmed and count_suspicions(step, attempt.task.number) == 0
    if attempt.has_survived or is_spared or not was_sent:
        return False
    _add_suspect(worker, *key, now)
    step.suspected_runs.setdefault(attempt.task.number, set()).add(attempt.run)
    step.suspected_at[attempt.task.number] = now
    return True


def _add_suspect(worker: Worker, task: TaskKey, run: RunNumber, now: Instant) -> None:
    if not worker.suspects:
        worker.suspected_at = now
        worker.suspected_sequence = worker.listed.sequence
    worker.suspects.append((task, run))


def record_suspicion(attempt: Attempt) -> tuple[PoolEffect, ...]:
    """Store that a run may have crashed its worker, or may yet; nothing for a job that is over."""
    if attempt.step is None or attempt.step.job.final is not None or attempt.is_suspicion_stored:
        return ()
    attempt.is_suspicion_stored = True
    process = _get_process(attempt.worker)
    return (RecordRun(attempt.task, RunRecord(attempt.run, RunEnd.SUSPECTED, process)),)


def forget_suspicion(attempt: Attempt) -> tuple[PoolEffect, ...]:
    """Delete what is stored of a run that has not crashed its worker."""
    if not attempt.is_suspicion_stored:
        return ()
    attempt.is_suspicion_stored = False
    return (ForgetCrash(attempt.task, attempt.run, RunEnd.SUSPECTED),)


def note_listing(attempt: Attempt, sent_at: Instant, now: Instant) -> tuple[PoolEffect, ...]:
    """Forget the crashes under a task whose worker lists its run and has survived the start.

    A worker may delay its answer, so a report is as recent as the request or as its arrival allow.
    """
    if attempt.answered_at is None:
        return ()
    reported_since = max(sent_at, now - MAX_REPORT_DELAY_MS)
    if reported_since < attempt.answered_at + SURVIVAL_MS:
        return ()
    attempt.has_survived = True
    release_worker(attempt.worker, attempt.task)
    if attempt.step is None:
        return forget_suspicion(attempt)
    suspected = attempt.step.suspected_runs.pop(attempt.task.number, set())
    crashed = attempt.step.crashed_runs.pop(attempt.task.number, set())
    return (
        *forget_suspicion(attempt),
        *(ForgetCrash(attempt.task, run, RunEnd.SUSPECTED) for run in sorted(suspected)),
        *(ForgetCrash(attempt.task, run) for run in sorted(crashed)),
    )


def record_crashes(
    state: PoolState, worker: Worker, evidence: CrashEvidence
) -> tuple[PoolEffect, ...]:
    """Store that a worker, whose process is over, has crashed under the runs suspected of it."""
    suspects, worker.suspects = worker.suspects, []
    return _blame_runs(state, _get_process(worker), suspects, evidence)


def _get_process(worker: Worker) -> WorkerProcess:
    return WorkerProcess(worker.worker, worker.life, worker.listed.machine)


def _blame_runs(
    state: PoolState,
    process: WorkerProcess,
    suspects: Sequence[tuple[TaskKey, RunNumber]],
    evidence: CrashEvidence,
) -> tuple[PoolEffect, ...]:
    blamed = tuple(each for each in suspects if _is_suspected(state, *each))
    if not blamed:
        return ()
    return (
        BlameRuns(process.worker, process.life, evidence, blamed),
        *(RecordRun(task, RunRecord(run, RunEnd.CRASHED, process)) for task, run in blamed),
    )


def _is_suspected(state: PoolState, task: TaskKey, run: RunNumber) -> bool:
    step = find_step(state, task)
    if step is None or step.job.final is not None:
        return False
    return run in step.suspected_runs.get(task.number, ())


def keep_suspects(state: PoolState, worker: Worker) -> None:
    """Remember the suspected runs of a worker that is removed because its entry is missing."""
    suspects, worker.suspects = worker.suspects, []
    if suspects:
        process = _get_process(worker)
        state.missing_workers[worker.worker] = MissingWorker(process, tuple(suspects))


def resolve_missing_worker(state: PoolState, entry: ListedWorker) -> tuple[PoolEffect, ...]:
    """Decide about the suspected runs of a worker that is listed again."""
    missing = state.missing_workers.get(entry.worker)
    if missing is None or entry.life < missing.process.life:
        return ()
    del state.missing_workers[entry.worker]
    if entry.life == missing.process.life:
        return _clear_runs(state, missing.process, missing.suspects)
    evidence = CrashEvidence.LATER_PROCESS
    return _blame_runs(state, missing.process, missing.suspects, evidence)


def resolve_taken_machines(state: PoolState) -> tuple[PoolEffect, ...]:
    """Decide about the suspected runs of missing workers on whose machine another one runs now.

    Forgets those whose runs are not suspected any more.
    """
    if not state.missing_workers:
        return ()
    latest: dict[MachineId, Life] = {}
    for worker in state.workers.values():
        machine = worker.listed.machine
        if machine and worker.is_listed:
            latest[machine] = max(worker.life, latest.get(machine, worker.life))
    effects: list[PoolEffect] = []
    for name, missing in list(state.missing_workers.items()):
        process = missing.process
        if latest.get(process.machine, process.life) > process.life:
            evidence = CrashEvidence.MACHINE_TAKEN
            effects.extend(_blame_runs(state, process, missing.suspects, evidence))
            del state.missing_workers[name]
        elif not any(_is_suspected(state, *each) for each in missing.suspects):
            del state.missing_workers[name]
    return tuple(effects)


def clear_suspects(state: PoolState, worker: Worker) -> tuple[PoolEffect, ...]:
    """Drop the suspicion of runs on a worker that lives: it was only cut off."""
    if not worker.suspects:
        return ()
    suspects, worker.suspects = worker.suspects, []
    return _clear_runs(state, _get_process(worker), suspects)


def _clear_runs(
    state: PoolState, process: WorkerProcess, suspects: Sequence[tuple[TaskKey, RunNumber]]
) -> tuple[PoolEffect, ...]:
    state.needs_placement = True
    effects: list[PoolEffect] = []
    for task, run in suspects:
        step = find_step(state, task)
        if step is not None:
            _discard_suspicion(step, task.number, run)
        effects.append(ClearRun(process.worker, process.life, task, run))
        effects.append(ForgetCrash(task, run, RunEnd.SUSPECTED))
    return tuple(effects)


def clear_suspects_of_living_workers(state: PoolState, now: Instant) -> tuple[PoolEffect, ...]:
    """Drop the suspicion of runs on workers that a list just read shows to be alive."""
    has_gap = now > state.listed_at + LIST_GAP_MS
    state.listed_at = now
    effects: list[PoolEffect] = []
    for worker in state.workers.values():
        if not worker.suspects or not worker.is_listed:
            continue
        if has_gap or worker.is_other_life_listed:
            worker.suspected_at = now
        has_beaten = worker.listed.sequence > worker.suspected_sequence
        if has_beaten or now >= worker.suspected_at + SILENT_ENTRY_MS:
            effects.extend(clear_suspects(state, worker))
    return tuple(effects)


def _discard_suspicion(step: Step, index: int, run: RunNumber) -> None:
    runs = step.suspected_runs.get(index)
    if runs is not None:
        runs.discard(run)
        if not runs:
            del step.suspected_runs[index]


def handle_recorded_suspicion(
    state: PoolState, task: TaskKey, record: RunRecord, is_recovered: bool, now: Instant
) -> tuple[PoolEffect, ...]:
    """Handle the durable record that a run may have crashed its worker.

    One of an earlier leader is decided by what is known of the worker since, or becomes known. One
    of this leader may have been decided before it became durable.
    """
    step = find_step(state, task)
    if step is None or record.process is None:
        return ()
    index, run = task.number, record.run
    forget = ForgetCrash(task, run, RunEnd.SUSPECTED)
    if not is_recovered:
        return () if _is_open(step, index, run) else (forget,)
    # A worker that has reported the run's end has not crashed under it.
    decided = step.crashed_runs.get(index, set()) | step.failed_runs.get(index, set())
    if run in decided:
        return (forget,)
    step.suspected_runs.setdefault(index, set()).add(run)
    step.suspected_at[index] = now
    return _take_over_suspect(state, record.process, (task, run), now)


def _is_open(step: Step, index: int, run: RunNumber) -> bool:
    """Return whether a run may have crashed its worker, or may yet."""
    attempt = step.attempts.get(index)
    is_starting = attempt is not None and attempt.run == run and attempt.is_suspicion_stored
    return is_starting or run in step.suspected_runs.get(index, ())


def _take_over_suspect(
    state: PoolState, process: WorkerProcess, suspect: tuple[TaskKey, RunNumber], now: Instant
) -> tuple[PoolEffect, ...]:
    """Add a run that an earlier leader suspected to those of its worker, or blame it."""
    worker = state.workers.get(process.worker)
    if worker is not None and worker.life == process.life:
        _add_suspect(worker, *suspect, now)
        return ()
    if worker is not None and worker.life > process.life:
        return _blame_runs(state, process, (suspect,), CrashEvidence.LATER_PROCESS)
    known = state.missing_workers.get(process.worker, MissingWorker(process, ()))
    if process.life < known.process.life:
        return _blame_runs(state, process, (suspect,), CrashEvidence.LATER_PROCESS)
    if process.life > known.process.life:
        state.missing_workers[process.worker] = MissingWorker(process, (suspect,))
        return _blame_runs(state, known.process, known.suspects, CrashEvidence.LATER_PROCESS)
    suspects = (*known.suspects, suspect)
    state.missing_workers[process.worker] = MissingWorker(process, suspects)
    return ()


def handle_recorded_crash(
    state: PoolState, task: TaskKey, record: RunRecord, is_recovered: bool, now: Instant
) -> tuple[PoolEffect, ...]:
    """Handle the durable record of a crash: the job fails if the task has caused too many.

    A record of this leader does not count if the task was cleared before it became durable. One
    without the process that has ended is only a suspicion, and is deleted.
    """
    step = find_step(state, task)
    if step is None:
        return ()
    index, run = task.number, record.run
    mark_run_number_used(step, index, run)
    if record.process is None:
        step.suspected_runs.setdefault(index, set()).add(run)
        return (ForgetCrash(task, run),)
    forget = ForgetCrash(task, run, RunEnd.SUSPECTED)
    if not is_recovered and run not in step.suspected_runs.get(index, ()):
        return (ForgetCrash(task, run), forget)
    _discard_suspicion(step, index, run)
    crashed = step.crashed_runs.setdefault(index, set())
    crashed.add(run)
    state.needs_placement = True
    if len(crashed) < MAX_CRASHES or index in step.done or index in step.recording:
        return (forget,)
    return (forget, *fail_job(state, step.job, task, FailureCause.CRASHES, now))
