"""Usage lines of the attempts of one task, in exact integers."""

from __future__ import annotations

from dataclasses import dataclass

from lentilpath_core.ids import CustomerId, TaskId, WallTime, WorkerId, ZoneId
from lentilpath_core.resources import Resources
from lentilpath_core.zone.state import AttemptRecord, JobRecord, TaskRecord, ZoneState


@dataclass(frozen=True, slots=True)
class UsageLine:
    """What one attempt held, from when to when, and the decision behind it."""

    line: str
    """Id of the line: `ZONE:TASK:ATTEMPT@WORKER`."""
    customer: CustomerId
    task: TaskId
    attempt: int
    worker: WorkerId
    started_at: WallTime
    """By the worker's report; 0 if the worker never reported it."""
    ended_at: WallTime
    """End of the billed interval; the present time for an attempt that still runs."""
    resources: Resources
    decision: str
    cause: str
    """How the attempt ended, or why nothing is billed for it."""

    def get_held_ms(self) -> int:
        """Return the length of the interval in milliseconds."""
        return max(0, self.ended_at - self.started_at) if self.started_at else 0

    def get_millicore_ms(self) -> int:
        """Return the processor time held, in thousandths of a processor times milliseconds."""
        return self.resources.millicores * self.get_held_ms()

    def get_memory_mib_ms(self) -> int:
        """Return the memory held, in mebibytes times milliseconds."""
        return self.resources.memory_mib * self.get_held_ms()

    def get_accelerator_ms(self) -> int:
        """Return the accelerators held, times milliseconds."""
        return self.resources.accelerators * self.get_held_ms()


def list_usage_lines(
    state: ZoneState, customer: CustomerId, start: WallTime, end: WallTime
) -> tuple[UsageLine, ...]:
    """Return the lines of `customer` whose intervals touch `start` up to `end`."""
    lines = [
        line
        for job in state.jobs.values()
        if job.spec.customer == customer
        for task in job.tasks.values()
        for line in _list_task_lines(state.zone, job, task)
    ]
    return tuple(line for line in lines if line.started_at < end and line.ended_at >= start)


def find_usage_line(state: ZoneState, line: str) -> UsageLine | None:
    """Return the line with this id, or `None` if the zone does not know it."""
    for job in state.jobs.values():
        for task in job.tasks.values():
            if f":{task.task}:" not in line:
                continue
            for found in _list_task_lines(state.zone, job, task):
                if found.line == line:
                    return found
    return None


def make_line_id(zone: ZoneId, task: TaskId, attempt: int, worker: WorkerId) -> str:
    """Return the id of the line of one attempt."""
    return f"{zone}:{task}:{attempt}@{worker}"


def _list_task_lines(zone: ZoneId, job: JobRecord, task: TaskRecord) -> list[UsageLine]:
    return [
        _make_line(zone, job, task, attempt)
        for attempt in task.attempts
        if attempt.outcome is not None
    ]


def _make_line(zone: ZoneId, job: JobRecord, task: TaskRecord, attempt: AttemptRecord) -> UsageLine:
    assert attempt.outcome is not None
    return UsageLine(
        make_line_id(zone, task.task, attempt.attempt, attempt.worker),
        job.spec.customer,
        task.task,
        attempt.attempt,
        attempt.worker,
        attempt.started_at,
        attempt.ended_at or attempt.started_at or attempt.decided_at,
        job.spec.resources,
        attempt.reason,
        attempt.outcome.value,
    )
