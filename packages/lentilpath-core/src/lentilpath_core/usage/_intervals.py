"""The intervals in which a task held resources, derived from the reports on its attempts.

The result depends only on the set of reports, not on their order or number.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise

from lentilpath_core.ids import WallTime, WorkerId
from lentilpath_core.states import AttemptOutcome
from lentilpath_core.usage._messages import AttemptFact, Basis

UNIX_EPOCH = WallTime(0)
UNREPORTED_OUTCOMES = frozenset({AttemptOutcome.LOST.value, AttemptOutcome.NOT_STARTED.value})


@dataclass(frozen=True, slots=True)
class Interval:
    """Time in which an attempt held resources, or the reason why it is not known."""

    fact: AttemptFact
    started_at: WallTime
    ended_at: WallTime
    """Equal to `started_at` if nothing is charged."""
    basis: Basis
    cause: str


@dataclass(frozen=True, slots=True)
class Gap:
    """Time between two intervals of a task."""

    before: Interval
    after: Interval
    cause: str


def get_attempt_key(attempt: int, worker: WorkerId) -> str:
    """Return the key of an attempt on a worker."""
    return f"{attempt}@{worker}"


def merge_facts(first: AttemptFact, second: AttemptFact) -> AttemptFact:
    """Return two reports of one attempt merged into one; the order does not matter.

    A worker's own report takes precedence over the leader's estimate. Of two worker reports the
    shorter one counts, so that a doubtful report never costs the customer more.
    """
    decided = min(
        (fact for fact in (first, second) if fact.decided_at),
        key=_get_decision_order,
        default=first,
    )
    end = min((fact for fact in (first, second) if fact.outcome), key=_get_end_order, default=first)
    return AttemptFact(
        first.attempt,
        first.worker,
        decided.decided_at,
        decided.decision,
        end.outcome,
        end.started_at,
        end.ended_at,
    )


def list_intervals(
    facts: Iterable[AttemptFact], now: WallTime, floor_at: WallTime = UNIX_EPOCH
) -> tuple[Interval, ...]:
    """Return the intervals of one task, oldest first and without overlaps.

    An attempt without a reported end counts as running from its decision up to `now`. No interval
    starts before `floor_at`, the end of the last interval that is no longer stored.
    """
    intervals: list[Interval] = []
    ended_at = floor_at
    for unclipped in sorted((_make_interval(fact, now) for fact in facts), key=_get_interval_order):
        interval = _clip_start(unclipped, ended_at)
        ended_at = max(ended_at, interval.ended_at)
        intervals.append(interval)
    return tuple(intervals)


def list_gaps(intervals: Iterable[Interval]) -> tuple[Gap, ...]:
    """Return the gaps between intervals of non-zero length, each with its cause."""
    gaps: list[Gap] = []
    charged = [interval for interval in intervals if interval.ended_at > interval.started_at]
    for before, after in pairwise(charged):
        if after.started_at > before.ended_at:
            cause = f"attempt {before.fact.attempt} {before.cause}; then {after.fact.decision}"
            gaps.append(Gap(before, after, cause))
    return tuple(gaps)


def _make_interval(fact: AttemptFact, now: WallTime) -> Interval:
    if not fact.outcome:
        started_at = fact.decided_at
        ended_at = max(now, started_at)
        return Interval(fact, started_at, ended_at, Basis.PROVISIONAL, "running")
    at = fact.decided_at or fact.ended_at
    if fact.outcome in UNREPORTED_OUTCOMES:
        return Interval(fact, at, at, Basis.NONE, _explain_unreported(fact.outcome))
    if fact.started_at <= 0 or fact.ended_at < fact.started_at:
        cause = f"{fact.outcome}: unusable report (from {fact.started_at} to {fact.ended_at})"
        return Interval(fact, at, at, Basis.NONE, cause)
    return Interval(fact, fact.started_at, fact.ended_at, Basis.WORKER_REPORT, fact.outcome)


def _explain_unreported(outcome: str) -> str:
    if outcome == AttemptOutcome.LOST.value:
        return "lost: the worker never reported the end"
    return "not started: the worker provably never started it"


def _clip_start(interval: Interval, earliest: WallTime) -> Interval:
    # The clocks of two workers differ, so their reports may overlap. A customer must not be charged
    # twice for the same time of a task.
    if interval.started_at >= earliest or interval.ended_at == interval.started_at:
        return interval
    started_at = min(earliest, interval.ended_at)
    removed_ms = started_at - interval.started_at
    cause = f"{interval.cause}; {removed_ms} ms that an earlier attempt reported are left out"
    return Interval(interval.fact, started_at, interval.ended_at, interval.basis, cause)


def _get_decision_order(fact: AttemptFact) -> tuple[int, str]:
    return (fact.decided_at, fact.decision)


def _get_end_order(fact: AttemptFact) -> tuple[bool, int, int, str]:
    unreported = fact.outcome in UNREPORTED_OUTCOMES or fact.started_at <= 0
    return (unreported, fact.ended_at - fact.started_at, fact.started_at, fact.outcome)


def _get_interval_order(interval: Interval) -> tuple[int, int, str]:
    return (interval.started_at, interval.fact.attempt, interval.fact.worker)
