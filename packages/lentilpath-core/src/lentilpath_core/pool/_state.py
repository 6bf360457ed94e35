"""Mutable state of a pool's leader. Only the modules of this package change it."""

from __future__ import annotations

from bisect import bisect_left, insort
from dataclasses import dataclass, field
from enum import Enum

from lentilpath_core.ids import CustomerId, Epoch, Instant, JobId, WallTime, WorkerId
from lentilpath_core.pool._buckets import TokenBucket
from lentilpath_core.pool._events import (
    RecordWorkers,
)
from lentilpath_core.pool._former_leader import FormerLeader, WorkerLives
from lentilpath_core.pool._model import (
    CustomerPolicy,
    FinalRecord,
    JobRecord,
    Life,
    ListedWorker,
    PoolConfiguration,
    QueuePolicy,
    RunNumber,
    StepKey,
    StepSpec,
    TaskKey,
    WorkerProcess,
)
from lentilpath_core.pool._reasons import (
    StopReason,
)
from lentilpath_core.resources import NO_RESOURCES, Resources

RUNS_PER_EPOCH = 1_000_000
"""Run numbers of a task that are set aside for each epoch. A new leader cannot know all starts of
its predecessor, so it numbers runs of recovered jobs from the range of its own epoch. A lasting
task that fails at once is started up to 14 times a second; this is for 20 h of it under one leader,
and keeps the numbers of any epoch below 2^53."""


class Phase(Enum):
    """Phase of a run on a worker."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True)
class Attempt:
    """A run that holds resources on a worker."""

    task: TaskKey
    run: RunNumber
    worker: Worker
    step: Step | None
    """`None` for a run that is unknown or no longer wanted."""
    room: Resources
    phase: Phase
    begun_at: Instant
    answered_at: Instant | None = None
    is_confirmed: bool = False
    """Whether a report of this incarnation of the worker has listed the run."""
    has_started: bool = False
    """Whether the worker has said, in an answer or a report, that it started the run."""
    has_survived: bool = False
    """Whether a report has listed the run so long after its start that it has crashed nothing."""
    is_suspicion_stored: bool = False
    """Whether the record is kept that the run may have crashed its worker, or may yet."""
    percent: int = 0
    first_percent: int = 0
    """Percent of the task that was done when this leader first saw the run."""
    progressed_at: Instant = Instant(0)
    """When a change of `percent` was last seen."""
    stop_sent_at: Instant = Instant(0)
    """When a stop was last decided, or the worker has answered one."""
    stop_reason: StopReason | None = None
    """Why the run is being stopped; `None` while it is not."""
    load: int = 0
    pace: int | None = 100
    """Percent of full speed at which a filling run may work; `None` if only an earlier leader knows
    it."""
    pace_changed_at: Instant = Instant(0)
    customer: CustomerId = CustomerId("")
    """Customer against whose quota the resources count; empty for none."""


@dataclass(slots=True)
class Worker:
    """One incarnation of a worker."""

    listed: ListedWorker
    free: Resources
    attempts: dict[tuple[TaskKey, RunNumber], Attempt] = field(default_factory=dict)
    planned_runs: int = 0
    """Number of tasks that are planned here while their tickets are renewed."""
    is_listed: bool = True
    """Whether the last list has an entry of the worker, of whichever life."""
    is_other_life_listed: bool = False
    """Whether that entry is one of another life, so that it says nothing of this one."""
    answered_life: Life | None = None
    """Another life that has answered since this one was listed: this one is over."""
    last_former_life: Life = Life(0)
    """The highest number of a former life that is over."""
    is_recorded: bool = False
    """Whether the record that the pool uses this incarnation is durable."""
    is_suspended: bool = False
    """Whether the worker is silent and gets no commands, which is to be stored."""
    awaits_record: bool = False
    """Whether the worker was suspended and the record that it is used again is not durable yet."""
    suspended_after: int | None = None
    """Number of the last record before the worker was suspended, if that one lets it be used."""
    used_from: int | None = None
    """Number of the record that lets a suspended worker be used again; `None` before."""
    are_runs_bounded: bool = False
    """Whether the runs of all earlier leaders have ended at `lease_ends_at`: one of them has stored
    that it sends no more commands."""
    reported_at: Instant | None = None
    """When the last answered renewal was sent; `None` before the first."""
    has_unlisted_ends: bool = False
    """Whether the last report was incomplete, so that a run which it leaves out may have ended."""
    capacity_seen_at: Instant = Instant(0)
    """The worker's last report to the registry was not made before this time."""
    lease_ends_at: Instant = Instant(0)
    """Latest time until which runs on the worker may continue without a further command. In the
    past while no command was sent that could have started or prolonged a run."""
    may_take_former_commands: bool = False
    """Whether commands for a former life may take effect here: not once this one has answered."""
    held_until: Instant = Instant(0)
    """Latest time until which such a command may hold the runs here; 0 if there can be none."""
    rests_until: Instant = Instant(0)
    """The worker gets no starts before this time while others have room, because it may be held."""
    last_end_number: int = 0
    """Number of the last listed end of a run that was handled."""
    failed_jobs: set[JobId] = field(default_factory=set)
    """Jobs of which a task has failed on the worker since the last task succeeded there."""
    cooldown_until: Instant = Instant(0)
    """The worker gets no starts before this time, because runs failed or froze there."""
    is_slow: bool = False
    leaves_at: Instant | None = None
    """The earliest time at which a leaving worker ends."""
    kept_for: TaskKey | None = None
    """The suspected task that is about to start here, or whose run no report has listed yet.
    Nothing else starts meanwhile."""
    suspects: list[tuple[TaskKey, RunNumber]] = field(default_factory=list)
    """Lost runs that may have crashed the worker, while it is not known whether it lives."""
    suspected_at: Instant = Instant(0)
    suspected_sequence: int = 0
    """The last known sequence of the worker's own reports when its runs became suspected."""

    @property
    def worker(self) -> WorkerId:
        """The worker's id."""
        return self.listed.worker

    @property
    def life(self) -> Life:
        """The incarnation of the worker's process."""
        return self.listed.life


@dataclass(frozen=True, slots=True)
class Ticket:
    """A permission to start a step's tasks on one incarnation of a worker."""

    value: str
    valid_until: Instant
    life: Life | None
    """`None` if the worker was not known when the permission came."""


@dataclass(slots=True)
class Plan:
    """Workers on which a step holds resources while its tickets are renewed, by task index."""

    places: dict[int, Worker]
    expires_at: Instant


@dataclass(frozen=True, slots=True)
class Reservation:
    """Resources that are held for a gang until they suffice for all its tasks."""

    step: StepKey
    starts_at: Instant
    """When the gang is expected to start."""
    spare: dict[WorkerId, Resources]
    """What is left of each reserved worker beside the gang, at that time."""


@dataclass(slots=True)
class Step:
    """State of one step of one occurrence of a job."""

    key: StepKey
    spec: StepSpec
    job: Job
    critical_path_ms: float
    """Estimated time from the start of this step to the end of the job."""
    waiting: list[int] = field(default_factory=list)
    """Tasks that wait for a start, in ascending order."""
    done: set[int] = field(default_factory=set)
    recording: set[int] = field(default_factory=set)
    """Tasks that are done but whose record is not durable yet; none of them is in `done`."""
    attempts: dict[int, Attempt] = field(default_factory=dict)
    next_run: dict[int, int] = field(default_factory=dict)
    checkpoints: dict[int, str] = field(default_factory=dict)
    failed_runs: dict[int, set[RunNumber]] = field(default_factory=dict)
    """Runs whose failure is durable, by task index; a gang uses index 0."""
    unstored_failures: dict[int, set[RunNumber]] = field(default_factory=dict)
    """Runs whose failure was reported and is not durable yet, by task index."""
    failing: set[int] = field(default_factory=set)
    """Tasks that wait until the record of their failure is durable."""
    crashed_runs: dict[int, set[RunNumber]] = field(default_factory=dict)
    """Runs that had just begun when their worker crashed, by task index; stored."""
    suspected_runs: dict[int, set[RunNumber]] = field(default_factory=dict)
    """Runs that may be added to `crashed_runs`, by task index."""
    suspected_at: dict[int, Instant] = field(default_factory=dict)
    """When the last of these became suspected, by task index."""
    frozen_runs: dict[int, int] = field(default_factory=dict)
    """Number of runs that were stopped as frozen, by task index; of a lasting task, since a run of
    it last served."""
    avoided_workers: dict[int, set[WorkerId]] = field(default_factory=dict)
    """Workers on which a task has failed, by task index."""
    tickets: dict[WorkerId, Ticket] | None = None
    """Tickets by the worker they permit; `None` before the advice service's first answer."""
    tickets_valid_until: Instant = Instant(0)
    """When the last of the tickets expires."""
    asked_workers: set[WorkerId] = field(default_factory=set)
    """Workers that the advice service has answered about."""
    asking: set[WorkerId] = field(default_factory=set)
    """Workers that calls in flight name."""
    asking_until: Instant = Instant(0)
    """Time until which the answers to these calls are awaited."""
    next_ask_at: Instant = Instant(0)
    """No advice call is made for the step before this time."""
    plan: Plan | None = None
    reservation: Reservation | None = None
    """Resources that the gang's last plan holds; `None` if the plan found too few."""
    planned_at: Instant | None = None
    """When the gang's start was last planned."""
    starting: dict[int, Attempt] = field(default_factory=dict)
    """Runs whose start had no answer yet when places were last sought, and later ones, by task
    index."""
    awaits_answers: bool = False
    """Whether tasks that fit wait only for the answers to earlier starts of the step."""
    examined_at: Instant = Instant(0)
    """When places for the step's waiting tasks were last sought."""
    is_open: bool = False

    def is_done(self) -> bool:
        """Return whether all tasks are done and their records durable."""
        return len(self.done) >= self.spec.count

    def is_waiting(self, index: int) -> bool:
        """Return whether a task waits for a start."""
        position = bisect_left(self.waiting, index)
        return position < len(self.waiting) and self.waiting[position] == index

    def add_waiting(self, index: int) -> None:
        """Add a task to the waiting ones, unless it is one of them."""
        if not self.is_waiting(index):
            insort(self.waiting, index)

    def remove_waiting(self, index: int) -> None:
        """Remove a task from the waiting ones, if it is one of them."""
        if self.is_waiting(index):
            del self.waiting[bisect_left(self.waiting, index)]


@dataclass(slots=True)
class Job:
    """An accepted job that has no final state yet, or that still has runs on workers."""

    record: JobRecord
    policy: QueuePolicy | None
    accepted_at: Instant
    objective_ms: float
    is_recovered: bool = False
    steps: dict[StepKey, Step] = field(default_factory=dict)
    occurrences: int = 0
    """Number of occurrences that have begun."""
    has_started: bool = False
    """Whether a worker has said that it started a task of the job."""
    final: FinalRecord | None = None
    """The final state that was decided; callers see it only once its record is durable."""
    is_over_share: bool = False
    """Whether the job is beyond the number of jobs per second that its customer is entitled to."""
    occurrence_bytes: int = 0
    """Memory for each occurrence that has begun, by estimate."""


@dataclass(slots=True)
class CustomerUsage:
    """What a customer holds of the fleet."""

    policy: CustomerPolicy | None = None
    """The last policy that was in force; kept when the customer is removed."""
    is_limited: bool = True
    """Whether the number of its starts has to be checked against a quota."""
    held: Resources = NO_RESOURCES
    """Resources of the customer's runs, and of its plans that wait for tickets."""
    unseen: Resources = NO_RESOURCES
    """Most that unconfirmed workers may still run of the customer's recovered jobs."""
    bucket: TokenBucket = field(default_factory=TokenBucket)
    """Which of its jobs are beyond its share."""
    weighted_share: float = 0.0
    """Its dominant share of the fleet over its weight, for `share_inputs`."""
    share_inputs: tuple[Resources, Resources, CustomerPolicy | None] | None = None


@dataclass(frozen=True, slots=True)
class MissingWorker:
    """A process of a worker that has left the registry with runs that may have crashed it."""

    process: WorkerProcess
    suspects: tuple[tuple[TaskKey, RunNumber], ...]


@dataclass(slots=True)
class PoolState:
    """The complete state of a pool's leader."""

    epoch: Epoch
    former_leases_end_at: Instant
    """Latest time at which the leases expire that an earlier leader granted before the takeover,
    and those that were extended at once after it."""
    former_leader: FormerLeader
    configuration: PoolConfiguration = field(default_factory=lambda: PoolConfiguration(0))  # type: ignore[arg-type]
    jobs: dict[JobId, Job] = field(default_factory=dict)
    finals: dict[JobId, FinalRecord] = field(default_factory=dict)
    cancelled: set[JobId] = field(default_factory=set)
    """Cancelled jobs, which may include jobs that the leader has not read yet."""
    workers: dict[WorkerId, Worker] = field(default_factory=dict)
    unconfirmed_workers: set[WorkerId] = field(default_factory=set)
    """Workers that may run tasks of an earlier leader and have not reported yet."""
    polled_since: Instant = Instant(0)
    """Since when this leader polls the workers without a pause; 0 before."""
    ticked_at: Instant = Instant(0)
    """When time was last seen to pass."""
    last_record: RecordWorkers = RecordWorkers(())
    """The last list of workers that was stored or is to be."""
    stored_suspensions: WorkerLives = frozenset()
    """Those that are suspended by the stored list."""
    fleet: Resources = NO_RESOURCES
    """Capacity of all registered workers."""
    customers: dict[CustomerId, CustomerUsage] = field(default_factory=dict)
    recovered_jobs: dict[JobId, Job] = field(default_factory=dict)
    """Jobs of customers that an earlier leader may have started, while workers are unconfirmed."""
    ended_rooms: dict[CustomerId, Resources] = field(default_factory=dict)
    """Most that may still run of jobs whose end an earlier leader has stored, while workers are
    unconfirmed."""
    unanswered_starts: dict[WorkerId, dict[tuple[TaskKey, RunNumber], Instant]] = field(
        default_factory=dict
    )
    """Start commands that got no answer, and when this was noticed: their runs may have begun, and
    have crashed their worker."""
    removed_workers: dict[WorkerId, tuple[Worker, Instant]] = field(default_factory=dict)
    """Workers that were removed after they had been sent commands, and when."""
    missing_workers: dict[WorkerId, MissingWorker] = field(default_factory=dict)
    """Workers that have left the registry, while it is not known whether their runs crashed them:
    they may only be cut off."""
    listed_at: Instant = Instant(0)
    """When the list of workers was last read."""
    list_sent_at: Instant | None = None
    """When the last list of workers was requested; `None` before the first."""
    lists_since: Instant = Instant(0)
    """When the first of the lists was requested that have come without a gap since."""
    open_steps: dict[StepKey, Step] = field(default_factory=dict)
    """Steps that have tasks waiting for a start."""
    reservations: dict[WorkerId, Reservation] = field(default_factory=dict)
    """Reservations for gangs that lack room, by worker; rebuilt in each placement pass."""
    expects_contention: bool = False
    """Whether the deployment's callers compete for too little capacity at times, by its settings.
    If so, the least work goes first once not all fits, and more gangs reserve workers."""
    lacks_room: bool = False
    """Whether the last placement pass found no room for a step that waits for nothing else."""
    is_contended: bool = False
    """The same, but only where contention is expected."""
    wall_now: WallTime = WallTime(0)
    job_memory_ms: int = 120_000
    """Retention time of the state of a finished job."""
    most_runs_per_worker: int = 240
    """Number of runs on a worker that can all be stopped in time."""
    longest_lease_ms: int = 10_400
    """Longest time for which a worker may keep its runs without any further command."""
    needs_placement: bool = False
    possible_records: list[WorkerLives] = field(default_factory=lambda: [frozenset()])
    """The recorded list of workers, and those that may have replaced it since; the newest last."""
    run_time_ratios: dict[str, float] = field(default_factory=dict)
    """Moving average of run time divided by estimate, by queue."""
    advice_hosts: int = 0
    """Number of hosts that call the advice service; 0 if calls are not limited."""
    advice_backlog_ms: dict[tuple[float, ...], float] = field(default_factory=dict)
    """Expected duration of the calls that wait for a host, by the class of their rank."""
    allowed_shares: dict[str, float] = field(default_factory=dict)
    """Moving average of the share of workers that the advice service allows, by queue."""


def create_pool(
    epoch: Epoch,
    former_leases_end_at: Instant,
    former_lease_ms: int = 0,
    former_has_ended: bool = False,
    former_bounds_leases: bool = True,
    former_identifies_processes: bool = True,
) -> PoolState:
    """Return the initial state of a leader of this epoch.

    Leases of earlier leaders last `former_lease_ms` at most. `former_has_ended` says that no
    earlier leader can act any more, `former_bounds_leases` that those which may act are of a
    release whose leases without word from the table count from the last majority, and
    `former_identifies_processes` that their commands reach no other process of a worker than the
    one that they were made for.
    """
    former_leader = FormerLeader(
        former_lease_ms,
        former_leases_end_at,
        former_has_ended,
        former_bounds_leases,
        former_identifies_processes,
    )
    return PoolState(epoch, former_leases_end_at, former_leader)
