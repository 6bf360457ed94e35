"""The usage ledger of one zone: attempts read from the journal, until their lines are sealed."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatch

import msgspec

from lentilpath_core.ids import JobId, JournalSequence, TaskId, WallTime, ZoneId, get_job_of_task
from lentilpath_core.usage._intervals import get_attempt_key, merge_facts
from lentilpath_core.usage._messages import AttemptFact, JobTerms, TaskAccount
from lentilpath_core.zone.journal import AttemptEnded, AttemptStarting, JobAccepted, JournalBatch

PERIOD_MS = 600_000
"""Length of the periods in which usage is sealed, counted from 1970-01-01 UTC."""
ALLOWED_LATENESS_MS = 120_000
"""Delay from the end of a period to its sealing, so that late reports need no correction."""
REPORTED_HORIZON_MS = PERIOD_MS
"""How long after its end a sealed attempt is kept for late reports."""
UNREPORTED_HORIZON_MS = 48 * 3_600_000
"""The same for attempts that no worker reported, because a lost worker may reconnect."""


class Ledger(msgspec.Struct):
    """Usage of one zone that is not sealed yet, and the state needed to correct sealed lines."""

    zone: ZoneId
    period: WallTime
    """Start of the oldest period that is not sealed."""
    sequence: JournalSequence = JournalSequence(0)
    """The last journal batch that was applied."""
    missing_batches: int = 0
    """Number of journal batches that were lost before they could be read."""
    jobs: dict[JobId, JobTerms] = {}
    tasks: dict[TaskId, TaskAccount] = {}
    settled: dict[TaskId, int] = {}
    """By task, the highest sealed attempt that was dropped from `tasks`."""


def create_ledger(zone: ZoneId, now: WallTime) -> Ledger:
    """Return an empty ledger whose first period is the one of `now`."""
    return Ledger(zone, get_period_start(now))


def get_period_start(at: WallTime) -> WallTime:
    """Return the start of the period that contains `at`."""
    return WallTime(at - at % PERIOD_MS)


def apply_batch(ledger: Ledger, batch: JournalBatch) -> None:
    """Apply the events of `batch` to the ledger; a batch that was already applied is ignored."""
    if batch.sequence <= ledger.sequence:
        return
    ledger.missing_batches += batch.sequence - ledger.sequence - 1
    for event in batch.events:
        apply_event(event, ledger)
    ledger.sequence = batch.sequence


@singledispatch
def apply_event(event: object, ledger: Ledger) -> None:
    """Apply one journal event to the ledger; events without usage data are ignored."""


@apply_event.register
def _(event: JobAccepted, ledger: Ledger) -> None:
    spec = event.spec
    held = spec.resources
    ledger.jobs[spec.job] = JobTerms(
        spec.job, spec.customer, spec.team, held.millicores, held.memory_mib, held.accelerators
    )


@apply_event.register
def _(event: AttemptStarting, ledger: Ledger) -> None:
    fact = AttemptFact(event.attempt, event.worker, event.decided_at, event.reason)
    _record_fact(ledger, event.task, fact)


@apply_event.register
def _(event: AttemptEnded, ledger: Ledger) -> None:
    fact = AttemptFact(
        event.attempt,
        event.worker,
        outcome=event.outcome.value,
        started_at=event.started_at,
        ended_at=event.ended_at,
    )
    _record_fact(ledger, event.task, fact)


def _record_fact(ledger: Ledger, task: TaskId, fact: AttemptFact) -> None:
    if fact.attempt <= ledger.settled.get(task, 0):
        return
    account = ledger.tasks.get(task)
    if account is None:
        account = TaskAccount(task, {}, {})
        ledger.tasks[task] = account
    key = get_attempt_key(fact.attempt, fact.worker)
    existing = account.facts.get(key)
    account.facts[key] = fact if existing is None else merge_facts(existing, fact)
    account.changed = True


def prune_ledger(ledger: Ledger, is_open: Callable[[JobId], bool]) -> None:
    """Drop attempts past their horizon, and the terms of closed jobs that have no attempts left."""
    for task, account in tuple(ledger.tasks.items()):
        _drop_sealed_attempts(ledger, account, is_open(get_job_of_task(task)))
        if not account.facts:
            del ledger.tasks[task]
    used = {get_job_of_task(task) for task in ledger.tasks}
    for job in tuple(ledger.jobs):
        if job not in used and not is_open(job):
            del ledger.jobs[job]
    for task in tuple(ledger.settled):
        if get_job_of_task(task) not in ledger.jobs:
            del ledger.settled[task]


def _drop_sealed_attempts(ledger: Ledger, account: TaskAccount, job_is_open: bool) -> None:
    # Attempts are dropped in ascending order, so that one number covers all dropped ones. The last
    # attempt of a task is kept while its job is open, because the line for a gap after it refers to
    # it.
    ordered = sorted(account.facts.items(), key=lambda item: item[1].attempt)
    for key, fact in ordered[:-1] if job_is_open else ordered:
        if key not in account.billed or not _is_past_horizon(ledger, fact):
            return
        del account.facts[key]
        del account.billed[key]
        account.gaps.pop(key, None)
        account.floor_at = max(account.floor_at, fact.ended_at)
        ledger.settled[account.task] = max(ledger.settled.get(account.task, 0), fact.attempt)


def _is_past_horizon(ledger: Ledger, fact: AttemptFact) -> bool:
    if not fact.outcome:
        return False
    horizon = REPORTED_HORIZON_MS if fact.started_at > 0 else UNREPORTED_HORIZON_MS
    return max(fact.ended_at, fact.decided_at) + horizon < ledger.period
