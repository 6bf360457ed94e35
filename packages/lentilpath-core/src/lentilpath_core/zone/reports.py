"""Reports and answers of workers to the leader of their zone."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lentilpath_core.ids import TaskId, WallTime, WorkerTime
from lentilpath_core.resources import Resources


class WorkerTaskState(Enum):
    """State of an attempt as its worker reports it."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    LEASE_EXPIRED = "lease_expired"


@dataclass(frozen=True, slots=True)
class WorkerTask:
    """One attempt as its worker reports it.

    An ended attempt is reported until the leader lets the worker discard it.
    """

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
    """Changes whenever the worker restarts and has lost its tasks."""
    clock: WorkerTime
    """The worker's own clock when it wrote the report."""
    sequence: int
    """Pass it as `since` in the next sync."""
    complete: bool
    """Whether `tasks` holds every task, or only those changed after `since`."""
    tasks: tuple[WorkerTask, ...]


class StartAnswer(Enum):
    """What is known about the outcome of a start command."""

    STARTED = "started"
    """The attempt runs or has already run."""
    REFUSED = "refused"
    """The attempt did not start, and this command will not start it."""
    UNREACHED = "unreached"
    """The command certainly did not reach the worker, so the attempt did not start."""
    UNCLEAR = "unclear"
    """The attempt may have started, or may still start until the command's deadline."""
