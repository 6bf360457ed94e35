"""Checks of records that come from outside, before a leader's decisions work with them."""

from __future__ import annotations

from lentilpath_core.errors import InvalidInput, InvalidJob
from lentilpath_core.pool._model import AcceptedPolicy, JobRecord, ListedWorker, StepSpec
from lentilpath_core.resources import Resources

MAX_INTEGER = 2**53 - 1
"""JSON carries integers exactly up to this. Sums of them fit in the 64 bits of a stored record."""
MAX_JOB_TASKS = 100_000
"""Tasks of a job over all its occurrences. The leader keeps a number for each waiting task; the
largest jobs of the deployments have some hundreds."""
MAX_JOB_STEPS = 10_000
"""Steps of a job over all its occurrences, of about 1 KB in the leader's memory each."""

MAX_NAME_CHARACTERS = 256
"""A worker's name is sent in a header; the deployments' names have under 40 characters."""
MAX_SHOWN_DIGITS = 20
"""A number that an error names may have thousands of digits and exceed the range of floats."""
MAX_PORT = 65_535
"""Ports of TCP have 16 bits."""


def check_job(record: JobRecord) -> None:
    """Raise `InvalidJob` if a job is malformed or too large for a leader's memory."""
    if not record.steps:
        raise InvalidJob("the job has no steps; give it at least one")
    _check_numbers(
        "the job",
        repeats=record.repeats,
        first_due=record.first_due,
        every_ms=record.every_ms,
        accepted_at=record.accepted_at,
    )
    check_step_count(len(record.steps), record.repeats)
    for number, step in enumerate(record.steps):
        _check_step(number, step)
    if record.policy is not None:
        _check_policy(record.policy)
    tasks = max(1, record.repeats) * sum(step.count for step in record.steps)
    if tasks > MAX_JOB_TASKS:
        raise InvalidJob(
            f"the job has over {MAX_JOB_TASKS} tasks with its repetitions; split it into jobs of "
            "fewer tasks"
        )


def check_step_count(count: int, repeats: int) -> None:
    """Raise `InvalidJob` if a job of `count` steps is too large for a leader's memory."""
    if max(1, repeats) * count > MAX_JOB_STEPS:
        raise InvalidJob(
            f"the job has over {MAX_JOB_STEPS} steps with its repetitions; split it into jobs of "
            "fewer steps"
        )


def check_worker(listed: ListedWorker) -> None:
    """Raise `InvalidInput` if a worker has numbers or an address that nothing can work with."""
    name = f"worker {listed.worker[:MAX_NAME_CHARACTERS]!r}"
    if not listed.worker.isascii() or len(listed.worker) > MAX_NAME_CHARACTERS:
        raise InvalidInput(f"{name}: use at most {MAX_NAME_CHARACTERS} ASCII characters")
    if len(listed.machine) > MAX_NAME_CHARACTERS:
        raise InvalidInput(f"{name}: its machine needs at most {MAX_NAME_CHARACTERS} characters")
    if not listed.address.host or not 1 <= listed.address.port <= MAX_PORT:
        raise InvalidInput(f"{name}: its address needs a host and a port from 1 to {MAX_PORT}")
    if not is_non_negative(listed.capacity):
        raise InvalidInput(
            f"{name}: its capacity {listed.capacity} is negative or over {MAX_INTEGER}"
        )
    if not 0 <= listed.life <= MAX_INTEGER:
        raise InvalidInput(f"{name}: its process started at {listed.life}; use ms since 1970")


def is_non_negative(room: Resources) -> bool:
    """Return whether each amount is an integer from 0 to `MAX_INTEGER`."""
    amounts = (room.millicores, room.memory_mib, room.accelerators)
    return all(0 <= amount <= MAX_INTEGER for amount in amounts)


def _check_step(number: int, step: StepSpec) -> None:
    name = f"step {number}"
    if step.count < 1:
        raise InvalidJob(f"{name} has {step.count} tasks; give it at least one")
    if any(not 0 <= each < number for each in step.after):
        raise InvalidJob(f"{name} comes after a step that is not before it; reorder the steps")
    if not is_non_negative(step.room):
        raise InvalidJob(f"{name}: {step.room} is negative or too large; use 0 to {MAX_INTEGER}")
    _check_numbers(
        name,
        count=step.count,
        estimate_ms=step.estimate_ms,
        most_per_worker=step.most_per_worker,
        tail_target_ms=step.tail_target_ms,
        most_unavailable=step.most_unavailable + 1,
    )


def _check_policy(policy: AcceptedPolicy) -> None:
    _check_numbers(
        "the queue's policy",
        priority=abs(policy.priority),
        max_attempts=policy.max_attempts,
        slack_factor=policy.slack_factor,
        target_ms=policy.target_ms,
    )
    if policy.advice is not None:
        _check_numbers(
            "the queue's advice",
            call_ms=policy.advice.call_ms,
            worker_ms=policy.advice.worker_ms,
            valid_ms=policy.advice.valid_ms,
        )


def _check_numbers(name: str, **numbers: float) -> None:
    for field, number in numbers.items():
        if not 0 <= number <= MAX_INTEGER:
            shown = str(number)[:MAX_SHOWN_DIGITS]
            raise InvalidJob(f"{name}: {field} is {shown}; use 0 to {MAX_INTEGER}")
