"""What the controller of a zone holds in memory."""

from __future__ import annotations

from dataclasses import dataclass, field

from lentilpath_core.ids import Epoch, Instant, JobId, TaskId, TeamId, WorkerId, WorkerTime
from lentilpath_core.placement import PlacementState, create_placement
from lentilpath_core.settings import WorkerLeaseSettings
from lentilpath_core.zone._control_messages import ControlEffect, ListedWorker, WorkerPhase
from lentilpath_core.zone.journal import JournalEvent
from lentilpath_core.zone.state import ZoneState, apply_journal_event

NEVER = Instant(2**62)
DRIFT_PERCENT = 2
"""How far apart the rates of two clocks may be."""


@dataclass(slots=True)
class WorkerView:
    """One worker as this leader sees it."""

    listed: ListedWorker
    phase: WorkerPhase
    answered_at: Instant
    """When it last answered, or when this leader began to ask."""
    lease_bound: Instant
    """No lease on the worker lasts longer than this."""
    boot: str = ""
    unsettled: dict[tuple[TaskId, int], Instant] = field(default_factory=dict)
    """Starts that a report may rightly lack, unless its sync was sent after this instant."""
    doubtful: set[tuple[TaskId, int]] = field(default_factory=set)
    """Starts of which only a complete report can tell what became."""
    usage: dict[tuple[TaskId, int], tuple[WorkerTime, int]] = field(default_factory=dict)
    """The last reading of each running attempt: worker's clock, millicore milliseconds."""
    strays: set[tuple[TaskId, int]] = field(default_factory=set)
    """Attempts that run there and should not; nothing new starts until they have ended."""


@dataclass(slots=True)
class ControllerState:
    """Everything that one leader knows of its zone.

    `zone` runs ahead of the table by the events in `pending` and in the batch that is being
    written. Effects that need those events to be durable wait in `gated`.
    """

    zone: ZoneState
    epoch: Epoch
    leases: WorkerLeaseSettings
    earlier_commands_end: Instant
    """Until when commands of earlier leaders may still act."""
    by_table: bool
    placement: PlacementState = field(default_factory=create_placement)
    workers: dict[WorkerId, WorkerView] = field(default_factory=dict)
    pending: list[JournalEvent] = field(default_factory=list)
    absorbed: dict[str, str] = field(default_factory=dict)
    """Keys of inbox rows whose events are in `pending`, by command."""
    gated: list[ControlEffect] = field(default_factory=list)
    undurable_jobs: set[JobId] = field(default_factory=set)
    """Jobs whose acceptance is in `pending`."""
    writing: bool = False
    writing_commands: dict[str, str] = field(default_factory=dict)
    writing_gated: list[ControlEffect] = field(default_factory=list)
    writing_jobs: set[JobId] = field(default_factory=set)
    held: dict[JobId, list[TaskId]] = field(default_factory=dict)
    """Waiting idempotent tasks that may run on a worker that has not answered yet."""
    guaranteed_teams: set[TeamId] = field(default_factory=set)
    waiting_for_table: dict[JobId, list[TaskId]] = field(default_factory=dict)
    """Waiting tasks that may not start without a durable record, while the table is away."""


def record_event(state: ControllerState, event: JournalEvent) -> None:
    """Take `event` into the zone's state and into the next batch."""
    apply_journal_event(event, state.zone)
    state.pending.append(event)


def extend_by_drift(span_ms: int) -> int:
    """Return how long `span_ms` on another clock may last on this one, in milliseconds."""
    return span_ms + span_ms * DRIFT_PERCENT // 100 + 1


def get_lease_bound(state: ControllerState, sent_before: Instant) -> Instant:
    """Return when leases granted by commands without effect after `sent_before` have run out."""
    return Instant(sent_before + extend_by_drift(state.leases.lease_ms))
