"""States that more than one module speaks of."""

from enum import Enum


class TaskState(Enum):
    """Where a task stands."""

    WAITING = "waiting"
    """Accepted and not placed."""
    STARTING = "starting"
    """Placed on a worker; the start may or may not have happened."""
    RUNNING = "running"
    """Reported as running by its worker."""
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    """Ended by a failure, with no retry left."""
    STOPPED = "stopped"
    """Ended because an operator stopped or cancelled it."""
    REFUSED = "refused"
    """It can never run; the reason is kept with its job."""
    UNKNOWN = "unknown"
    """Its worker was lost and its policy does not allow another run."""


ENDED_TASK_STATES = frozenset(
    {TaskState.SUCCEEDED, TaskState.FAILED, TaskState.STOPPED, TaskState.REFUSED, TaskState.UNKNOWN}
)


class AttemptOutcome(Enum):
    """How one attempt to run a task ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    """Stopped on command."""
    NOT_STARTED = "not_started"
    """The worker provably never started it."""
    LEASE_EXPIRED = "lease_expired"
    """The worker stopped it because its lease ran out."""
    LOST = "lost"
    """The worker vanished; whether the task finished cannot be known."""


class WorkerState(Enum):
    """Whether a worker is given work."""

    ACTIVE = "active"
    DRAINING = "draining"
    """Runs what it has and is given nothing new."""
    SILENT = "silent"
    """Has not answered lately; its leases may still run."""
    LOST = "lost"
    """Its last possible lease has run out; recorded in the journal."""
