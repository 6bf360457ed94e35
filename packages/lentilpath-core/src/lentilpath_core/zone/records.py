"""Records of a zone's jobs, their tasks and attempts, and its workers."""

from __future__ import annotations

from dataclasses import dataclass, field

from lentilpath_core.ids import HostId, TaskId, WallTime, WorkerId
from lentilpath_core.resources import Resources
from lentilpath_core.states import AttemptOutcome, TaskState
from lentilpath_core.workloads import JobSpec


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """One attempt to run a task."""

    attempt: int
    worker: WorkerId
    decided_at: WallTime
    reason: str
    outcome: AttemptOutcome | None = None
    """`None` while it may run."""
    started_at: WallTime = WallTime(0)
    """When the worker started it; 0 if that is not known."""
    ended_at: WallTime = WallTime(0)
    millicore_ms: int = 0
    peak_memory_mib: int = 0
    room: Resources | None = None
    """Resources allocated to it, if more than its job declares."""


@dataclass(slots=True)
class TaskRecord:
    """A task and all its attempts."""

    task: TaskId
    state: TaskState = TaskState.WAITING
    attempts: list[AttemptRecord] = field(default_factory=list)
    """The latest attempts, oldest first."""
    attempts_made: int = 0
    """Number of the latest attempt."""
    failures: int = 0

    def find_attempt(self, attempt: int, worker: WorkerId) -> int | None:
        """Return the index in `attempts` of this attempt on this worker, or `None`."""
        for index, record in enumerate(self.attempts):
            if record.attempt == attempt and record.worker == worker:
                return index
        return None

    def get_open_attempt(self) -> AttemptRecord | None:
        """Return the attempt that may run now, or `None`."""
        if self.attempts and self.attempts[-1].outcome is None:
            return self.attempts[-1]
        return None


@dataclass(slots=True)
class JobRecord:
    """A job and its tasks."""

    spec: JobSpec
    accepted_at: WallTime
    accepted_by: HostId
    tasks: dict[TaskId, TaskRecord]
    open_tasks: int
    """Tasks that have not ended."""
    cancelled_by: str | None = None
    cancelled_at: WallTime = WallTime(0)
    refused_because: str | None = None
    ended_at: WallTime = WallTime(0)


@dataclass(slots=True)
class WorkerRecord:
    """A worker that the zone may have given tasks to."""

    worker: WorkerId
    boot: str
    """The worker's boot id, as in `WorkerReport.boot`, that the record refers to."""
