"""Repeats a write until its outcome is known, for as long as its caller can wait.

Designed for a table that answers slowly while callers press: a write that is cut off just before
its answer leaves the caller in doubt, and its repetition loads the table once more. So an attempt
that is late goes on, and the next one is made beside it, through another host.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from lentilpath_core.errors import OutcomeUnknown, TableBusy, TableUnavailable
from lentilpath_core.ids import Instant
from lentilpathd._clock import MS_PER_SECOND, read_instant
from lentilpathd._pool._ports import PartitionCommitResult, PartitionTransaction

RETRY_SECONDS = 0.05
"""One network round trip between regions."""
MAX_ATTEMPTS_IN_FLIGHT = 3
"""One on the direct path and two through relay hosts."""
MIN_ATTEMPT_SECONDS = 0.05
"""Shortest time left for an attempt: one network round trip between regions."""

FIRST_ATTEMPT_SHARE = 0.65
"""Share of the remaining time after which an unanswered attempt gets another beside it at the
latest. A slow table answers within it, and it leaves time for a way through another host."""

Attempt = asyncio.Task[PartitionCommitResult]


class WritableTable(Protocol):
    """What a write that is repeated needs of the table."""

    async def commit(
        self, transaction: PartitionTransaction, timeout: float, prefer_relay: bool = False
    ) -> PartitionCommitResult:
        """Apply all of the transaction or nothing; with `prefer_relay` try a relay host first."""
        ...

    def get_commit_timeout(self) -> float:
        """Return the time in seconds after which an answer is later than usual."""
        ...


async def settle_write(
    table: WritableTable,
    transaction: PartitionTransaction,
    give_up_at: Instant,
    report_unclear: Callable[[Exception], None],
) -> PartitionCommitResult:
    """Make an idempotent write and return its result.

    `report_unclear` is called each time an attempt may have taken effect without an answer. Raises
    `TableUnavailable` if no attempt was sent, at once unless the table is only busy, and
    `OutcomeUnknown` if the write may have taken effect but nothing is known at `give_up_at`.
    """
    write = _RepeatedWrite(table, transaction, give_up_at, report_unclear)
    try:
        return await write.run()
    finally:
        await write.close()


class _RepeatedWrite:
    def __init__(
        self,
        table: WritableTable,
        transaction: PartitionTransaction,
        give_up_at: Instant,
        report_unclear: Callable[[Exception], None],
    ) -> None:
        self._table = table
        self._transaction = transaction
        self._give_up_at = give_up_at
        self._report_unclear = report_unclear
        self._in_flight: set[Attempt] = set()
        self._is_unclear = False

    async def run(self) -> PartitionCommitResult:
        while True:
            if len(self._in_flight) < MAX_ATTEMPTS_IN_FLIGHT:
                self._begin_attempt()
            ended, self._in_flight = await asyncio.wait(
                self._in_flight,
                timeout=min(
                    self._table.get_commit_timeout(),
                    self._get_seconds_left() * FIRST_ATTEMPT_SHARE,
                ),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not ended:
                self._mark_unclear(OutcomeUnknown("the table has not answered yet"))
            for attempt in ended:
                error = attempt.exception()
                if error is None:
                    return attempt.result()
                self._handle_failure(error)
            if read_instant() >= self._give_up_at:
                raise OutcomeUnknown("no attempt to write was answered in time")
            if ended:
                await asyncio.sleep(RETRY_SECONDS)

    def _begin_attempt(self) -> None:
        commit = self._table.commit(
            self._transaction, self._get_seconds_left(), prefer_relay=self._is_unclear
        )
        self._in_flight.add(asyncio.ensure_future(commit))

    def _get_seconds_left(self) -> float:
        left_ms = self._give_up_at - read_instant()
        return max(MIN_ATTEMPT_SECONDS, left_ms / MS_PER_SECOND)

    def _handle_failure(self, error: BaseException) -> None:
        if isinstance(error, OutcomeUnknown):
            self._mark_unclear(error)
        elif not isinstance(error, TableUnavailable):
            raise error
        elif not self._is_unclear:
            is_over = read_instant() >= self._give_up_at
            if is_over or not isinstance(error, TableBusy):
                raise error

    def _mark_unclear(self, error: OutcomeUnknown) -> None:
        self._is_unclear = True
        self._report_unclear(error)

    async def close(self) -> None:
        """Abandon the attempts in flight; their answers would come too late."""
        for attempt in self._in_flight:
            attempt.cancel()
        await asyncio.gather(*self._in_flight, return_exceptions=True)
