"""Records of workers, jobs, teams and workloads in the placement state of a zone."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import IntEnum

from lentilpath_core.ids import Instant, JobId, RackId, TaskId, TeamId, WallTime, WorkerId
from lentilpath_core.placement._messages import Decision, StopTask, WaitRule
from lentilpath_core.resources import NO_RESOURCES, Resources
from lentilpath_core.states import WorkerState
from lentilpath_core.workloads import JobSpec, PriorityClass

MAX_SAMPLES = 32
"""Recent runs of a workload from which its run time and size are estimated."""


UsageRatio = tuple[float, float]
"""Measured peak usage divided by declared size, for processors and memory; each at least 1."""
ReservationOrder = tuple[bool, int]
"""Reservations after preemption or for urgent work sort first, then older before newer."""


class Tier(IntEnum):
    """Scheduling tiers, most urgent first: the priority classes, and normal work that has aged."""

    URGENT = 0
    AGED_NORMAL = 1
    """Normal jobs with a deadline, after half of the time from acceptance to their due time."""
    NORMAL = 2
    BACKGROUND = 3


ShapeKey = tuple[int, int, int, int, int]
"""Millicores and MiB rounded down, accelerators, tasks to start at once, bits of the run time."""


@dataclass(slots=True, eq=False)
class Allocation:
    """Resources of a worker that are allocated to one attempt."""

    task: TaskId
    attempt: int
    worker: WorkerId
    job: Job
    resources: Resources
    started_at: Instant
    estimated_end: Instant | None
    """`None` for a service."""
    reason: str
    decision_call: int = 0
    """Number of the decision call that started the attempt; the same call does not preempt it."""
    seen_running: bool = False
    stopping: bool = False
    throttled: bool = False
    peak: Resources = NO_RESOURCES


@dataclass(slots=True, eq=False)
class Reservation:
    """Resources reserved for tasks of one job.

    Until `starts_at`, tasks that are expected to end by then may use them (backfill), unless
    `follows_preemption` is set.
    """

    job: Job
    order: ReservationOrder
    tasks_per_worker: dict[WorkerId, int]
    """Number of tasks with reserved resources on each worker."""
    task_resources: Resources
    """Resources of one task."""
    starts_at: Instant
    """When the resources are expected to be free."""
    planned_at: Instant
    follows_preemption: bool = False
    """Whether a preemption plan made it, even one without victims; it then allows no backfill."""
    exclusive: bool = True
    """Whether its tasks start only in this reservation, not on other workers."""


@dataclass(slots=True, eq=False)
class Worker:
    """A worker with its allocations, reservations and failure counts."""

    worker: WorkerId
    ordinal: int
    rack: RackId
    capacity: Resources
    state: WorkerState
    free: Resources
    unreserved: Resources
    """Free resources that are not reserved; negative if reservations exceed them."""
    allocations: dict[TaskId, Allocation] = field(default_factory=dict)
    reservations: list[Reservation] = field(default_factory=list)
    releasing: Resources = NO_RESOURCES
    """Resources of tasks that are being stopped."""
    preemptible: dict[PriorityClass, Resources] = field(default_factory=dict)
    """Resources of tasks that policy lets lentilpath preempt, by priority class."""
    index_key: tuple[int, int] | None = None
    failed_workloads: dict[str, int] = field(default_factory=dict)
    """Failures of each workload since the last success on this worker."""
    quarantined_until: Instant | None = None
    quarantine_count: int = 0
    probe_due: bool = False
    probe_task: TaskId | None = None
    """The task whose outcome decides whether the quarantine ends."""


@dataclass(slots=True, eq=False)
class Workload:
    """Usage estimates and failure counts shared by all jobs of one workload name."""

    name: str
    run_times: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    usage_ratios: deque[UsageRatio] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    longest_run_ms: int = 0
    max_usage_ratio: UsageRatio = (1.0, 1.0)
    """Largest ratio of measured peak usage to declared size; 1 if no task exceeded its size."""
    succeeded: bool = False
    failed_workers: set[WorkerId] = field(default_factory=set)
    """Workers on which it failed since its last success on any worker."""
    held_until: Instant | None = None
    hold_count: int = 0
    trial_job: JobId | None = None
    """While held back: the job that may start one task."""
    probe_task: TaskId | None = None
    """While held back: the task that was started as a trial."""
    held_jobs: dict[JobId, Job] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Team:
    """A team with its guaranteed and allocated resources."""

    team: TeamId
    guaranteed: Resources = NO_RESOURCES
    allocated: Resources = NO_RESOURCES
    weighted_share: float = 0.0
    """Weighted dominant share of the zone, computed from `share_inputs`."""
    share_inputs: tuple[Resources, Resources, Resources] | None = None


@dataclass(slots=True, eq=False)
class Shape:
    """A class of similar resource requests, by which waiting jobs are grouped.

    When a task finds no room, all groups of the shape are blocked until resources are freed.
    """

    key: ShapeKey
    blocked: bool = False
    group_count: int = 0
    candidates: dict[WorkerId, Worker] | None = None
    """Workers that freed resources since the shape was blocked; `None` to consider all workers."""


@dataclass(slots=True, eq=False)
class Group:
    """Waiting jobs of one team, tier and shape, in order of their due times."""

    team: Team
    tier: Tier
    shape: Shape
    jobs: list[tuple[WallTime, int, Job]] = field(default_factory=list)
    """Heap of due time, sequence number and job; may hold outdated entries."""
    quota_blocked: bool = False
    removed: bool = False


@dataclass(slots=True, eq=False)
class Job:
    """A job with its waiting and running tasks in this zone."""

    spec: JobSpec
    sequence: int
    accepted_at: WallTime
    due: WallTime
    team: Team
    workload: Workload
    waiting: dict[TaskId, int] = field(default_factory=dict)
    """Tasks that are ready to start, each with the number of its next attempt."""
    delayed: dict[TaskId, tuple[Instant, int]] = field(default_factory=dict)
    """Delayed tasks: the earliest start of each, and the number of that attempt."""
    avoided_workers: dict[TaskId, set[WorkerId]] = field(default_factory=dict)
    """Workers on which the task failed."""
    failures: dict[TaskId, int] = field(default_factory=dict)
    """Consecutive failures of each task."""
    exempt_from_retry_budget: set[TaskId] = field(default_factory=set)
    """Tasks whose last attempt was stopped or never started; the next uses no retry budget."""
    allocations: dict[TaskId, Allocation] = field(default_factory=dict)
    running_count: int = 0
    """Number of placed tasks that were reported as running and are not being stopped."""
    tasks_per_worker: dict[WorkerId, int] = field(default_factory=dict)
    tasks_per_rack: dict[RackId, int] = field(default_factory=dict)
    group: Group | None = None
    aging_scheduled: bool = False
    """Whether the time at which the job moves up a tier was scheduled."""
    aged: bool = False
    """Whether the job has waited long enough to move to the tier above its priority class."""
    reservations: list[Reservation] = field(default_factory=list)
    blocked_since: Instant | None = None
    size_limit: Resources | None = None
    """Upper bound on the estimated size, set if the estimate exceeds every worker.

    It is the largest worker capacity that the declared size fits in.
    """
    wait_rule: WaitRule = WaitRule.NO_ROOM
    refusal_reason: str = ""
    withdrawn: bool = False
    refused: bool = False


@dataclass(slots=True)
class PlacementState:
    """Workers, jobs, allocations and reservations of one zone."""

    workers: dict[WorkerId, Worker] = field(default_factory=dict)
    jobs: dict[JobId, Job] = field(default_factory=dict)
    teams: dict[TeamId, Team] = field(default_factory=dict)
    workloads: dict[str, Workload] = field(default_factory=dict)
    allocations: dict[TaskId, Allocation] = field(default_factory=dict)
    detached_allocations: dict[WorkerId, dict[TaskId, Allocation]] = field(default_factory=dict)
    """Allocations on workers that have not joined yet, or were removed."""
    shapes: dict[ShapeKey, Shape] = field(default_factory=dict)
    unblocked_shapes: dict[ShapeKey, Shape] = field(default_factory=dict)
    """Shapes that a scheduling pass tries."""
    groups: dict[Tier, dict[TeamId, dict[ShapeKey, Group]]] = field(
        default_factory=lambda: {tier: {} for tier in Tier}
    )
    quota_blocked: list[Group] = field(default_factory=list)
    review_queue: deque[Group] = field(default_factory=deque)
    """All groups in rotation; the first is reviewed next."""
    capacities: Counter[Resources] = field(default_factory=Counter)
    """Number of workers of each capacity."""
    plain_index: list[tuple[int, int]] = field(default_factory=list)
    """Unreserved free millicores and ordinal of each worker without accelerators, sorted."""
    accelerated_index: list[tuple[int, int]] = field(default_factory=list)
    workers_by_ordinal: list[WorkerId] = field(default_factory=list)
    free_ordinals: list[int] = field(default_factory=list)
    """Ordinals of removed workers, reused for new ones."""
    reservations: dict[ReservationOrder, Reservation] = field(default_factory=dict)
    reservations_to_check: dict[ReservationOrder, Reservation] = field(default_factory=dict)
    """New reservations, and those whose workers freed resources or changed since the last check."""
    delay_expiries: list[tuple[Instant, TaskId]] = field(default_factory=list)
    """Heap of delayed tasks by the end of their delay."""
    hold_expiries: list[tuple[Instant, str]] = field(default_factory=list)
    """Heap of held workloads by the end of their hold."""
    quarantine_expiries: list[tuple[Instant, WorkerId]] = field(default_factory=list)
    """Heap of quarantined workers by the end of their quarantine."""
    draining: dict[WorkerId, None] = field(default_factory=dict)
    pending_decisions: list[Decision] = field(default_factory=list)
    """Decisions from events and admission checks, returned by the current or next decision call."""
    waiting: Resources = NO_RESOURCES
    """Total declared size of all waiting tasks, without delayed ones."""
    urgent_retried_at: Instant = Instant(0)
    preemption_cursor: int = 0
    """Ordinal of the worker at which the next search for preemption candidates begins."""
    has_new_preemptible: bool = False
    """Whether preemptible allocations changed since blocked urgent work was last retried."""
    urgent_waiting: Resources = NO_RESOURCES
    urgent_allocated: Resources = NO_RESOURCES
    urgent_peak: Resources = NO_RESOURCES
    """Peak demand of urgent work in the current window."""
    previous_urgent_peak: Resources = NO_RESOURCES
    urgent_window_started_at: Instant = Instant(0)
    non_preemptible: Resources = NO_RESOURCES
    """Resources of non-urgent tasks that policy does not let lentilpath preempt."""
    aging_times: list[tuple[Instant, JobId]] = field(default_factory=list)
    """Heap of jobs by the time at which they move up a tier."""
    stop_resends: list[tuple[Instant, int, StopTask]] = field(default_factory=list)
    """Heap of stop commands by the time at which they are sent again."""
    awaiting_wall_time: dict[JobId, Job] = field(default_factory=dict)
    """Jobs that wait for a known wall time, because their policy bounds the age of their input."""
    total: Resources = NO_RESOURCES
    allocated: Resources = NO_RESOURCES
    unused_guarantees: Resources = NO_RESOURCES
    last_sequence_number: int = 0
    decision_calls: int = 0
    """Number of calls of `decide_placements`."""
    wall_offset_ms: int = 0
    """Wall time minus the clock of `Instant`, as of the last decision call; 0 if unknown."""
    next_retry_at: float = 0.0
    """Earliest start of the next retry that the zone's retry budget allows."""
    workers_to_probe: dict[WorkerId, Worker] = field(default_factory=dict)
    """Quarantined workers that may run one probe task."""
    idle_jobs: dict[JobId, None] = field(default_factory=dict)
    """Jobs without a waiting or running task, oldest first."""
