"""The scheduler of one zone: decides which task starts on which worker, and why.

The caller passes events to `apply_event` and gets decisions from `decide_placements`. The state is
modified in place, since a zone has tens of thousands of tasks. The scheduler is deterministic: the
same events at the same times give the same decisions. It reads no clock, does no I/O and uses no
hidden randomness.
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
