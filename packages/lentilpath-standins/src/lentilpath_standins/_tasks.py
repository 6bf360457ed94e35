"""What a worker does with its tasks, as a state that moves only when it is told the time.

A worker starts what it is given, whether it fits or not, and notes what truly ran. Its tasks and
the end of their leases are the host's business and go on while the worker's process is paused:
when it runs again, everything that fell due meanwhile happens at its own time, in order.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from lentilpath_core.resources import NO_RESOURCES, Resources
from lentilpath_standins._commands import Start, Sync

RUNNING = "running"


@dataclass(slots=True)
class RunningTask:
    """One attempt on this worker."""

    command: Start
    started_at: int
    ends_at: int | None
    """`None`: it runs until it is stopped."""
    outcome: str
    """How it ends at `ends_at`."""
    lease_until: int
    changed: int
    """The worker's sequence number at its last change."""
    state: str = RUNNING
    ended_at: int = 0
    usage_millicores: int = 0


@dataclass(frozen=True, slots=True)
class Fact:
    """Something that truly happened on the worker. Times are readings of its own clock."""

    event: str
    """`started` or `ended`."""
    task: str
    attempt: int
    at: int
    resources: Resources
    outcome: str | None = None


@dataclass(slots=True)
class WorkerTasks:
    """All attempts that a worker knows, running and ended."""

    capacity: Resources
    sequence: int = 1
    attempts: dict[tuple[str, int], RunningTask] = field(default_factory=dict)
    facts: list[Fact] = field(default_factory=list)
    used: Resources = NO_RESOURCES
    max_used: Resources = NO_RESOURCES
    overcommitted: bool = False

    def advance(self, now: int) -> None:
        """Let everything happen that has fallen due by `now`, in the order of its time."""
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

    def get_next_due(self) -> int | None:
        """Return the time of the next thing that happens by itself."""
        ends = (_get_next_end(t)[0] for t in self.attempts.values() if t.state == RUNNING)
        return min(ends, default=None)

    def start(self, command: Start, now: int, *, fails_at_once: bool) -> bool:
        """Start an attempt; returns whether it runs or ran already."""
        self.advance(now)
        key = (command.task, command.attempt)
        if key in self.attempts:
            return True
        if command.not_after < now:
            return False
        parameters = command.parameters
        run_ms = int(parameters.get("actual_run_ms", command.run_ms))
        task = RunningTask(
            command,
            started_at=now,
            ends_at=now + run_ms if run_ms > 0 else None,
            outcome=parameters.get("actual_outcome", "succeeded"),
            lease_until=now + command.lease_ms,
            changed=self._raise_sequence(),
            usage_millicores=int(parameters.get("actual_millicores", command.resources.millicores)),
        )
        self.attempts[key] = task
        self.used += command.resources
        self.max_used = _get_maximum(self.max_used, self.used)
        self.overcommitted = self.overcommitted or not self.used.fits_in(self.capacity)
        self._note("started", task, now)
        if fails_at_once:
            self._end(task, now, "failed")
        return True

    def renew(self, command: Sync, now: int) -> None:
        """Renew the leases of all running tasks and forget the ended attempts that are named."""
        self.advance(now)
        for named in command.forget:
            known = self.attempts.get((named.task, named.attempt))
            if known is not None and known.state != RUNNING:
                del self.attempts[(named.task, named.attempt)]
        if command.renew_ms <= 0 or command.not_after < now:
            return
        for task in self.attempts.values():
            task.lease_until = max(task.lease_until, now + command.renew_ms)

    def end_early(self, task_id: str, attempt: int, outcome: str, at: int) -> bool:
        """Let a running attempt end with `outcome` by `at`; returns whether it is known."""
        task = self.attempts.get((task_id, attempt))
        if task is None:
            return False
        if task.ends_at is None or at < task.ends_at:
            task.ends_at = at
            task.outcome = outcome
        return True

    def list_changed(self, since: int) -> tuple[bool, list[RunningTask]]:
        """Return whether the list is complete, and the attempts that changed after `since`."""
        if since <= 0 or since > self.sequence:
            return True, list(self.attempts.values())
        return False, [task for task in self.attempts.values() if task.changed > since]

    def _end(self, task: RunningTask, at: int, outcome: str) -> None:
        task.state = outcome
        task.ended_at = at
        task.changed = self._raise_sequence()
        self.used -= task.command.resources
        self._note("ended", task, at, outcome)

    def _note(self, event: str, task: RunningTask, at: int, outcome: str | None = None) -> None:
        command = task.command
        fact = Fact(event, command.task, command.attempt, at, command.resources, outcome)
        self.facts.append(fact)

    def _raise_sequence(self) -> int:
        self.sequence += 1
        return self.sequence


def _get_next_end(task: RunningTask) -> tuple[int, str]:
    if task.ends_at is not None and task.ends_at <= task.lease_until:
        return task.ends_at, task.outcome
    return task.lease_until, "lease_expired"


def _get_maximum(one: Resources, other: Resources) -> Resources:
    return Resources(
        max(one.millicores, other.millicores),
        max(one.memory_mib, other.memory_mib),
        max(one.accelerators, other.accelerators),
    )
