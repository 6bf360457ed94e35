"""Which task starts on which worker, and why: pure decisions for one zone.

The caller feeds events with `apply_event` and takes decisions with `decide_placements`. The state
is changed in place, since a zone holds tens of thousands of tasks, but the same events at the same
times always give the same decisions: there is no clock, no I/O and no hidden randomness.
"""

from lentilpath_core.placement._engine import (
    apply_event,
    create_placement,
    decide_placements,
)
from lentilpath_core.placement._explanations import explain_task
from lentilpath_core.placement._feasibility import find_refusal
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
from lentilpath_core.placement._records import PlacementState
from lentilpath_core.placement._summary import PlacementSummary, summarize_placement

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
