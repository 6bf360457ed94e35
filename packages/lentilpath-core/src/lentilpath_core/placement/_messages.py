"""Events that the scheduler of a zone accepts, and the decisions that it returns."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lentilpath_core.ids import JobId, RackId, TaskId, TeamId, WallTime, WorkerId
from lentilpath_core.resources import Resources
from lentilpath_core.states import AttemptOutcome, WorkerState
from lentilpath_core.workloads import JobSpec


@dataclass(frozen=True, slots=True)
class WorkerOffered:
    """A worker joined with this capacity and state, or its rack, capacity or state changed."""

    worker: WorkerId
    rack: RackId
    capacity: Resources
    state: WorkerState


@dataclass(frozen=True, slots=True)
class WorkerRemoved:
    """The worker was removed, after the caller ended its attempts with `AttemptFinished`.

    An attempt that was not ended keeps its allocation.
    """

    worker: WorkerId


@dataclass(frozen=True, slots=True)
class TasksReady:
    """These tasks of the job may start. A job's tasks may become ready in several events."""

    spec: JobSpec
    tasks: tuple[TaskId, ...]
    accepted_at: WallTime
    attempts: tuple[tuple[TaskId, int], ...] = ()
    """Number of earlier attempts, for each task that had any."""


@dataclass(frozen=True, slots=True)
class TaskFound:
    """The attempt occupies resources on the worker, or may do so (after a change of leader)."""

    spec: JobSpec
    task: TaskId
    attempt: int
    worker: WorkerId
    room: Resources | None = None
    """Resources allocated to the attempt, if they exceed what its job declares."""


@dataclass(frozen=True, slots=True)
class JobWithdrawn:
    """Waiting tasks of the job may not start until `TasksReady` names the job again.

    Running tasks keep their allocations until their own `AttemptFinished`.
    """

    job: JobId


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """The attempt released its resources. To run the task again, the caller sends `TasksReady`."""

    task: TaskId
    attempt: int
    worker: WorkerId
    outcome: AttemptOutcome
    ran_ms: int


@dataclass(frozen=True, slots=True)
class UsageReported:
    """Measured resource usage of a running task; the report lags by some seconds."""

    task: TaskId
    attempt: int
    used: Resources


@dataclass(frozen=True, slots=True)
class QuotaSet:
    """Resources guaranteed to a team in this zone. Other teams may borrow what it leaves unused."""

    team: TeamId
    guaranteed: Resources


PlacementEvent = (
    WorkerOffered
    | WorkerRemoved
    | TasksReady
    | TaskFound
    | JobWithdrawn
    | AttemptFinished
    | UsageReported
    | QuotaSet
)


class StopMode(Enum):
    """How a running task releases resources."""

    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"


@dataclass(frozen=True, slots=True)
class StartTask:
    """Start this attempt on this worker. Its resources are already allocated."""

    task: TaskId
    attempt: int
    worker: WorkerId
    reason: str
    """Why the task was placed there: one short line, shown to operators and on bills."""
    room: Resources | None = None
    """Resources of the attempt: its declared size, or more if its workload has used more."""


@dataclass(frozen=True, slots=True)
class StopTask:
    """End, checkpoint or throttle a running attempt."""

    task: TaskId
    attempt: int
    worker: WorkerId
    mode: StopMode
    reason: str
    millicores: int = 0
    """For `THROTTLE` only: the new processor limit of the attempt."""


@dataclass(frozen=True, slots=True)
class RefuseJob:
    """The job is refused and none of its tasks will start; `reason` is for the submitter."""

    job: JobId
    reason: str


Decision = StartTask | StopTask | RefuseJob


class WaitRule(Enum):
    """The scheduling rule that a task waits on, or `PLACED`."""

    PLACED = "placed"
    NO_ROOM = "no_room"
    TEAM_QUOTA = "team_quota"
    GANG_INCOMPLETE = "gang_incomplete"
    RESERVED = "reserved"
    BACKOFF = "backoff"
    HELD_BACK = "held_back"
    STALE_INPUT = "stale_input"
    TOO_LARGE = "too_large"


@dataclass(frozen=True, slots=True)
class Explanation:
    """Why a task waits, or why it was placed on its worker."""

    task: TaskId
    rule: WaitRule
    text: str
    considered: int = 0
    """Number of workers considered."""
    waits_for: str = ""
    """What has to happen before the task can start; empty if it is placed."""
