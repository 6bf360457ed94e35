"""What operators submit: jobs of three kinds, each with a policy for its placement."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lentilpath_core.errors import InvalidJob
from lentilpath_core.ids import CustomerId, JobId, RegionId, TaskId, TeamId, ZoneId, make_task_id
from lentilpath_core.resources import Resources

MAX_TASKS_PER_JOB = 10_000
MAX_NAME_LENGTH = 120


class WorkloadKind(Enum):
    """How the tasks of a job live together."""

    SERVICE = "service"
    """Long-lived replicas; an ended one is started again."""
    BATCH = "batch"
    """Tasks that run once each, in any order."""
    GANG = "gang"
    """All tasks start together or none holds room."""


class PriorityClass(Enum):
    """Which work goes first when not all of it fits."""

    URGENT = "urgent"
    NORMAL = "normal"
    BACKGROUND = "background"


class Strategy(Enum):
    """Whether tasks fill few workers or are laid over many."""

    PACK = "pack"
    SPREAD = "spread"


@dataclass(frozen=True, slots=True)
class Policy:
    """How and when the work of one job is placed."""

    priority: PriorityClass = PriorityClass.NORMAL
    deadline_ms: int | None = None
    """The job must have ended this long after its acceptance; `None` for no deadline."""
    regions: tuple[RegionId, ...] = ()
    """Regions that may run the job; empty for all."""
    zones: tuple[ZoneId, ...] = ()
    """Availability zones that may run the job; empty for all."""
    strategy: Strategy = Strategy.PACK
    idempotent: bool = False
    """Whether a task of unknown outcome may run again."""
    retry_limit: int = 3
    """How often a failed task is started again."""
    checkpointable: bool = False
    """Whether a task may be checkpointed and stopped to make room for urgent work."""
    stoppable: bool = False
    """Whether a task may be stopped, and run again from its start, to make room for other work."""
    min_replicas: int = 0
    """A planned stop never leaves a service with fewer running tasks."""
    input_written_at_ms: int | None = None
    """When the job's input was written, in milliseconds since 1970-01-01 UTC."""
    input_max_age_ms: int | None = None
    """A start with an input older than this is refused; `None` for no bound."""


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
    """What each task holds while it runs."""
    run_ms: int = 1_000
    """Declared run time of each task in milliseconds; services ignore it."""
    policy: Policy = Policy()
    workload: str = ""
    """Name under which usage of like jobs is learned; empty for the job's own id."""
    parameters: tuple[tuple[str, str], ...] = ()
    """Passed to the worker unchanged with every start."""

    def list_tasks(self) -> tuple[TaskId, ...]:
        """Return the ids of all tasks, in order."""
        return tuple(make_task_id(self.job, index) for index in range(self.tasks))


def check_job(spec: JobSpec) -> None:
    """Raise `InvalidJob` if `spec` is malformed, whatever the cell it is meant for."""
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
