"""The tasks of a worker as a state machine without I/O; the caller passes in the time.

A worker starts each task it is given, also beyond its capacity, and records what it ran. Tasks end
and leases expire while the worker's process is paused, as on a real host: when the process
resumes, all ends that were due are applied in order, each with its own time.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from lentilpath_core.resources import NO_RESOURCES, Resources
from lentilpath_standins._commands import Start, Sync

RUNNING = "running"


@dataclass(slots=True)
class TaskAttempt:
    """One attempt on this worker, running or ended. Times are readings of its clock in ms."""

    command: Start
    started_at: int
    ends_at: int | None
    """`None` if it runs until it is stopped."""
    outcome: str
    """Its outcome at `ends_at`."""
    lease_ends_at: int
    changed_sequence: int
    """The worker's sequence number when the attempt last changed."""
    state: str = RUNNING
    ended_at: int = 0
    usage_millicores: int = 0


@dataclass(frozen=True, slots=True)
class Fact:
    """A recorded start or end of an attempt. `at` is a reading of the worker's clock in ms."""

    event: str
    """`started` or `ended`."""
    task: str
    attempt: int
    at: int
    resources: Resources
    outcome: str | None = None


@dataclass(slots=True)
class WorkerTasks:
    """The running attempts of a worker and the ended ones not yet deleted."""

    capacity: Resources
    sequence: int = 1
    attempts: dict[tuple[str, int], TaskAttempt] = field(default_factory=dict)
    facts: list[Fact] = field(default_factory=list)
    used: Resources = NO_RESOURCES
    max_used: Resources = NO_RESOURCES
    overcommitted: bool = False

    def advance(self, now: int) -> None:
        """Apply all task ends and lease expiries that are due by `now`, oldest first."""
        while True:
            due = [
                (at, key, outcome)
                for key, task in self.attempts.items()
                if task.state == RUNNING
                for at, outcome in (_get_next_end(task),)
                if at <= now
            ]
            if not due:
                return
            at, key, outcome = min(due)
            self._end(self.attempts[key], at, outcome)

    def get_next_end_time(self) -> int | None:
        """Return when the next attempt ends or its lease expires, or `None`."""
        ends = (_get_next_end(t)[0] for t in self.attempts.values() if t.state == RUNNING)
        return min(ends, default=None)

    def start(self, command: Start, now: int, *, fail_immediately: bool) -> bool:
        """Start an attempt, once; a repeated command has no effect.

        Returns `False` if `now` is after the command's `not_after`, else `True`.
        """
        self.advance(now)
        key = (command.task, command.attempt)
        if key in self.attempts:
            return True
        if command.not_after < now:
            return False
        parameters = command.parameters
        run_ms = int(parameters.get("actual_run_ms", command.run_ms))
        task = TaskAttempt(
            command,
            started_at=now,
            ends_at=now + run_ms if run_ms > 0 else None,
            outcome=parameters.get("actual_outcome", "succeeded"),
            lease_ends_at=now + command.lease_ms,
            changed_sequence=self._increment_sequence(),
            usage_millicores=int(parameters.get("actual_millicores", command.resources.millicores)),
        )
        self.attempts[key] = task
        self.used += command.resources
        self.max_used = _max_resources(self.max_used, self.used)
        self.overcommitted = self.overcommitted or not self.used.fits_in(self.capacity)
        self._record_fact("started", task, now)
        if fail_immediately:
            self._end(task, now, "failed")
        return True

    def renew(self, command: Sync, now: int) -> None:
        """Delete the ended attempts that `command` names, then renew all leases.

        Leases stay as they are if `now` is after the command's `not_after` or `renew_ms` is not
        positive.
        """
        self.advance(now)
        for ended_attempt in command.forget:
            attempt = self.attempts.get((ended_attempt.task, ended_attempt.attempt))
            if attempt is not None and attempt.state != RUNNING:
                del self.attempts[(ended_attempt.task, ended_attempt.attempt)]
        if command.renew_ms <= 0 or command.not_after < now:
            return
        for task in self.attempts.values():
            task.lease_ends_at = max(task.lease_ends_at, now + command.renew_ms)

    def end_early(self, task_id: str, attempt: int, outcome: str, at: int) -> bool:
        """Make an attempt end with `outcome` at `at` at the latest; returns whether it exists."""
        task = self.attempts.get((task_id, attempt))
        if task is None:
            return False
        if task.ends_at is None or at < task.ends_at:
            task.ends_at = at
            task.outcome = outcome
        return True

    def list_changed(self, since: int) -> tuple[bool, list[TaskAttempt]]:
        """Return the attempts that changed after sequence number `since`.

        The first value says whether the list holds all attempts, which it does if `since` is 0
        or ahead of this worker's sequence, as after a restart.
        """
        if since <= 0 or since > self.sequence:
            return True, list(self.attempts.values())
        return False, [task for task in self.attempts.values() if task.changed_sequence > since]

    def _end(self, task: TaskAttempt, at: int, outcome: str) -> None:
        task.state = outcome
        task.ended_at = at
        task.changed_sequence = self._increment_sequence()
        self.used -= task.command.resources
        self._record_fact("ended", task, at, outcome)

    def _record_fact(
        self, event: str, task: TaskAttempt, at: int, outcome: str | None = None
    ) -> None:
        command = task.command
        fact = Fact(event, command.task, command.attempt, at, command.resources, outcome)
        self.facts.append(fact)

    def _increment_sequence(self) -> int:
        self.sequence += 1
        return self.sequence


def _get_next_end(task: TaskAttempt) -> tuple[int, str]:
    if task.ends_at is not None and task.ends_at <= task.lease_ends_at:
        return task.ends_at, task.outcome
    return task.lease_ends_at, "lease_expired"


def _max_resources(one: Resources, other: Resources) -> Resources:
    return Resources(
        max(one.millicores, other.millicores),
        max(one.memory_mib, other.memory_mib),
        max(one.accelerators, other.accelerators),
    )
