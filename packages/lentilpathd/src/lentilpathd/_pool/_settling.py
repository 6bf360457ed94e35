"""Repeats a write until its outcome is known, for as long as its caller can wait.

Designed for a table that answers slowly while callers press: a write that is cut off just before
its answer leaves the caller in doubt, and its repetition loads the table once more. So an attempt
that is late goes on, and the next one is made beside it, through another host. It goes to another
partition too, for a table of which some partitions do not answer.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from lentilpath_core.errors import OutcomeUnknown, TableBusy, TableUnavailable
from lentilpath_core.ids import Instant
from lentilpathd._clock import MS_PER_SECOND, read_instant
from lentilpathd._pool._ports import PartitionCommitResult, PartitionTransaction, SharedTable

RETRY_SECONDS = 0.05
"""One network round trip between regions."""
MAX_ATTEMPTS_IN_FLIGHT = 3
"""One on the direct path and two through relay hosts."""
MIN_ATTEMPT_SECONDS = 0.05
"""Shortest time left for an attempt: one network round trip between regions."""

RETURN_CHECK_SECONDS = 0.1
"""How soon a waiting write notices that the table has returned; two of its answers from the
farthest region."""

FIRST_ATTEMPT_SHARE = 0.65
"""Share of the remaining time after which an unanswered attempt gets another beside it at the
latest. A slow table answers within it, and it leaves time for a way through another host."""

SLOW_ANSWER_SECONDS = 1.2
"""Longest time in which a table that is 100 times slower answers two writes to one partition."""

SILENCE_MEMORY_MS = 1_500
"""A partition that was late is tried last for this long, so that a burst meets it seldom."""

Attempt = asyncio.Task[PartitionCommitResult]


@dataclass(frozen=True, slots=True)
class RepeatedCommit:
    """Outcome of a write that was made as often as it took to get an answer."""

    result: PartitionCommitResult
    may_be_done_later: bool
    """Whether a copy of the write got no answer, so that it may still be done."""


Stored = tuple[PartitionTransaction, PartitionCommitResult]
"""The transaction that was applied, and its result."""


class PartitionHealth:
    """Partitions that did not answer in time lately."""

    def __init__(self) -> None:
        self._late_until: dict[str, Instant] = {}

    def mark_late(self, partition: str, now: Instant) -> None:
        """Note that a write to the partition was not answered in time."""
        self._late_until[partition] = Instant(now + SILENCE_MEMORY_MS)

    def mark_answered(self, partition: str) -> None:
        """Note that the partition has answered a write."""
        self._late_until.pop(partition, None)

    def sort(
        self, transactions: tuple[PartitionTransaction, ...], now: Instant
    ) -> tuple[PartitionTransaction, ...]:
        """Return the transactions, those to partitions that were late lately last."""
        return tuple(
            sorted(transactions, key=lambda each: self._late_until.get(each.part, now) > now)
        )


async def settle_write(
    table: SharedTable,
    health: PartitionHealth,
    transactions: tuple[PartitionTransaction, ...],
    give_up_at: Instant,
    report_unclear: Callable[[Exception], None],
    get_late_seconds: Callable[[], float] | None = None,
) -> Stored:
    """Make an idempotent write, as any one of the transactions, and return the one applied.

    An attempt that takes longer than `get_late_seconds` gets another beside it; by default the
    table's commit timeout.

    `report_unclear` is called each time an attempt may have taken effect without an answer. Raises
    `TableUnavailable` if no attempt was sent, at once unless the table is only busy, and
    `OutcomeUnknown` if the write may have taken effect but nothing is known at `give_up_at`.
    """
    ordered = health.sort(transactions, read_instant())
    late = get_late_seconds or table.get_commit_timeout
    write = _RepeatedWrite(table, health, ordered, give_up_at, report_unclear, late)
    try:
        return await write.run()
    finally:
        await write.close()


async def commit_repeatedly(
    table: SharedTable, transaction: PartitionTransaction, timeout: float
) -> RepeatedCommit:
    """Make an idempotent write of the leader, which other work waits for.

    It is sent through a relay too as soon as the direct path is silent. There is one partition to
    write to, and each attempt takes its turn there although it brings nothing, so a third one is
    made only once the answers are later than a slow table explains. Raises as `settle_write`.
    """
    write = _RepeatedWrite(
        table,
        PartitionHealth(),
        (transaction,),
        Instant(int(read_instant() + timeout * MS_PER_SECOND)),
        lambda error: None,
        table.get_silence_seconds,
        waits_for_slow_answers=True,
    )
    try:
        _, commit = await write.run()
    finally:
        await write.close()
    return RepeatedCommit(commit, write.leaves_copies())


class _RepeatedWrite:
    def __init__(
        self,
        table: SharedTable,
        health: PartitionHealth,
        transactions: tuple[PartitionTransaction, ...],
        give_up_at: Instant,
        report_unclear: Callable[[Exception], None],
        get_late_seconds: Callable[[], float],
        waits_for_slow_answers: bool = False,
    ) -> None:
        self._table = table
        self._waits_for_slow_answers = waits_for_slow_answers
        self._health = health
        self._transactions = itertools.cycle(transactions)
        self._give_up_at = give_up_at
        self._report_unclear = report_unclear
        self._get_late_seconds = get_late_seconds
        self._in_flight: dict[Attempt, PartitionTransaction] = {}
        self._last_begun_at = Instant(0)
        self._is_unclear = False

    async def run(self) -> Stored:
        while True:
            if len(self._in_flight) < MAX_ATTEMPTS_IN_FLIGHT:
                self._begin_attempt()
            ended = await self._wait_for_attempts()
            if not ended:
                self._handle_lateness()
            for attempt in ended:
                transaction = self._in_flight.pop(attempt)
                error = attempt.exception()
                if error is None:
                    self._health.mark_answered(transaction.part)
                    return transaction, attempt.result()
                self._handle_failure(error, transaction)
            if read_instant() >= self._give_up_at:
                raise OutcomeUnknown("no attempt to write was answered in time")
            if ended:
                await asyncio.sleep(RETRY_SECONDS)

    async def _wait_for_attempts(self) -> set[Attempt]:
        """Return the attempts that ended; none if all are late or the table has returned since."""
        late_seconds = self._get_late_seconds()
        if self._waits_for_slow_answers and len(self._in_flight) > 1:
            late_seconds = SLOW_ANSWER_SECONDS
        left_seconds = min(late_seconds, self._get_seconds_left() * FIRST_ATTEMPT_SHARE)
        while left_seconds > 0.0:
            wait_seconds = min(left_seconds, RETURN_CHECK_SECONDS)
            ended, _ = await asyncio.wait(
                self._in_flight, timeout=wait_seconds, return_when=asyncio.FIRST_COMPLETED
            )
            if ended:
                return ended
            if self._has_table_returned() and not self._waits_for_slow_answers:
                await self._abandon_oldest_attempt()
                break
            left_seconds -= wait_seconds
        return set()

    def _has_table_returned(self) -> bool:
        return self._table.get_returned_at() > self._last_begun_at

    async def _abandon_oldest_attempt(self) -> None:
        """Make room for an attempt to a table that has returned; it may have dropped the others."""
        if len(self._in_flight) == MAX_ATTEMPTS_IN_FLIGHT:
            oldest = next(iter(self._in_flight))
            self._in_flight.pop(oldest)
            oldest.cancel()
            await asyncio.gather(oldest, return_exceptions=True)

    def _begin_attempt(self) -> None:
        transaction = next(self._transactions)
        prefer_relay = self._is_unclear and not self._has_table_returned()
        commit = self._table.commit(transaction, self._get_seconds_left(), prefer_relay)
        self._last_begun_at = read_instant()
        self._in_flight[asyncio.ensure_future(commit)] = transaction

    def _get_seconds_left(self) -> float:
        left_ms = self._give_up_at - read_instant()
        return max(MIN_ATTEMPT_SECONDS, left_ms / MS_PER_SECOND)

    def _handle_lateness(self) -> None:
        for transaction in self._in_flight.values():
            self._health.mark_late(transaction.part, read_instant())
        self._mark_unclear(OutcomeUnknown("the table has not answered yet"))

    def _handle_failure(self, error: BaseException, transaction: PartitionTransaction) -> None:
        if isinstance(error, OutcomeUnknown):
            self._health.mark_late(transaction.part, read_instant())
            self._mark_unclear(error)
        elif not isinstance(error, TableUnavailable):
            raise error
        elif not self._is_unclear:
            is_over = read_instant() >= self._give_up_at
            if is_over or not isinstance(error, TableBusy):
                raise error

    def leaves_copies(self) -> bool:
        """Return whether an attempt got no answer or is still in flight."""
        return self._is_unclear or bool(self._in_flight)

    def _mark_unclear(self, error: OutcomeUnknown) -> None:
        self._is_unclear = True
        self._report_unclear(error)

    async def close(self) -> None:
        """Abandon the attempts in flight; their answers would come too late."""
        for attempt in self._in_flight:
            attempt.cancel()
        await asyncio.gather(*self._in_flight, return_exceptions=True)
