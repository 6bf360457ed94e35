"""Jobs that operators submit: three kinds of workload, each job with a placement policy."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lentilpath_core.errors import InvalidJob
from lentilpath_core.ids import CustomerId, JobId, RegionId, TaskId, TeamId, ZoneId, make_task_id
from lentilpath_core.resources import Resources

MAX_TASKS_PER_JOB = 10_000
MAX_NAME_LENGTH = 120


class WorkloadKind(Enum):
    """How the tasks of a job run in relation to each other."""

    SERVICE = "service"
    """Long-running replicas; a replica that ends is restarted."""
    BATCH = "batch"
    """Tasks that run once each, in any order."""
    GANG = "gang"
    """All tasks start together; until they can, none of them holds resources."""


class PriorityClass(Enum):
    """Which tasks are placed first when not all of them fit."""

    URGENT = "urgent"
    NORMAL = "normal"
    BACKGROUND = "background"


class Strategy(Enum):
    """Whether tasks are packed onto few workers or spread over many."""

    PACK = "pack"
    SPREAD = "spread"


@dataclass(frozen=True, slots=True)
class Policy:
    """How and when the tasks of one job are placed."""

    priority: PriorityClass = PriorityClass.NORMAL
    deadline_ms: int | None = None
    """Time from the job's acceptance by which it must have ended; `None` for no deadline."""
    regions: tuple[RegionId, ...] = ()
    """Regions that may run the job; empty for all."""
    zones: tuple[ZoneId, ...] = ()
    """Availability zones that may run the job; empty for all."""
    strategy: Strategy = Strategy.PACK
    idempotent: bool = False
    """Whether a task whose outcome is unknown may run again."""
    retry_limit: int = 3
    """How many times a failed task is restarted."""
    checkpointable: bool = False
    """Whether a task may be preempted by urgent work after it was checkpointed."""
    stoppable: bool = False
    """Whether a task may be preempted by other work and rerun from its beginning."""
    min_replicas: int = 0
    """Planned stops always leave at least this many tasks of a service running."""
    input_written_at_ms: int | None = None
    """When the job's input was written, in milliseconds since 1970-01-01 UTC."""
    input_max_age_ms: int | None = None
    """A start is refused if the input is older than this; `None` for no limit."""


@dataclass(frozen=True, slots=True)
class JobSpec:
    """One job as its operator submitted it."""

    job: JobId
    team: TeamId
    customer: CustomerId
    kind: WorkloadKind
    tasks: int
    """Number of tasks, or of replicas for a service."""
    resources: Resources
    """Resources that each task holds while it runs."""
    run_ms: int = 1_000
    """Declared run time of each task in milliseconds; ignored for services."""
    policy: Policy = Policy()
    workload: str = ""
    """Name under which the usage of similar jobs is learned; empty for the job's own id."""
    parameters: tuple[tuple[str, str], ...] = ()
    """Passed to the worker unchanged with every start."""

    def list_tasks(self) -> tuple[TaskId, ...]:
        """Return the ids of all tasks, in order."""
        return tuple(make_task_id(self.job, index) for index in range(self.tasks))


def check_job(spec: JobSpec) -> None:
    """Raise `InvalidJob` if `spec` is malformed. Checks only what holds for every cell."""
    _check_name("job", spec.job)
    _check_name("team", spec.team)
    _check_name("customer", spec.customer)
    if not 1 <= spec.tasks <= MAX_TASKS_PER_JOB:
        raise InvalidJob(
            f"job {spec.job}: tasks is {spec.tasks}; give a number from 1 to {MAX_TASKS_PER_JOB}"
        )
    if spec.resources.millicores <= 0 or spec.resources.memory_mib <= 0:
        raise InvalidJob(
            f"job {spec.job}: resources {spec.resources} must hold some processor and memory"
        )
    if spec.resources.accelerators < 0:
        raise InvalidJob(f"job {spec.job}: accelerators is negative; give 0 or more")
    if spec.run_ms <= 0:
        raise InvalidJob(f"job {spec.job}: run_ms is {spec.run_ms}; give milliseconds above 0")
    if not 0 <= spec.policy.min_replicas <= spec.tasks:
        raise InvalidJob(
            f"job {spec.job}: min_replicas is {spec.policy.min_replicas}; "
            f"give 0 to the number of tasks, {spec.tasks}"
        )
    if spec.policy.deadline_ms is not None and spec.policy.deadline_ms <= 0:
        raise InvalidJob(
            f"job {spec.job}: deadline_ms is {spec.policy.deadline_ms}; give milliseconds above 0"
        )
    if spec.policy.input_max_age_ms is not None and spec.policy.input_written_at_ms is None:
        raise InvalidJob(
            f"job {spec.job}: input_max_age_ms is given without input_written_at_ms; "
            "give the time at which the input was written"
        )
    if spec.policy.retry_limit < 0:
        raise InvalidJob(f"job {spec.job}: retry_limit is negative; give 0 or more")


def _check_name(what: str, name: str) -> None:
    usable = 0 < len(name) <= MAX_NAME_LENGTH and all(c.isalnum() or c in "-_.:" for c in name)
    if not usable:
        raise InvalidJob(
            f"{what} is {name!r}; give 1 to {MAX_NAME_LENGTH} letters, digits or any of '-_.:'"
        )
