"""Immutable records of jobs, queues and workers that a pool's leader works with."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple, NewType

import msgspec

from lentilpath_core.ids import (
    ConfigVersion,
    CustomerId,
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
"""Id of a queue that callers submit jobs to; the configuration assigns it to a service."""
MachineId = NewType("MachineId", str)
"""Id of the machine on which a worker's process runs, one at a time; empty if it is not known."""
Life = NewType("Life", int)
"""Incarnation of a worker's process; rises each time the process restarts, also if its machine has
a worker of another id since. Falls if the machine's clock was set back meanwhile."""
RunNumber = NewType("RunNumber", int)
"""Number of a run of a task; rises with each start, from 1. The members of a gang share it."""


class StepKey(NamedTuple):
    """Identifies one step of one occurrence of a job."""

    job: JobId
    occurrence: int
    step: int


class TaskKey(NamedTuple):
    """Identifies one task of a step."""

    job: JobId
    occurrence: int
    step: int
    number: int
    """The task's index in its step, from 0."""

    def get_step(self) -> StepKey:
        """Return the key of the step that the task belongs to."""
        return StepKey(self.job, self.occurrence, self.step)


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """One step of a job as its caller requested it: a number of like tasks and how to run them."""

    count: int
    room: Resources = Resources()
    """Resources that each task holds while it runs."""
    estimate_ms: int = 0
    """The caller's rough estimate of a task's run time; 0 if not given."""
    after: tuple[int, ...] = ()
    """Indexes, from 0, of the earlier steps whose tasks must all be done first."""
    saves_progress: bool = False
    gang: bool = False
    """The tasks make progress only while all of them run (gang scheduling)."""
    one_rack: bool = False
    """Prefer a single rack: the gang takes longer if it is spread over several."""
    label: str = ""
    """Label that a worker must have to run the tasks; empty for none."""
    data_rack: RackId = RackId("")
    """Rack that holds the input data; tasks take longer on other racks. Empty for none."""
    most_per_worker: int = 0
    """Largest number of tasks of the step on one worker; 0 for no limit."""
    speculative: bool = False
    """Several copies of a task may run at the same time."""
    lasting: bool = False
    """The tasks run until the job is cancelled, and are restarted however they end."""
    image: str = ""
    """Tasks with the same image behave alike."""
    tail_target_ms: int = 0
    """Target for the tail latency of a serving task's responses; 0 for tasks without a target."""
    fills: bool = False
    """The tasks are filling (best-effort) tasks. They use processor time that other tasks leave
    idle, so their processors are not counted against a worker's capacity."""
    most_unavailable: int = -1
    """Largest number of tasks that may be unavailable at once because the leader stopped them; -1
    if not given."""

    @property
    def counted_room(self) -> Resources:
        """Resources that a task takes from its worker's capacity."""
        if not self.fills:
            return self.room
        return Resources(0, self.room.memory_mib, self.room.accelerators)


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """Expected duration of calls to the advice service, and validity of its permissions."""

    call_ms: float
    worker_ms: float
    """Added to `call_ms` for each worker that a call names."""
    valid_ms: int

    def estimate_call_ms(self, workers: int) -> float:
        """Return the expected duration in ms of a call that names this many workers."""
        return self.call_ms + self.worker_ms * workers


class AcceptedPolicy(msgspec.Struct, frozen=True, array_like=True):
    """What a job needs of its queue's policy, as it was when the job was accepted.

    Stored with the job, so that a leader that never saw the queue can still run it.
    """

    service: ServiceId
    priority: int
    max_attempts: int
    slack_factor: float
    target_ms: int
    advice: AdvicePolicy | None = None


class JobRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as it was accepted. Stored before its acceptance is acknowledged."""

    job: JobId
    queue: QueueId
    text: str
    """What the worker is to run; passed to the worker unchanged."""
    steps: tuple[StepSpec, ...]
    accepted_at: WallTime = WallTime(0)
    repeats: int = 0
    """How many times the steps run; 0 to run them once, without delay."""
    first_due: WallTime = WallTime(0)
    every_ms: int = 0
    customer: CustomerId = CustomerId("")
    """Customer whose key the submission carried; empty without one."""
    policy: AcceptedPolicy | None = None
    """Policy of the queue at that time; `None` for a job that an earlier release has stored."""


class JobState(Enum):
    """State of a job, as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """Settings of a queue in the current configuration."""

    queue: QueueId
    host: str
    path_prefix: str
    service: ServiceId
    priority: int
    """0 is the most urgent."""
    max_attempts: int
    slack_factor: float
    """A job's completion objective is this factor times its critical path, plus `target_ms`."""
    target_ms: int
    timeout_ms: int
    advice: AdvicePolicy | None = None
    is_public: bool = False
    """Whether calls to the queue need no key."""


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """Settings of a service in the current configuration."""

    service: ServiceId
    standby: bool = False


@dataclass(frozen=True, slots=True)
class CustomerPolicy:
    """Settings of a customer in the current configuration."""

    customer: CustomerId
    weight: float = 1.0
    """The customer's share of a full fleet, relative to the other weights, and the number of jobs
    per second that it may submit before its further jobs wait behind those of others."""
    quota: Resources = Resources()
    """Most that the customer's running tasks may hold on all workers; 0 for no limit."""


@dataclass(frozen=True, slots=True)
class PoolConfiguration:
    """One version of the configuration, decoded once."""

    version: ConfigVersion
    queues: dict[QueueId, QueuePolicy] = field(default_factory=dict)
    services: dict[ServiceId, ServicePolicy] = field(default_factory=dict)
    customers: dict[CustomerId, CustomerPolicy] = field(default_factory=dict)
    customers_by_key: dict[str, CustomerId] = field(default_factory=dict, repr=False)
    """Keys are secrets, so they are left out of the representation."""
    requires_keys: bool = False
    """Whether calls need a customer's key, unless their queue is public. False for a deployment
    whose configuration does not mention customers."""
    former_customers: dict[CustomerId, CustomerPolicy] = field(default_factory=dict)
    """Last policies of customers that this version lacks, as far as the host has seen them."""


class WorkerCondition(Enum):
    """Condition that a worker reports of itself."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedWorker:
    """One entry of the platform's list of registered workers."""

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
    """Shortest time that a leaving worker still runs; `None` if it announced none."""
    sequence: int = 0
    """Rises with each report of the same incarnation."""
    machine: MachineId = MachineId("")


class RunEnd(Enum):
    """How a run ended, as its worker reports it or as the leader has found out."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    CRASHED = "crashed"
    """The worker's process has ended with the run; never reported, since that worker is gone."""
    SUSPECTED = "suspected"
    """The run is over, and its worker may have crashed under it or may be cut off; never reported.
    Stored so that a later leader decides by what becomes of the worker."""


class RunningRun(NamedTuple):
    """A run that a worker lists as running."""

    task: TaskKey
    run: RunNumber
    checkpoint: str
    percent: int
    load: int = 0
    """For a serving task its tail latency in ms; for other tasks the millicores in use."""


class EndedRun(NamedTuple):
    """A run that a worker lists as ended.

    `number` rises by one with each run that ends in the same incarnation of the worker.
    """

    number: int
    task: TaskKey
    run: RunNumber
    end: RunEnd
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's answer to a lease renewal."""

    clock: WorkerTime
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    life: Life | None = None
    is_complete: bool = True
    """Whether `ended` lists all ends that were not acknowledged. If not, a run that is missing from
    the report may have ended, and its end is listed once those before it are acknowledged."""


class StartAnswer(Enum):
    """The answer to a start command. All but the first two mean that nothing was started."""

    STARTED = "started"
    OUTDATED = "outdated"
    """This run, or a later run of the task, has already ended or been stopped on the worker."""
    LATE = "late"
    NO_ROOM = "no-room"
    NO_PERMISSION = "no-permission"
    MALFORMED = "malformed"
    UNHEALTHY = "unhealthy"
    OTHER_LIFE = "other-life"
    NOT_SENT = "not-sent"
    """The leader's own answer: the command was withdrawn before it was sent."""


class Permission(NamedTuple):
    """The advice service's permission to run a step on a worker."""

    worker: WorkerId
    ticket: str


class WorkerProcess(msgspec.Struct, frozen=True, array_like=True):
    """A process (incarnation) of a worker."""

    worker: WorkerId
    life: Life
    machine: MachineId = MachineId("")


class RunRecord(msgspec.Struct, frozen=True, array_like=True):
    """Stored record of a run's end. Never changed once written."""

    run: RunNumber
    end: RunEnd
    process: WorkerProcess | None = None
    """For a crash, the process that is known to be over; for a suspicion, the one that may be.
    `None` in a crash that an earlier release has stored, which also took a process for crashed that
    was cut off. The last field, so that earlier releases can read the record."""


class FinalRecord(msgspec.Struct, frozen=True, array_like=True):
    """Stored record of a job's final state. Never changed once written."""

    state: JobState
    at: WallTime
    customer: CustomerId = CustomerId("")
    """Customer of the job. The last field, so that earlier releases can read the record."""


def get_completion_objective_ms(policy: QueuePolicy, critical_path_ms: float) -> float:
    """Return the completion objective of a job, in ms from its submission."""
    return policy.slack_factor * critical_path_ms + policy.target_ms
