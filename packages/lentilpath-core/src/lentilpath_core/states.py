"""States of tasks, attempts and workers that several modules use."""

from enum import Enum


class TaskState(Enum):
    """State of a task."""

    WAITING = "waiting"
    """Accepted but not placed yet."""
    STARTING = "starting"
    """Placed on a worker; it is not known yet whether it has started."""
    RUNNING = "running"
    """Reported as running by its worker."""
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    """Ended by a failure, with no retry left."""
    STOPPED = "stopped"
    """Ended because an operator stopped or cancelled it."""
    REFUSED = "refused"
    """It can never run; its job keeps the reason."""
    UNKNOWN = "unknown"
    """Its worker was lost and its policy does not allow another run."""


ENDED_TASK_STATES = frozenset(
    {TaskState.SUCCEEDED, TaskState.FAILED, TaskState.STOPPED, TaskState.REFUSED, TaskState.UNKNOWN}
)


class AttemptOutcome(Enum):
    """Outcome of one attempt to run a task."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    """Stopped on command."""
    NOT_STARTED = "not_started"
    """It is known for certain that the worker never started it."""
    LEASE_EXPIRED = "lease_expired"
    """The worker stopped it because its lease expired."""
    LOST = "lost"
    """The worker was lost; whether the task finished cannot be known."""


class WorkerState(Enum):
    """State of a worker, which decides whether it gets new tasks."""

    ACTIVE = "active"
    DRAINING = "draining"
    """Runs its current tasks but gets no new ones."""
    SILENT = "silent"
    """Has not answered recently; its leases may still be valid."""
    LOST = "lost"
    """All leases that it may hold have expired; recorded in the journal."""
