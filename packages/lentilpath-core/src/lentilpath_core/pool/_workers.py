"""Handles lists and reports of workers, and workers that stop answering, restart or leave."""

from __future__ import annotations

from lentilpath_core.ids import Instant
from lentilpath_core.pool._authority import (
    note_recorded_workers,
    record_workers,
    suspend_worker,
    update_former_leader,
)
from lentilpath_core.pool._capacity import note_list, note_reports
from lentilpath_core.pool._crashes import (
    clear_suspects,
    clear_suspects_of_living_workers,
    keep_suspects,
    record_crashes,
    resolve_missing_worker,
    resolve_taken_machines,
)
from lentilpath_core.pool._customers import get_job_customer, hold_room
from lentilpath_core.pool._events import (
    PoolEffect,
    ReleaseWorker,
    WorkerReported,
    WorkersListed,
    WorkersRecorded,
)
from lentilpath_core.pool._evidence import discount_silence, record_progress
from lentilpath_core.pool._former_workers import expire_former_leases
from lentilpath_core.pool._leaving import update_leave_time
from lentilpath_core.pool._model import (
    ListedWorker,
    RunningRun,
    RunNumber,
    TaskKey,
)
from lentilpath_core.pool._reasons import (
    CrashEvidence,
    LossReason,
    StopReason,
)
from lentilpath_core.pool._restarts import (
    forget_removed_workers,
    may_be_outdated,
    may_begin_in_next_life,
    note_answer,
    note_former_commands,
    note_removed_worker,
    rest_worker,
    stop_unclear_runs,
    suspect_unclear_runs,
    take_unclear_runs,
)
from lentilpath_core.pool._runs import (
    allocate_room,
    confirm_attempt,
    forget_old_unanswered_starts,
    handle_ended_run,
    mark_attempt_lost,
)
from lentilpath_core.pool._sharing import adjust_paces
from lentilpath_core.pool._state import Attempt, Phase, PoolState, Step, Worker
from lentilpath_core.pool._steps import (
    find_step,
    mark_run_number_used,
    stop_attempt,
    update_open_steps,
)
from lentilpath_core.resources import NO_RESOURCES

STOP_RETRY_MS = 1_000
"""A stop is sent again after this time if the run is still listed. It is over twice as long as the
longest stop takes."""


def handle_worker_list(
    state: PoolState, event: WorkersListed, now: Instant
) -> tuple[PoolEffect, ...]:
    """Update the known workers from the complete list of registered workers."""
    effects: list[PoolEffect] = []
    forget_old_unanswered_starts(state, now)
    forget_removed_workers(state, now)
    reported_at = note_list(state, event, now)
    listed = {each.worker: each for each in event.workers}
    for worker in list(state.workers.values()):
        entry = listed.get(worker.worker)
        worker.is_listed = entry is not None
        worker.is_other_life_listed = entry is not None and entry.life != worker.life
    for entry in event.workers:
        known = state.workers.get(entry.worker)
        if known is not None and known.life == entry.life:
            if entry.sequence < known.listed.sequence:
                continue
            if entry.sequence > known.listed.sequence or not known.capacity_seen_at:
                known.capacity_seen_at = max(known.capacity_seen_at, reported_at)
            if known.listed.capacity != entry.capacity:
                known.free = known.free + entry.capacity - known.listed.capacity
                effects.extend(_withdraw_starts(known, now))
            known.listed = entry
            update_leave_time(known, entry, now)
        elif known is not None and may_be_outdated(known, entry.life):
            continue
        elif known is not None and not event.is_confirmed:
            # A successor may have heard how the runs of the former life have ended.
            continue
        else:
            effects.extend(resolve_missing_worker(state, entry))
            effects.extend(_start_new_life(state, known, entry, now))
            state.workers[entry.worker].capacity_seen_at = reported_at
    note_reports(state, event)
    effects.extend(update_former_leader(state, now))
    effects.extend(record_workers(state))
    effects.extend(clear_suspects_of_living_workers(state, now))
    effects.extend(resolve_taken_machines(state))
    if state.customers:
        state.fleet = sum((each.capacity for each in event.workers), NO_RESOURCES)
    state.needs_placement = True
    return tuple(effects)


def _withdraw_starts(worker: Worker, now: Instant) -> tuple[PoolEffect, ...]:
    """Stop the latest starts that a worker has not answered, if its runs exceed its capacity."""
    effects: list[PoolEffect] = []
    expected = worker.free
    pending = [each for each in worker.attempts.values() if each.phase is Phase.STARTING]
    for attempt in sorted(pending, key=lambda each: each.begun_at, reverse=True):
        if NO_RESOURCES.fits_in(expected):
            break
        expected = expected + attempt.room
        effects.extend(stop_attempt(attempt, StopReason.NO_ROOM, now))
    return tuple(effects)


def _start_new_life(
    state: PoolState, former: Worker | None, entry: ListedWorker, now: Instant
) -> tuple[PoolEffect, ...]:
    """Add a new incarnation of a worker, and give up the runs of the former one.

    Runs whose starts the new one may carry out are moved to it until it reports. One that may run
    tasks of an earlier leader is waited for as long as the former one: no longer, since all
    recovered tasks wait.
    """
    was_unconfirmed = entry.worker in state.unconfirmed_workers
    worker = Worker(entry, entry.capacity)
    note_former_commands(state, worker, former, now)
    unclear: list[Attempt] = []
    effects: list[PoolEffect] = []
    if former is not None:
        worker.last_former_life = max(former.life, former.last_former_life)
        unclear = take_unclear_runs(state, former, now)
        effects.extend(suspect_unclear_runs(state, unclear, now))
        effects.extend(_remove_worker(state, former, now))
        effects.extend(record_crashes(state, former, CrashEvidence.LATER_PROCESS))
    state.workers[entry.worker] = worker
    update_leave_time(worker, entry, now)
    if was_unconfirmed:
        state.unconfirmed_workers.add(entry.worker)
        if not state.former_leader.identifies_processes:
            _assume_longest_lease(state, worker, now)
        elif former is not None:
            worker.lease_ends_at = former.lease_ends_at
            worker.are_runs_bounded = former.are_runs_bounded
    if former is not None and former.is_suspended:
        # Until it reports, the record says of the new one what it said of the former.
        suspend_worker(state, worker)
    effects.extend(stop_unclear_runs(state, worker, unclear, now))
    return tuple(effects)


def _assume_longest_lease(state: PoolState, worker: Worker, now: Instant) -> None:
    lease_ends_at = Instant(now + state.longest_lease_ms)
    worker.lease_ends_at = max(worker.lease_ends_at, lease_ends_at)


def handle_recorded_workers(state: PoolState, event: WorkersRecorded) -> None:
    """Allow starts on these incarnations of workers, whose record is durable."""
    note_recorded_workers(state, event)
    state.needs_placement = True


def handle_report(state: PoolState, event: WorkerReported, now: Instant) -> tuple[PoolEffect, ...]:
    """Handle a worker's report of the runs that are running and those that have ended.

    An incomplete report neither ends the runs that it leaves out nor confirms the worker: the tasks
    of an earlier leader may be among the ends that it does not list.
    """
    worker = state.workers.get(event.worker)
    if worker is None or worker.life != event.life:
        return ()
    is_first = worker.reported_at is None or worker.is_suspended
    note_answer(state, worker, bool(event.report.running), now)
    is_first &= not worker.is_suspended
    was_unconfirmed = worker.worker in state.unconfirmed_workers
    discount_silence(worker, event.sent_at)
    worker.reported_at = max(event.sent_at, worker.reported_at or event.sent_at)
    effects: list[PoolEffect] = list(update_former_leader(state, now))
    worker.has_unlisted_ends = not event.report.is_complete
    if event.report.is_complete:
        state.unconfirmed_workers.discard(worker.worker)
    effects.extend(clear_suspects(state, worker))
    for ended in event.report.ended:
        if ended.number > worker.last_end_number:
            worker.last_end_number = ended.number
            effects.extend(handle_ended_run(state, worker, ended, now))
    listed = {(each.task, each.run) for each in event.report.running}
    for running in event.report.running:
        effects.extend(_handle_running_run(state, worker, running, event.sent_at, now))
    for attempt in list(worker.attempts.values()):
        if event.report.is_complete and (attempt.task, attempt.run) not in listed:
            effects.extend(_drop_unlisted_attempt(state, attempt, event.sent_at, now))
    effects.extend(adjust_paces(worker, now))
    effects.extend(rest_worker(state, worker, now))
    if is_first:
        effects.extend(record_workers(state))
    if is_first or (was_unconfirmed and event.report.is_complete):
        state.needs_placement = True
    return tuple(effects)


def _handle_running_run(
    state: PoolState, worker: Worker, running: RunningRun, sent_at: Instant, now: Instant
) -> tuple[PoolEffect, ...]:
    attempt = worker.attempts.get((running.task, running.run))
    if attempt is None:
        attempt = _adopt_run(state, worker, running, now)
    if attempt.step is None:
        return _stop_listed_run(attempt, _explain_unwanted_run(state, attempt.task), now)
    effects = confirm_attempt(attempt, sent_at, now)
    if attempt.phase is Phase.STARTING:
        attempt.phase = Phase.RUNNING
        attempt.answered_at = attempt.answered_at or now
    if running.checkpoint:
        shared = 0 if attempt.step.spec.gang else running.task.number
        attempt.step.checkpoints[shared] = running.checkpoint
    record_progress(attempt, running.percent, now)
    attempt.load = running.load
    if attempt.stop_reason is not None:
        effects += _stop_listed_run(attempt, attempt.stop_reason, now)
    return effects


def _stop_listed_run(attempt: Attempt, reason: StopReason, now: Instant) -> tuple[PoolEffect, ...]:
    """Stop a run that its worker still lists, unless a stop was sent a short time ago.

    One that still waits in the worker's link keeps its turn.
    """
    if now < attempt.stop_sent_at + STOP_RETRY_MS and attempt.phase is Phase.STOPPING:
        return ()
    return stop_attempt(attempt, reason, now)


def _explain_unwanted_run(state: PoolState, task: TaskKey) -> StopReason:
    step = find_step(state, task)
    if step is None:
        return StopReason.UNWANTED
    return StopReason.JOB_OVER if step.job.final is not None else StopReason.DUPLICATE


def _adopt_run(state: PoolState, worker: Worker, running: RunningRun, now: Instant) -> Attempt:
    """Add a run that an earlier leader has started; one without a step is no longer wanted."""
    step = find_step(state, running.task)
    index = running.task.number
    wanted = (
        step is not None
        and step.job.final is None
        and index < step.spec.count
        and index not in step.attempts
        and index not in step.done
        and index not in step.recording
        and not _is_other_run_of_gang(step, running.run)
    )
    # The resources of a run of an unknown job are not known, so its worker counts as full.
    room = step.spec.counted_room if step is not None else worker.listed.capacity
    attempt = Attempt(
        running.task,
        running.run,
        worker,
        step if wanted else None,
        room,
        Phase.RUNNING,
        now,
        answered_at=now,
        has_started=True,
        is_confirmed=True,
        percent=running.percent,
        first_percent=running.percent,
        progressed_at=now,
        pace=None,
        customer=get_job_customer(state, running.task.job),
    )
    allocate_room(worker, attempt)
    hold_room(state, attempt.customer, attempt.room)
    # The worker refuses earlier leaders since it has reported, not since the takeover.
    former_lease_ends_at = Instant(now + state.former_leader.lease_ms)
    worker.lease_ends_at = max(
        worker.lease_ends_at, state.former_leases_end_at, former_lease_ends_at
    )
    if worker.lease_ends_at <= now:
        # The run is in progress, so a command that is not known here has granted it a lease.
        _assume_longest_lease(state, worker, now)
    if step is not None and wanted:
        mark_run_number_used(step, index, running.run)
        step.attempts[index] = attempt
        if step.spec.gang:
            step.waiting = []
        else:
            step.remove_waiting(index)
        update_open_steps(state, step)
    return attempt


def _is_other_run_of_gang(step: Step, run: RunNumber) -> bool:
    return step.spec.gang and any(each.run != run for each in step.attempts.values())


def _drop_unlisted_attempt(
    state: PoolState, attempt: Attempt, sent_at: Instant, now: Instant
) -> tuple[PoolEffect, ...]:
    """Give up a run that is missing from a report although it was answered before the request."""
    if attempt.answered_at is None or attempt.answered_at >= sent_at:
        return ()
    return mark_attempt_lost(state, attempt, LossReason.NOT_LISTED, now)


def _remove_worker(state: PoolState, worker: Worker, now: Instant) -> tuple[PoolEffect, ...]:
    """Remove a worker's incarnation, and give up the runs on it, which have ended."""
    effects: list[PoolEffect] = []
    for attempt in list(worker.attempts.values()):
        effects.extend(mark_attempt_lost(state, attempt, LossReason.NEW_LIFE, now))
    effects.append(ReleaseWorker(worker.worker, worker.life))
    state.workers.pop(worker.worker, None)
    state.unconfirmed_workers.discard(worker.worker)
    # A plan of a step may still refer to it.
    worker.is_listed = False
    return tuple(effects)


def expire_leases(state: PoolState, is_confirmed: bool, now: Instant) -> tuple[PoolEffect, ...]:
    """Give up runs on workers whose leases have expired, and remove workers that left.

    Only a leader whose lease is confirmed knows that nobody else has extended those leases.
    """
    if not is_confirmed:
        return ()
    effects: list[PoolEffect] = list(expire_former_leases(state, now))
    for worker in list(state.workers.values()):
        if worker.worker in state.unconfirmed_workers:
            continue
        if now < worker.lease_ends_at and (worker.is_listed or worker.attempts):
            continue
        for attempt in list(worker.attempts.values()):
            if not may_begin_in_next_life(state, attempt, now):
                effects.extend(mark_attempt_lost(state, attempt, LossReason.LEASE_LAPSED, now))
        if not worker.is_listed:
            note_removed_worker(state, worker, now)
            effects.extend(_remove_worker(state, worker, now))
            keep_suspects(state, worker)
            effects.extend(resolve_taken_machines(state))
            effects.extend(record_workers(state))
    return tuple(effects)
