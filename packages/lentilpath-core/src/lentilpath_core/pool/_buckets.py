"""Token buckets: which jobs of a customer are beyond the rate that it is entitled to.

The result depends only on when the customer's jobs were accepted, by their stored records, and not
on the order in which the leader learns of them. So the next leader gets the same one.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field

from lentilpath_core.ids import JobId, WallTime

MS_PER_SECOND = 1_000
CAPACITY_SECONDS = 8.0
"""A bucket holds the jobs of this time, the longest burst on the deployments' sheets. Of a customer
that sends its weight at random, up to 2% of the jobs are beyond it, up to 10% of a usual burst
of 2.2 times the weight, and 48 to 71% of one of six times. With 4 s the first two are 4% and 26%.
"""
MIN_CAPACITY = 10.0
"""Fewest jobs that a bucket holds: of a rare sender (one job in two seconds) that sends its weight
at random, 5 mark 9%."""
PERIOD_MS = 60_000
"""Buckets start full at each multiple of this time. So the records from one multiple on suffice,
which are kept for longer than this after the end of a job."""


@dataclass(slots=True)
class _Period:
    """The jobs that were accepted within one period, in the order of their acceptance."""

    jobs: list[tuple[WallTime, JobId]] = field(default_factory=list)
    left: list[float] = field(default_factory=list)
    """Tokens that were left after each job."""
    is_over: list[bool] = field(default_factory=list)


@dataclass(slots=True)
class TokenBucket:
    """The bucket of one customer, which gets `weight` tokens per second; a job takes one."""

    weight: float = 1.0
    _periods: dict[int, _Period] = field(default_factory=dict)

    def _get_capacity(self) -> float:
        return max(MIN_CAPACITY, self.weight * CAPACITY_SECONDS) if self.weight else 0.0

    def add(self, job: JobId, accepted_at: WallTime, wall_now: WallTime) -> dict[JobId, bool]:
        """Add a job; return the jobs whose mark it sets or changes: whether they are beyond it.

        Jobs from before the last period are within the share: they are too late to be of value,
        and the records that their mark depends on may be deleted.
        """
        oldest = wall_now // PERIOD_MS - 1
        for number in [each for each in self._periods if each < oldest]:
            del self._periods[number]
        number = accepted_at // PERIOD_MS
        if number < oldest:
            return {}
        period = self._periods.setdefault(number, _Period())
        position = bisect_left(period.jobs, (accepted_at, job))
        if position < len(period.jobs) and period.jobs[position] == (accepted_at, job):
            return {}
        period.jobs.insert(position, (accepted_at, job))
        period.left.insert(position, -1.0)
        period.is_over.insert(position, False)
        return {job: False} | self._number(number, position)

    def set_weight(self, weight: float) -> dict[JobId, bool]:
        """Use another weight, for the known jobs too; return the jobs whose mark changes."""
        if weight == self.weight:
            return {}
        self.weight = weight
        changed: dict[JobId, bool] = {}
        for number, period in self._periods.items():
            period.left = [-1.0] * len(period.jobs)
            changed |= self._number(number, 0)
        return changed

    def _number(self, number: int, first: int) -> dict[JobId, bool]:
        """Pass the jobs from position `first` on through the bucket again."""
        period = self._periods[number]
        changed: dict[JobId, bool] = {}
        at, tokens = number * PERIOD_MS, self._get_capacity()
        if first:
            at, tokens = period.jobs[first - 1][0], period.left[first - 1]
        for position in range(first, len(period.jobs)):
            accepted_at, job = period.jobs[position]
            tokens = self._refill(tokens, accepted_at - at)
            at = accepted_at
            is_over = tokens < 1.0
            tokens -= not is_over
            if period.is_over[position] != is_over:
                changed[job] = period.is_over[position] = is_over
            elif period.left[position] == tokens:
                break
            period.left[position] = tokens
        return changed

    def _refill(self, tokens: float, ms: float) -> float:
        return min(self._get_capacity(), tokens + self.weight * ms / MS_PER_SECOND)

    def compute_delay_ms(self, wall_now: WallTime) -> int:
        """Return the time until the bucket has a token for another job; 0 if it has one now."""
        number = wall_now // PERIOD_MS
        until_full_ms = (number + 1) * PERIOD_MS - wall_now
        if not self.weight:
            return until_full_ms
        period = self._periods.get(number)
        if period is None:
            return 0
        tokens = self._refill(period.left[-1], max(0, wall_now - period.jobs[-1][0]))
        if tokens >= 1.0:
            return 0
        # The time is infinite for a weight close to 0.
        return int(min(until_full_ms, (1.0 - tokens) / self.weight * MS_PER_SECOND + 1))
