"""Events that the placement of a zone takes in, and the decisions it gives out."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lentilpath_core.ids import JobId, RackId, TaskId, TeamId, WallTime, WorkerId
from lentilpath_core.resources import Resources
from lentilpath_core.states import AttemptOutcome, WorkerState
from lentilpath_core.workloads import JobSpec


@dataclass(frozen=True, slots=True)
class WorkerOffered:
    """A worker exists, with this capacity and state. Sent again on each change."""

    worker: WorkerId
    rack: RackId
    capacity: Resources
    state: WorkerState


@dataclass(frozen=True, slots=True)
class WorkerRemoved:
    """The worker is gone; its tasks were ended by `AttemptFinished` before."""

    worker: WorkerId


@dataclass(frozen=True, slots=True)
class TasksReady:
    """These tasks of the job may start. A job's tasks may become ready in several events."""

    spec: JobSpec
    tasks: tuple[TaskId, ...]
    accepted_at: WallTime
    attempts: tuple[tuple[TaskId, int], ...] = ()
    """Attempts made before, for tasks that had any."""


@dataclass(frozen=True, slots=True)
class TaskFound:
    """The task holds room on the worker, or may hold it (after a change of leader)."""

    spec: JobSpec
    task: TaskId
    attempt: int
    worker: WorkerId
    room: Resources | None = None
    """What it holds, if that is more than its job declares."""


@dataclass(frozen=True, slots=True)
class JobWithdrawn:
    """No waiting task of the job may start, unless it becomes ready again.

    Running ones are ended by their own events.
    """

    job: JobId


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """The attempt holds no room any more. The caller sends `TasksReady` if it is to run again."""

    task: TaskId
    attempt: int
    worker: WorkerId
    outcome: AttemptOutcome
    ran_ms: int


@dataclass(frozen=True, slots=True)
class UsageReported:
    """What a running task was seen to use, some seconds ago."""

    task: TaskId
    attempt: int
    used: Resources


@dataclass(frozen=True, slots=True)
class QuotaSet:
    """What a team is guaranteed in this zone. What it does not use, others may borrow."""

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
    """How a running task makes room."""

    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"


@dataclass(frozen=True, slots=True)
class StartTask:
    """Start this attempt on this worker. Its room is held from now on."""

    task: TaskId
    attempt: int
    worker: WorkerId
    reason: str
    """One short line that an operator and a bill can quote."""
    room: Resources | None = None
    """What the attempt holds: its declared size, or more if its workload was seen to use more."""


@dataclass(frozen=True, slots=True)
class StopTask:
    """End, checkpoint or throttle a running attempt."""

    task: TaskId
    attempt: int
    worker: WorkerId
    mode: StopMode
    reason: str
    millicores: int = 0
    """For `THROTTLE` only: what the attempt may use from now on."""


@dataclass(frozen=True, slots=True)
class RefuseJob:
    """The job can never run, for this reason."""

    job: JobId
    reason: str


Decision = StartTask | StopTask | RefuseJob


class WaitRule(Enum):
    """The rule that keeps a task waiting, or that placed it."""

    PLACED = "placed"
    NO_ROOM = "no_room"
    TEAM_QUOTA = "team_quota"
    GANG_INCOMPLETE = "gang_incomplete"
    RESERVED = "reserved"
    BACKOFF = "backoff"
    HELD_BACK = "held_back"
    STALE_INPUT = "stale_input"
    UNKNOWN_PLACE = "unknown_place"
    TOO_LARGE = "too_large"


@dataclass(frozen=True, slots=True)
class Explanation:
    """Why a task waits, or why it runs where it runs."""

    task: TaskId
    rule: WaitRule
    text: str
    considered: int = 0
    """Workers that were looked at as alternatives."""
    waits_for: str = ""
    """What has to happen before the task can start; empty if it is placed."""
