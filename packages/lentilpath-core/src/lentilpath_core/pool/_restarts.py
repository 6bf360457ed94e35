"""A worker's restart: commands for its former life may still take effect at the next one.

A command names a worker's id, which all its lives share, and one that got no answer may be carried
out seconds later. So a start may begin a run that no leader knows of. And the end of a lease is a
time on the clock of one life: on the young clock of the next one it lies far ahead, so that one
keeps all its runs for the longest lease that workers accept.

The token of a leader's commands rises with each life that it contacts. So nothing that was sent for
a former life takes effect once the next one has answered, and the runs that began before are listed
in that answer. What remains is the lease, which never gets shorter. While it may last, the life
gets no starts at first, unless others lack room, and its runs are waited for.
docs/design/platform.md has the argument.
"""

from __future__ import annotations

from dataclasses import replace

from lentilpath_core.ids import Instant
from lentilpath_core.pool._authority import (
    await_record,
    record_workers,
    resume_worker,
    suspend_worker,
)
from lentilpath_core.pool._crashes import forget_suspicion, record_suspicion, suspect_run
from lentilpath_core.pool._events import OtherLifeAnswered, PoolEffect, StopRun
from lentilpath_core.pool._model import Life
from lentilpath_core.pool._reasons import StopReason
from lentilpath_core.pool._runs import UNANSWERED_START_MEMORY_MS, allocate_room
from lentilpath_core.pool._state import Attempt, PoolState, Worker
from lentilpath_core.pool._steps import stop_attempt

MAX_WAIT_MS = 6_200
"""A worker rests until the lease that it may have is over this soon. If it is cut off then, its
tasks start elsewhere 7 s after that at the latest: a job may have nothing running for 3 s once the
network was calm for 4 s. The difference covers the conversion between clocks and a tick."""


def note_former_commands(
    state: PoolState, worker: Worker, former: Worker | None, now: Instant
) -> None:
    """Note whether commands for former lives of a worker may take effect at one that was added.

    Not if no leader has sent any that starts or prolongs a run. A life that is listed again has the
    lease that it had.
    """
    if former is not None:
        worker.may_take_former_commands = _was_commanded(state, former)
        return
    removed, _ = state.removed_workers.get(worker.worker, (worker, now))
    if removed.life != worker.life:
        worker.may_take_former_commands = True
        return
    worker.may_take_former_commands = removed.may_take_former_commands
    worker.held_until = removed.held_until
    worker.rests_until = removed.rests_until


def _was_commanded(state: PoolState, worker: Worker) -> bool:
    return (
        worker.may_take_former_commands
        or worker.lease_ends_at > 0
        or bool(worker.attempts)
        or worker.worker in state.unconfirmed_workers
    )


def note_other_life(state: PoolState, event: OtherLifeAnswered) -> None:
    """Note which life answers in place of the known one."""
    worker = state.workers.get(event.worker)
    if worker is not None and worker.life == event.life:
        worker.answered_life = event.answered


def may_be_outdated(worker: Worker, life: Life) -> bool:
    """Return whether an entry of another life of a worker may be one of a life that is over.

    Entries may be written or read late. One with a higher number than all before is of a later
    life. One with a lower number may be too, since clocks are set back: it is once that life has
    answered.
    """
    highest = max(worker.life, worker.last_former_life)
    return life <= highest and life != worker.answered_life


def note_removed_worker(state: PoolState, worker: Worker, now: Instant) -> None:
    """Remember that a worker without an entry was sent commands."""
    if _was_commanded(state, worker):
        state.removed_workers[worker.worker] = worker, now


def forget_removed_workers(state: PoolState, now: Instant) -> None:
    """Forget the workers that were removed so long ago that no command is carried out any more."""
    oldest = now - UNANSWERED_START_MEMORY_MS
    removed = state.removed_workers
    state.removed_workers = {name: each for name, each in removed.items() if each[1] > oldest}


def take_unclear_runs(state: PoolState, former: Worker, now: Instant) -> list[Attempt]:
    """Remove the runs from a life that is over whose starts the next one may carry out."""
    unanswered = state.unanswered_starts.get(former.worker, {})
    unclear = [
        each
        for key, each in former.attempts.items()
        if key in unanswered or _is_recent_and_unconfirmed(each, now)
    ]
    for attempt in unclear:
        del former.attempts[(attempt.task, attempt.run)]
    return unclear


def _is_recent_and_unconfirmed(attempt: Attempt, now: Instant) -> bool:
    # The answer to a start does not tell which life has given it.
    return not attempt.is_confirmed and now < attempt.begun_at + UNANSWERED_START_MEMORY_MS


def suspect_unclear_runs(
    state: PoolState, unclear: list[Attempt], now: Instant
) -> tuple[PoolEffect, ...]:
    """Note which of these runs may have crashed their worker."""
    effects: list[PoolEffect] = []
    for attempt in unclear:
        is_suspected = suspect_run(state, attempt, now)
        effects.extend(record_suspicion(attempt) if is_suspected else forget_suspicion(attempt))
    return tuple(effects)


def stop_unclear_runs(
    state: PoolState, worker: Worker, unclear: list[Attempt], now: Instant
) -> tuple[PoolEffect, ...]:
    """Stop at a new life what it may begin by commands for the former one.

    The runs that the former life still held are moved here until a report shows that they are over,
    or until the longest lease is.
    """
    effects: list[PoolEffect] = []
    if unclear:
        worker.lease_ends_at = max(worker.lease_ends_at, Instant(now + state.longest_lease_ms))
    for attempt in unclear:
        effects.extend(_move_to_life(attempt, worker, now))
    for task, run in state.unanswered_starts.get(worker.worker, {}):
        if (task, run) not in worker.attempts:
            effects.append(StopRun(worker.worker, worker.life, task, run, StopReason.UNCLEAR))
    return tuple(effects)


def _move_to_life(attempt: Attempt, worker: Worker, now: Instant) -> tuple[PoolEffect, ...]:
    moved = replace(
        attempt,
        worker=worker,
        answered_at=None,
        has_started=False,
        is_confirmed=False,
        is_suspicion_stored=False,
    )
    allocate_room(worker, moved)
    step = attempt.step
    if step is not None and step.attempts.get(attempt.task.number) is attempt:
        step.attempts[attempt.task.number] = moved
    return stop_attempt(moved, StopReason.UNCLEAR, now)


def may_begin_in_next_life(state: PoolState, attempt: Attempt, now: Instant) -> bool:
    """Return whether a run whose lease has expired may begin again after a restart of its worker.

    The life that its start was sent to refuses it by now, but the worker may have restarted before
    the registry shows it.
    """
    worker = attempt.worker
    unanswered_at = state.unanswered_starts.get(worker.worker, {}).get((attempt.task, attempt.run))
    if unanswered_at is None or now >= unanswered_at + UNANSWERED_START_MEMORY_MS:
        return False
    return worker.is_listed and worker.capacity_seen_at < worker.lease_ends_at


def get_end_of_rest(held_until: Instant) -> Instant:
    """Return until when a worker rests whose runs may be held until this time."""
    return Instant(held_until - MAX_WAIT_MS)


def note_answer(state: PoolState, worker: Worker, has_runs: bool, now: Instant) -> None:
    """Note that a life has answered: it refuses what was sent for former lives from now on.

    Called for each report, before its runs are handled. A worker that has runs does not rest.
    """
    if worker.may_take_former_commands:
        worker.may_take_former_commands = False
        worker.held_until = Instant(now + state.longest_lease_ms)
        worker.rests_until = get_end_of_rest(worker.held_until)
        # A successor has to know of the lease before anything is started.
        await_record(worker)
    if state.lacks_room:
        # A task that has no room waits for certain, and one on a worker that is held may.
        worker.rests_until = min(worker.rests_until, now)
    if worker.is_suspended and (has_runs or now >= worker.rests_until):
        resume_worker(state, worker)


def rest_worker(state: PoolState, worker: Worker, now: Instant) -> tuple[PoolEffect, ...]:
    """Suspend a worker that must rest and has no runs, or count its runs as held.

    Called for each report, after its runs are handled. A successor does not wait for a worker that
    rests, since nothing was started there.
    """
    may_run = bool(worker.attempts) or worker.worker in state.unconfirmed_workers
    if now < worker.rests_until and not may_run and not worker.is_suspended:
        worker.lease_ends_at = now
        suspend_worker(state, worker)
        return record_workers(state)
    if not worker.is_suspended:
        worker.lease_ends_at = max(worker.lease_ends_at, worker.held_until)
    return ()
