"""What a pool's leader knows of jobs, queues and workers, as immutable records."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple, NewType

import msgspec

from lentilpath_core.ids import (
    ConfigVersion,
    JobId,
    RackId,
    ServiceId,
    WallTime,
    WorkerId,
    WorkerTime,
    ZoneId,
)
from lentilpath_core.resources import Resources
from lentilpath_core.settings import Address

QueueId = NewType("QueueId", str)
"""A queue that callers submit jobs to; the configuration names its service."""
Life = NewType("Life", int)
"""One life of a worker's process; a process that starts anew has another one."""
Run = NewType("Run", int)
"""Number of a task's start, from 1 and rising; members of a gang share it."""


class StepKey(NamedTuple):
    """One step of one occurrence of a job."""

    job: JobId
    occurrence: int
    step: int


class TaskKey(NamedTuple):
    """One task of a step."""

    job: JobId
    occurrence: int
    step: int
    number: int
    """The task's place in its step, from 0."""

    def get_step(self) -> StepKey:
        """Return the step that the task belongs to."""
        return StepKey(self.job, self.occurrence, self.step)


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a caller asks for in one step of a job."""

    count: int
    room: Resources = Resources()
    """What each task holds while it runs."""
    estimate_ms: int = 0
    """The caller's rough estimate of a task's run time."""
    after: tuple[int, ...] = ()
    """Earlier steps, counted from 0, whose tasks must all be done first."""
    saves_progress: bool = False
    gang: bool = False
    """The tasks work only while all of them run."""
    one_rack: bool = False
    """A gang that is spread over racks takes longer."""
    label: str = ""
    """A label that the worker must have; empty for none."""
    data_rack: RackId = RackId("")
    """The rack where the data is; tasks run longer elsewhere. Empty for none."""
    most_per_worker: int = 0
    """At most this many tasks of the step on one worker; 0 for no bound."""
    speculative: bool = False
    """Copies of a task may run side by side."""
    lasting: bool = False
    """The tasks run until the job is cancelled and are started again however they end."""
    image: str = ""
    """Tasks with the same image behave alike."""
    tail_target_ms: int = 0
    """Bound on a serving task's response times; 0 for none."""
    fills: bool = False
    """The tasks take processor time that others leave; it is not counted."""
    most_unavailable: int = -1
    """So many tasks may be away at once because of a stop of ours; -1 if not stated."""

    @property
    def counted_room(self) -> Resources:
        """What a task counts against its worker's room."""
        if not self.fills:
            return self.room
        return Resources(0, self.room.memory_mib, self.room.accelerators)


class JobRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as it was accepted. Stored before its acceptance is acknowledged."""

    job: JobId
    queue: QueueId
    text: str
    """What the worker is told to run; handed on unchanged."""
    steps: tuple[StepSpec, ...]
    accepted_at: WallTime = WallTime(0)
    repeats: int = 0
    """How often the steps run; 0 for once, at once."""
    first_due: WallTime = WallTime(0)
    every_ms: int = 0


class JobState(Enum):
    """Where a job stands, as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """How long the advice service takes, and how long its permissions hold."""

    call_ms: float
    worker_ms: float
    """Added for each worker that a call names."""
    valid_ms: int

    def estimate_call_ms(self, workers: int) -> float:
        """Return how long a call that names so many workers takes."""
        return self.call_ms + self.worker_ms * workers


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """A queue as the configuration in force has it."""

    queue: QueueId
    host: str
    path_prefix: str
    service: ServiceId
    priority: int
    """0 comes first."""
    max_attempts: int
    slack_factor: float
    """The objective is this many times the job's longest chain of work, plus `target_ms`."""
    target_ms: int
    timeout_ms: int
    advice: AdvicePolicy | None = None


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """A service as the configuration in force has it."""

    service: ServiceId
    checks_room: bool = False
    """Its workers refuse what does not fit."""
    standby: bool = False


@dataclass(frozen=True, slots=True)
class PoolConfiguration:
    """One version of the configuration, decoded once."""

    version: ConfigVersion
    queues: dict[QueueId, QueuePolicy] = field(default_factory=dict)
    services: dict[ServiceId, ServicePolicy] = field(default_factory=dict)


class WorkerCondition(Enum):
    """What a worker says of itself."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedWorker:
    """A worker as it is registered with the platform."""

    worker: WorkerId
    life: Life
    service: ServiceId
    address: Address
    zone: ZoneId
    rack: RackId
    labels: frozenset[str]
    capacity: Resources
    condition: WorkerCondition
    leaves_in_ms: int | None = None
    """The shortest time that a leaving worker still runs, if it says so."""
    sequence: int = 0
    """Rises with each report of the same life."""


class RunEnd(Enum):
    """How a run ended, as its worker reports it."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunningRun(NamedTuple):
    """A run that a worker lists as running."""

    task: TaskKey
    run: Run
    checkpoint: str
    percent: int
    load: int = 0
    """Of a serving task the tail of its response times in ms; of others the millicores in use."""


class EndedRun(NamedTuple):
    """A run that a worker lists as ended; `number` rises by one with each end of its life."""

    number: int
    task: TaskKey
    run: Run
    end: RunEnd
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """What a worker answers to a renewal of its leases."""

    clock: WorkerTime
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    life: Life | None = None


class StartAnswer(Enum):
    """A worker's answer to a start. All but the first two mean that nothing was started."""

    STARTED = "started"
    OUTDATED = "outdated"
    """This run, or a later one, has ended there or was stopped."""
    LATE = "late"
    NO_ROOM = "no-room"
    NO_PERMISSION = "no-permission"
    MALFORMED = "malformed"
    UNHEALTHY = "unhealthy"
    OTHER_LIFE = "other-life"


class Permission(NamedTuple):
    """The advice service's word that a step may run on a worker."""

    worker: WorkerId
    ticket: str


class RunRecord(msgspec.Struct, frozen=True, array_like=True):
    """A run's end, as it is stored. Never changed once written."""

    run: Run
    end: RunEnd


class FinalRecord(msgspec.Struct, frozen=True, array_like=True):
    """A job's final state, as it is stored. Never changed once written."""

    state: JobState
    at: WallTime


def get_wait_objective(policy: QueuePolicy, chain_ms: float) -> float:
    """Return the time, in ms from its submission, in which a job should complete."""
    return policy.slack_factor * chain_ms + policy.target_ms
