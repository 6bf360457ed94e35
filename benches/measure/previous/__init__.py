"""The engine of an earlier version, kept unchanged to compare with.

The caller feeds events with `apply_event` and takes decisions with `decide_placements`. The state
is changed in place, since a zone holds tens of thousands of tasks, but the same events at the same
times always give the same decisions: there is no clock, no I/O and no hidden randomness.
"""

from benches.measure.previous._engine import (
    apply_event,
    create_placement,
    decide_placements,
)
from benches.measure.previous._explanations import explain_task
from benches.measure.previous._feasibility import find_refusal
from benches.measure.previous._records import PlacementState
from benches.measure.previous._summary import PlacementSummary, summarize_placement
from lentilpath_core.placement._messages import (
    AttemptFinished,
    Decision,
    Explanation,
    JobWithdrawn,
    PlacementEvent,
    QuotaSet,
    RefuseJob,
    StartTask,
    StopMode,
    StopTask,
    TaskFound,
    TasksReady,
    UsageReported,
    WaitRule,
    WorkerOffered,
    WorkerRemoved,
)

__all__ = [
    "AttemptFinished",
    "Decision",
    "Explanation",
    "JobWithdrawn",
    "PlacementEvent",
    "PlacementState",
    "PlacementSummary",
    "QuotaSet",
    "RefuseJob",
    "StartTask",
    "StopMode",
    "StopTask",
    "TaskFound",
    "TasksReady",
    "UsageReported",
    "WaitRule",
    "WorkerOffered",
    "WorkerRemoved",
    "apply_event",
    "create_placement",
    "decide_placements",
    "explain_task",
    "find_refusal",
    "summarize_placement",
]
