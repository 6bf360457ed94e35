"""The mutable state of a pool's leader. Only the modules of this package change it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from lentilpath_core.ids import Epoch, Instant, JobId, WallTime, WorkerId
from lentilpath_core.pool._model import (
    FinalRecord,
    JobRecord,
    Life,
    ListedWorker,
    PoolConfiguration,
    QueuePolicy,
    Run,
    StepKey,
    StepSpec,
    TaskKey,
)
from lentilpath_core.resources import Resources

RUNS_PER_EPOCH = 100
"""Run numbers that a leader leaves to its predecessor for tasks whose starts it cannot know."""


class Phase(Enum):
    """Where a run on a worker stands."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True)
class Attempt:
    """A run that holds room on a worker."""

    task: TaskKey
    run: Run
    worker: Worker
    step: Step | None
    """`None` for a run that is not wanted any more or is not known."""
    room: Resources
    phase: Phase
    begun_at: Instant
    answered_at: Instant | None = None
    percent: int = 0
    percent_at: Instant = Instant(0)
    """When the progress was last seen to change."""
    stop_sent_at: Instant = Instant(0)
    load: int = 0
    pace: int = 100
    """Share in percent at which a filling run may work."""
    pace_changed_at: Instant = Instant(0)


@dataclass(slots=True)
class Worker:
    """One life of a worker."""

    listed: ListedWorker
    free: Resources
    attempts: dict[tuple[TaskKey, Run], Attempt] = field(default_factory=dict)
    is_listed: bool = True
    is_recorded: bool = False
    """Whether it is durable that the pool uses this life."""
    reported_at: Instant | None = None
    """When the last answered renewal was sent; `None` before the first."""
    lease_ends_at: Instant = Instant(0)
    """Until when runs on it may go on without a further command."""
    taken_number: int = 0
    """The highest end that was taken in."""
    failed_jobs: set[JobId] = field(default_factory=set)
    """Jobs whose tasks failed here since a task was last done here."""
    closed_until: Instant = Instant(0)
    """No starts before this time, because of failures."""
    is_slow: bool = False
    leaves_at: Instant | None = None
    """The earliest time at which a leaving worker ends."""

    @property
    def worker(self) -> WorkerId:
        """The worker's id."""
        return self.listed.worker

    @property
    def life(self) -> Life:
        """Which life of the worker this is."""
        return self.listed.life


@dataclass(frozen=True, slots=True)
class Ticket:
    """A permission to start a step's tasks on one worker."""

    value: str
    valid_until: Instant


@dataclass(slots=True)
class Plan:
    """Room that a step holds while its permissions are renewed."""

    places: dict[int, Worker]
    expires_at: Instant


@dataclass(slots=True)
class Step:
    """One step of one occurrence."""

    key: StepKey
    spec: StepSpec
    job: Job
    tail_ms: float
    """Estimated time from this step's start to the job's end."""
    waiting: list[int] = field(default_factory=list)
    done: set[int] = field(default_factory=set)
    recording: set[int] = field(default_factory=set)
    """Tasks whose `done` is not durable yet."""
    attempts: dict[int, Attempt] = field(default_factory=dict)
    next_run: dict[int, int] = field(default_factory=dict)
    checkpoints: dict[int, str] = field(default_factory=dict)
    failed_runs: dict[int, set[Run]] = field(default_factory=dict)
    """Runs whose failure is durable; a gang counts under index 0."""
    failing: set[int] = field(default_factory=set)
    """Tasks whose failure is being recorded; they start again after that."""
    avoided: dict[int, set[WorkerId]] = field(default_factory=dict)
    tickets: dict[WorkerId, Ticket] | None = None
    """Workers that the step may run on; `None` before the first answer."""
    asked: set[WorkerId] = field(default_factory=set)
    ask_due_at: Instant = Instant(0)
    """No further question before this time."""
    plan: Plan | None = None
    is_open: bool = False
    is_breaking: bool = False
    """A member of the gang's run has ended and the others are stopped."""
    started_ever: bool = False

    def is_done(self) -> bool:
        """Return whether all tasks are durably done."""
        return len(self.done) >= self.spec.count


@dataclass(slots=True)
class Job:
    """An accepted job that has no final state yet, or whose runs still have to end."""

    record: JobRecord
    policy: QueuePolicy | None
    accepted_at: Instant
    objective_ms: float
    is_recovered: bool = False
    steps: dict[StepKey, Step] = field(default_factory=dict)
    occurrences: int = 0
    """How many occurrences have begun."""
    has_started: bool = False
    final: FinalRecord | None = None
    """The final state that was decided; shown only once it is durable."""


@dataclass(slots=True)
class PoolState:
    """All that a pool's leader knows."""

    epoch: Epoch
    settle_by: Instant
    """When leases that an earlier leader granted have lapsed at the latest."""
    configuration: PoolConfiguration = field(default_factory=lambda: PoolConfiguration(0))  # type: ignore[arg-type]
    jobs: dict[JobId, Job] = field(default_factory=dict)
    finals: dict[JobId, FinalRecord] = field(default_factory=dict)
    cancelled: set[JobId] = field(default_factory=set)
    """Cancellations that came before their jobs."""
    workers: dict[WorkerId, Worker] = field(default_factory=dict)
    unsettled: set[WorkerId] = field(default_factory=set)
    """Workers that may run tasks of an earlier leader and have not reported yet."""
    open_steps: dict[StepKey, Step] = field(default_factory=dict)
    """Steps with tasks that wait."""
    reserved: dict[WorkerId, StepKey] = field(default_factory=dict)
    """Workers on which room gathers for a gang."""
    wall_now: WallTime = WallTime(0)
    job_memory_ms: int = 120_000
    """How long the state of a finished job is kept."""
    needs_placing: bool = False
    recorded_workers: frozenset[tuple[WorkerId, Life]] = frozenset()
    """Lives of workers that are durably known, or being written."""
    run_ratio: dict[str, float] = field(default_factory=dict)
    """Learned run time over estimate, by queue."""


def create_pool(epoch: Epoch, settle_by: Instant) -> PoolState:
    """Return the state of a leader that knows nothing yet."""
    return PoolState(epoch, settle_by)
