"""What the placement of a zone remembers about workers, jobs, teams and workloads."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import IntEnum

from lentilpath_core.ids import Instant, JobId, RackId, TaskId, TeamId, WallTime, WorkerId
from lentilpath_core.placement._messages import Decision, StopTask, WaitRule
from lentilpath_core.resources import NO_RESOURCES, Resources
from lentilpath_core.states import WorkerState
from lentilpath_core.workloads import JobSpec, PriorityClass

KEPT_SAMPLES = 32
"""Finished runs by which a workload's run time and size are learned."""


Excess = tuple[float, float]
"""Seen use over declared size, of processors and of memory; at least 1."""
ReservationOrder = tuple[bool, int]
"""Room that was made, or is for urgent work, before other room; then by age."""


class Tier(IntEnum):
    """The order of priority classes, and of what has waited long in them."""

    URGENT = 0
    PRESSING = 1
    """Normal work that has waited for half of the time that its deadline leaves."""
    NORMAL = 2
    BACKGROUND = 3


ShapeKey = tuple[int, int, int, int, int]
"""Rounded processors, memory and accelerators, tasks that must fit at once, rounded run time."""


@dataclass(slots=True, eq=False)
class HeldRoom:
    """One attempt that holds room on a worker."""

    task: TaskId
    attempt: int
    worker: WorkerId
    job: Job
    room: Resources
    started_at: Instant
    expected_end: Instant | None
    """`None` for a service."""
    reason: str
    decided_in: int = 0
    """The call for decisions that started it; it is not stopped by the same call."""
    seen_running: bool = False
    stopping: bool = False
    throttled: bool = False
    peak: Resources = NO_RESOURCES


@dataclass(slots=True, eq=False)
class Reservation:
    """Room promised to tasks of one job. Tasks that end in time may use it until then."""

    job: Job
    order: ReservationOrder
    claims: dict[WorkerId, int]
    """Number of tasks promised room on each worker."""
    room: Resources
    """Room of one task."""
    starts_at: Instant
    """When the room is expected to be free."""
    planned_at: Instant
    makes_room: bool = False
    """Whether running tasks were stopped for it."""
    exclusive: bool = True
    """Whether its tasks start in this room only."""


@dataclass(slots=True, eq=False)
class Worker:
    """A worker, what it holds and the evidence against it."""

    worker: WorkerId
    ordinal: int
    rack: RackId
    capacity: Resources
    state: WorkerState
    free: Resources
    open: Resources
    """Free room that is not reserved."""
    tasks: dict[TaskId, HeldRoom] = field(default_factory=dict)
    claims: list[Reservation] = field(default_factory=list)
    leaving: Resources = NO_RESOURCES
    """Room of tasks that are being stopped."""
    preemptible: dict[PriorityClass, Resources] = field(default_factory=dict)
    """Room of tasks that policy lets lentilpath stop, by their class."""
    indexed: tuple[int, int] | None = None
    failed_workloads: dict[str, int] = field(default_factory=dict)
    """Failures by workload since the last success here."""
    quarantined_until: Instant | None = None
    quarantines: int = 0
    probe_due: bool = False
    probe: TaskId | None = None
    """The one task that runs here to find out whether the worker is well again."""


@dataclass(slots=True, eq=False)
class Workload:
    """What is learned about jobs of one name."""

    name: str
    run_times: deque[int] = field(default_factory=lambda: deque(maxlen=KEPT_SAMPLES))
    excesses: deque[Excess] = field(default_factory=lambda: deque(maxlen=KEPT_SAMPLES))
    longest_run_ms: int = 0
    largest_excess: Excess = (1.0, 1.0)
    """By how much its tasks exceeded their declared size at most; 1 if they kept to it."""
    succeeded: bool = False
    failed_workers: set[WorkerId] = field(default_factory=set)
    """Workers on which it failed since its last success anywhere."""
    held_until: Instant | None = None
    holds: int = 0
    trial: JobId | None = None
    """While held back: the job that may start one task."""
    probe: TaskId | None = None
    """While held back: the task that was started as a trial."""
    held_jobs: dict[JobId, Job] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Team:
    """A team's guaranteed room and what it holds."""

    team: TeamId
    guaranteed: Resources = NO_RESOURCES
    used: Resources = NO_RESOURCES
    share: float = 0.0
    """Weighted share of the zone, as of the amounts in `share_of`."""
    share_of: tuple[Resources, Resources, Resources] | None = None


@dataclass(slots=True, eq=False)
class Shape:
    """A size of need. When one of its tasks finds no room, none of its groups is tried again."""

    key: ShapeKey
    blocked: bool = False
    groups: int = 0
    candidates: dict[WorkerId, Worker] | None = None
    """Workers with new room since the shape found none; `None` if all are to be looked at."""


@dataclass(slots=True, eq=False)
class Group:
    """Waiting jobs of one team, tier and shape, in order of their due times."""

    team: Team
    tier: Tier
    shape: Shape
    jobs: list[tuple[WallTime, int, Job]] = field(default_factory=list)
    """A heap."""
    quota_blocked: bool = False
    forgotten: bool = False


@dataclass(slots=True, eq=False)
class Job:
    """A job with tasks that wait or run here."""

    spec: JobSpec
    sequence: int
    accepted_at: WallTime
    due: WallTime
    team: Team
    workload: Workload
    waiting: dict[TaskId, int] = field(default_factory=dict)
    """Tasks that may start now, each with the number of its next attempt."""
    delayed: dict[TaskId, tuple[Instant, int]] = field(default_factory=dict)
    """Tasks in backoff: when they may start, and the number of that attempt."""
    avoided: dict[TaskId, set[WorkerId]] = field(default_factory=dict)
    """Workers on which the task failed."""
    failures: dict[TaskId, int] = field(default_factory=dict)
    """Failures in a row."""
    blameless: set[TaskId] = field(default_factory=set)
    """Tasks whose last attempt ended through no fault of their own; they start again at once."""
    placed: dict[TaskId, HeldRoom] = field(default_factory=dict)
    seen_running: int = 0
    """Placed tasks that were reported as running and are not being stopped."""
    on_worker: dict[WorkerId, int] = field(default_factory=dict)
    on_rack: dict[RackId, int] = field(default_factory=dict)
    group: Group | None = None
    ages: bool = False
    """Whether it was noted when the job moves up."""
    aged: bool = False
    """Whether the job has waited so long that it belongs to the tier above its class."""
    reservations: list[Reservation] = field(default_factory=list)
    blocked_since: Instant | None = None
    rule: WaitRule = WaitRule.NO_ROOM
    refusal: str = ""
    withdrawn: bool = False
    refused: bool = False


@dataclass(slots=True)
class PlacementState:
    """Workers, waiting tasks and held room of one zone."""

    workers: dict[WorkerId, Worker] = field(default_factory=dict)
    jobs: dict[JobId, Job] = field(default_factory=dict)
    teams: dict[TeamId, Team] = field(default_factory=dict)
    workloads: dict[str, Workload] = field(default_factory=dict)
    placed: dict[TaskId, HeldRoom] = field(default_factory=dict)
    held_elsewhere: dict[WorkerId, dict[TaskId, HeldRoom]] = field(default_factory=dict)
    """Attempts on workers that were not offered yet, or were removed."""
    shapes: dict[ShapeKey, Shape] = field(default_factory=dict)
    open_shapes: dict[ShapeKey, Shape] = field(default_factory=dict)
    """Shapes that may find room."""
    groups: dict[Tier, dict[TeamId, dict[ShapeKey, Group]]] = field(
        default_factory=lambda: {tier: {} for tier in Tier}
    )
    quota_blocked: list[Group] = field(default_factory=list)
    reviews: deque[Group] = field(default_factory=deque)
    """All groups, the one to be reviewed next first."""
    capacities: Counter[Resources] = field(default_factory=Counter)
    """Number of workers of each capacity."""
    plain_index: list[tuple[int, int]] = field(default_factory=list)
    """Open processors and ordinal of workers without accelerators, sorted."""
    accelerated_index: list[tuple[int, int]] = field(default_factory=list)
    ordinals: list[WorkerId] = field(default_factory=list)
    free_ordinals: list[int] = field(default_factory=list)
    """Places in `ordinals` of removed workers, to be used again."""
    reservations: dict[ReservationOrder, Reservation] = field(default_factory=dict)
    touched: dict[ReservationOrder, Reservation] = field(default_factory=dict)
    """Reservations whose workers changed since they were last tried."""
    backoffs: list[tuple[Instant, TaskId]] = field(default_factory=list)
    """A heap of tasks in backoff."""
    holds: list[tuple[Instant, str]] = field(default_factory=list)
    """A heap of workloads that are held back."""
    quarantines: list[tuple[Instant, WorkerId]] = field(default_factory=list)
    """A heap of workers in quarantine."""
    draining: dict[WorkerId, None] = field(default_factory=dict)
    pending: list[Decision] = field(default_factory=list)
    """Decisions that events gave rise to."""
    waiting: Resources = NO_RESOURCES
    """What all waiting tasks declared together; those in backoff are not counted."""
    urgent_retried_at: Instant = Instant(0)
    room_search_at: int = 0
    """Ordinal of the worker at which the next search for room to make begins."""
    room_to_make: bool = False
    """Whether a task started that could be stopped for urgent work that found no room before."""
    urgent_waiting: Resources = NO_RESOURCES
    urgent_held: Resources = NO_RESOURCES
    urgent_peak: Resources = NO_RESOURCES
    """The most that urgent work needed at one time in this window."""
    urgent_peak_before: Resources = NO_RESOURCES
    urgent_window_at: Instant = Instant(0)
    firm: Resources = NO_RESOURCES
    """Room of tasks, other than urgent ones, that policy does not let lentilpath stop."""
    aging: list[tuple[Instant, JobId]] = field(default_factory=list)
    """A heap of jobs and when they move to the tier above their class."""
    stops: list[tuple[Instant, int, StopTask]] = field(default_factory=list)
    """A heap of stops and when to ask for them again."""
    undated: dict[JobId, Job] = field(default_factory=dict)
    """Jobs with a bound on the age of their input that were tried without a wall time."""
    total: Resources = NO_RESOURCES
    used: Resources = NO_RESOURCES
    unused_guarantees: Resources = NO_RESOURCES
    next_number: int = 0
    decision_calls: int = 0
    """How often decisions were asked for."""
    wall_ahead_ms: int = 0
    """Wall time less the leader's own clock, as of the last decision; 0 if unknown."""
    last_joined_at: Instant = Instant(0)
    """When a worker was offered for the first time."""
    next_retry_at: float = 0.0
    """When the next retry may start, by the zone's retry budget."""
    probing_workers: dict[WorkerId, Worker] = field(default_factory=dict)
    """Quarantined workers that may be given one task."""
    idle_jobs: dict[JobId, None] = field(default_factory=dict)
    """Jobs without a waiting or running task, oldest first."""
