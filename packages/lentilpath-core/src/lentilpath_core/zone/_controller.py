"""One step of a zone's controller: handles an event at a given time and returns effects."""

from __future__ import annotations

from functools import singledispatch

from lentilpath_core.ids import Epoch, Instant, JournalSequence, WallTime
from lentilpath_core.placement import QuotaSet, apply_event
from lentilpath_core.resources import NO_RESOURCES
from lentilpath_core.settings import WorkerLeaseSettings
from lentilpath_core.states import AttemptOutcome
from lentilpath_core.zone._attempts import end_attempt
from lentilpath_core.zone._commands import execute_command
from lentilpath_core.zone._control_messages import (
    AuthorityBackingChanged,
    BatchApplied,
    ConfirmWorker,
    ControlEffect,
    ControlEvent,
    InboxRead,
    JournalWrite,
    QuotasSet,
    RenewalSending,
    SendStart,
    StartAnswered,
    TimePassed,
    WorkersListed,
    WorkerSynced,
)
from lentilpath_core.zone._control_state import ControllerState, get_lease_bound
from lentilpath_core.zone._decisions import place_tasks, release_start
from lentilpath_core.zone._readiness import offer_recovered_tasks, set_table_backing
from lentilpath_core.zone._reconciliation import handle_report
from lentilpath_core.zone._workers import (
    check_silent_workers,
    confirm_worker,
    mark_silent,
    update_listed_workers,
)
from lentilpath_core.zone.journal import JournalBatch
from lentilpath_core.zone.reports import StartAnswer
from lentilpath_core.zone.state import ZoneState


def create_controller(
    zone: ZoneState,
    epoch: Epoch,
    leases: WorkerLeaseSettings,
    workers: WorkersListed,
    now: Instant,
    max_command_ms: int = 0,
) -> ControllerState:
    """Return the controller of a leader whose authority began before `now`.

    After a planned hand-over, lease renewals of the earlier leader may take effect for another
    `max_command_ms`.

    `zone` is the state replayed from the whole journal. The controller owns it from then on.
    """
    zone.epoch = epoch
    state = ControllerState(
        zone, epoch, leases, Instant(now + max_command_ms), backed_by_table=True
    )
    update_listed_workers(state, workers.workers, now)
    check_silent_workers(state, now, WallTime(0))
    offer_recovered_tasks(state, now)
    return state


def decide_zone(
    state: ControllerState, event: ControlEvent, now: Instant, wall: WallTime
) -> tuple[ControlEffect, ...]:
    """Apply `event` to `state` and return the effects to carry out, in order.

    `wall` is used only in records. Effects that require durable events wait for `BatchApplied`.
    """
    effects = _decide(event, state, now, wall)
    while state.pending_effects and not (
        state.writing or state.pending_events or state.pending_commands
    ):
        # All events that these effects depend on are already durable.
        state.writing_effects = state.pending_effects
        state.pending_effects = []
        effects.extend(_decide(BatchApplied(), state, now, wall))
    return tuple(effects)


def begin_journal_write(state: ControllerState, writer: str) -> JournalWrite | None:
    """Begin the next journal transaction and return it, or `None` if there is nothing to write.

    Only one may be in progress; `BatchApplied` ends it. `writer` is the transaction's write id.
    """
    if state.writing or not (state.pending_events or state.pending_commands):
        return None
    state.writing = True
    state.writing_commands = state.pending_commands
    state.writing_effects = state.pending_effects
    state.writing_jobs = state.pending_jobs
    events = tuple(state.pending_events)
    state.pending_events = []
    state.pending_commands = {}
    state.pending_effects = []
    state.pending_jobs = set()
    sequence = JournalSequence(state.zone.sequence + 1)
    state.zone.sequence = sequence
    batch = JournalBatch(state.zone.zone, sequence, state.epoch, writer, events)
    return JournalWrite(batch, tuple(state.writing_commands.values()))


def is_command_durable(state: ControllerState, command: str) -> bool:
    """Return whether the answer to `command` is durable in the journal."""
    undurable = command in state.pending_commands or command in state.writing_commands
    return command in state.zone.answers and not undurable


@singledispatch
def _decide(
    event: object, state: ControllerState, now: Instant, wall: WallTime
) -> list[ControlEffect]:
    raise TypeError(f"not a zone event: {event!r}")


@_decide.register
def _(
    event: WorkersListed, state: ControllerState, now: Instant, wall: WallTime
) -> list[ControlEffect]:
    update_listed_workers(state, event.workers, now)
    return []


@_decide.register
def _(
    event: InboxRead, state: ControllerState, now: Instant, wall: WallTime
) -> list[ControlEffect]:
    effects: list[ControlEffect] = []
    for key, entry in event.entries:
        effects.extend(execute_command(state, key, entry, now, wall))
    effects.extend(place_tasks(state, now, wall))
    return effects


@_decide.register
def _(
    event: WorkerSynced, state: ControllerState, now: Instant, wall: WallTime
) -> list[ControlEffect]:
    effects = handle_report(state, event, now, wall)
    effects.extend(place_tasks(state, now, wall))
    return effects


@_decide.register
def _(
    event: RenewalSending, state: ControllerState, now: Instant, wall: WallTime
) -> list[ControlEffect]:
    view = state.workers.get(event.worker)
    if view is not None:
        bound = get_lease_bound(state, event.deadline)
        view.lease_bound = max(view.lease_bound, bound)
    return []


@_decide.register
def _(
    event: StartAnswered, state: ControllerState, now: Instant, wall: WallTime
) -> list[ControlEffect]:
    view = state.workers.get(event.worker)
    if view is None:
        return []
    key = (event.task, event.attempt)
    if event.answer is StartAnswer.UNREACHED:
        mark_silent(state, event.worker, now)
    if event.answer in (StartAnswer.REFUSED, StartAnswer.UNREACHED):
        view.unconfirmed_starts.pop(key, None)
        outcome = AttemptOutcome.NOT_STARTED
        end_attempt(state, event.worker, event.task, event.attempt, outcome, now, wall)
    elif key in view.unconfirmed_starts:
        view.unconfirmed_starts[key] = (
            now if event.answer is StartAnswer.STARTED else event.deadline
        )
        if event.answer is StartAnswer.UNCLEAR:
            view.unclear_starts.add(key)
    return place_tasks(state, now, wall)


@_decide.register
def _(
    event: BatchApplied, state: ControllerState, now: Instant, wall: WallTime
) -> list[ControlEffect]:
    ready = state.writing_effects
    state.writing = False
    state.writing_commands = {}
    state.writing_effects = []
    state.writing_jobs = set()
    effects: list[ControlEffect] = []
    for effect in ready:
        if isinstance(effect, ConfirmWorker):
            confirm_worker(state, effect.worker, effect.boot, now)
        elif isinstance(effect, SendStart):
            effects.extend(release_start(state, effect, now, wall))
        else:
            effects.append(effect)
    effects.extend(place_tasks(state, now, wall))
    return effects


@_decide.register
def _(
    event: AuthorityBackingChanged, state: ControllerState, now: Instant, wall: WallTime
) -> list[ControlEffect]:
    set_table_backing(state, event.backed_by_table, now)
    return []


@_decide.register
def _(
    event: QuotasSet, state: ControllerState, now: Instant, wall: WallTime
) -> list[ControlEffect]:
    named = {quota.team for quota in event.quotas}
    for team in sorted(state.guaranteed_teams - named):
        apply_event(state.placement, QuotaSet(team, NO_RESOURCES), now)
    for quota in event.quotas:
        apply_event(state.placement, quota, now)
    state.guaranteed_teams = named
    return []


@_decide.register
def _(
    event: TimePassed, state: ControllerState, now: Instant, wall: WallTime
) -> list[ControlEffect]:
    check_silent_workers(state, now, wall)
    return place_tasks(state, now, wall)
