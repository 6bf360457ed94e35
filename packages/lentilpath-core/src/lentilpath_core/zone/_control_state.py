"""In-memory state of a zone's controller."""

from __future__ import annotations

from dataclasses import dataclass, field

from lentilpath_core.ids import Epoch, Instant, JobId, TaskId, TeamId, WorkerId, WorkerTime
from lentilpath_core.placement import PlacementState, create_placement
from lentilpath_core.settings import WorkerLeaseSettings
from lentilpath_core.zone._control_messages import ControlEffect, ListedWorker, WorkerPhase
from lentilpath_core.zone.journal import JournalEvent
from lentilpath_core.zone.state import ZoneState, apply_journal_event

NEVER = Instant(2**62)
MAX_CLOCK_DRIFT_PERCENT = 2
"""Largest difference between the rates of two clocks."""


@dataclass(slots=True)
class WorkerView:
    """One worker as this leader sees it."""

    listed: ListedWorker
    phase: WorkerPhase
    answered_at: Instant
    """When it last answered, or when this leader began to track it if it never did."""
    lease_bound: Instant
    """Every lease on the worker has expired after this time."""
    boot: str = ""
    unconfirmed_starts: dict[tuple[TaskId, int], Instant] = field(default_factory=dict)
    """Starts that a report may legitimately omit, unless its sync was sent after this instant."""
    unclear_starts: set[tuple[TaskId, int]] = field(default_factory=set)
    """Starts whose outcome only a complete report can tell."""
    usage: dict[tuple[TaskId, int], tuple[WorkerTime, int]] = field(default_factory=dict)
    """Last usage sample of each running attempt: worker's clock, millicore milliseconds used."""
    orphaned_attempts: set[tuple[TaskId, int]] = field(default_factory=set)
    """Attempts that run on the worker but should not; no task starts there until they end."""


@dataclass(slots=True)
class ControllerState:
    """Everything that one leader knows about its zone.

    `zone` is ahead of the table by the events in `pending_events` and in the batch that is being
    written. Effects that require those events to be durable wait in `pending_effects`, and in
    `writing_effects` once their batch is being written.
    """

    zone: ZoneState
    epoch: Epoch
    leases: WorkerLeaseSettings
    earlier_command_deadline: Instant
    """Commands of earlier leaders have no effect after this time."""
    backed_by_table: bool
    placement: PlacementState = field(default_factory=create_placement)
    workers: dict[WorkerId, WorkerView] = field(default_factory=dict)
    pending_events: list[JournalEvent] = field(default_factory=list)
    pending_commands: dict[str, str] = field(default_factory=dict)
    """Inbox row keys of executed commands whose events are in `pending_events`, by command."""
    pending_effects: list[ControlEffect] = field(default_factory=list)
    pending_jobs: set[JobId] = field(default_factory=set)
    """Jobs whose `JobAccepted` event is in `pending_events`."""
    writing: bool = False
    writing_commands: dict[str, str] = field(default_factory=dict)
    writing_effects: list[ControlEffect] = field(default_factory=list)
    writing_jobs: set[JobId] = field(default_factory=set)
    tasks_awaiting_workers: dict[JobId, list[TaskId]] = field(default_factory=dict)
    """Waiting idempotent tasks that may already run on a worker that has not answered yet."""
    guaranteed_teams: set[TeamId] = field(default_factory=set)
    tasks_awaiting_table: dict[JobId, list[TaskId]] = field(default_factory=dict)
    """Waiting tasks that need a durable start record, while the table is unavailable."""


def record_event(state: ControllerState, event: JournalEvent) -> None:
    """Apply `event` to the zone's state and add it to the next batch."""
    apply_journal_event(event, state.zone)
    state.pending_events.append(event)


def add_clock_drift(duration_ms: int) -> int:
    """Return the longest that `duration_ms` on another clock may last on this one, in ms."""
    return duration_ms + duration_ms * MAX_CLOCK_DRIFT_PERCENT // 100 + 1


def get_lease_bound(state: ControllerState, command_deadline: Instant) -> Instant:
    """Return when leases granted by commands without effect after `command_deadline` expire."""
    return Instant(command_deadline + add_clock_drift(state.leases.lease_ms))
