"""Records the end of an attempt, whatever the reason."""

from __future__ import annotations

from lentilpath_core.ids import Instant, TaskId, WallTime, WorkerId, get_job_of_task
from lentilpath_core.placement import AttemptFinished, apply_event
from lentilpath_core.states import AttemptOutcome, TaskState
from lentilpath_core.zone._control_state import ControllerState, record_event
from lentilpath_core.zone._readiness import offer_tasks
from lentilpath_core.zone.journal import AttemptEnded
from lentilpath_core.zone.reports import WorkerTask

UNKNOWN_TIME = WallTime(0)


def end_attempt(
    state: ControllerState,
    worker: WorkerId,
    task: TaskId,
    attempt: int,
    outcome: AttemptOutcome,
    now: Instant,
    wall: WallTime,
    reported: WorkerTask | None = None,
) -> None:
    """Record the end of an attempt, release its resources and offer the task if it may rerun."""
    event = AttemptEnded(
        task,
        attempt,
        worker,
        outcome,
        reported.started_at if reported else UNKNOWN_TIME,
        reported.ended_at if reported else wall,
        reported.millicore_ms if reported else 0,
        reported.peak_memory_mib if reported else 0,
    )
    record_event(state, event)
    ran_ms = reported.ended_at - reported.started_at if reported else 0
    apply_event(state.placement, AttemptFinished(task, attempt, worker, outcome, ran_ms), now)
    record = state.zone.find_task(task)
    if record is not None and record.state is TaskState.WAITING:
        offer_tasks(state, get_job_of_task(task), (task,), now)
