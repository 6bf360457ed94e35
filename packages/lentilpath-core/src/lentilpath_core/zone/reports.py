"""What workers answer to the leader of their zone."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lentilpath_core.ids import TaskId, WallTime, WorkerTime
from lentilpath_core.resources import Resources


class WorkerTaskState(Enum):
    """How a worker reports a task."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    LEASE_EXPIRED = "lease_expired"


@dataclass(frozen=True, slots=True)
class WorkerTask:
    """One attempt as its worker reports it. Ended ones are reported until forgotten."""

    task: TaskId
    attempt: int
    state: WorkerTaskState
    resources: Resources
    started_at: WallTime
    ended_at: WallTime
    """0 while it runs."""
    millicore_ms: int
    peak_memory_mib: int


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's answer to a sync."""

    boot: str
    """Changes whenever the worker starts anew and has forgotten its tasks."""
    clock: WorkerTime
    """The worker's own clock when it wrote the report."""
    sequence: int
    """Pass it as `since` in the next sync."""
    complete: bool
    """Whether `tasks` holds every task, or only those changed after `since`."""
    tasks: tuple[WorkerTask, ...]


class StartAnswer(Enum):
    """What is known of a start command."""

    STARTED = "started"
    """It runs, or this very attempt ran already."""
    REFUSED = "refused"
    """It did not start, and this command will not start it."""
    UNREACHED = "unreached"
    """The command surely did not reach the worker, so it did not start."""
    UNCLEAR = "unclear"
    """It may have started, or may still start until the command's deadline."""
