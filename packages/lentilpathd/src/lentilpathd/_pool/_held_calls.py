"""Callers' writes that wait, unsent, while the table gives no answers: bound and order.

There is no I/O here, and the time is an argument.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lentilpath_core.ids import Instant, JobId
from lentilpathd._pool._ports import PartitionTransaction

MAX_HELD_CALLS = 400
"""About 30 s of one entry host's share of the largest deployment's calls, of which each waits for
less than 3 s."""
MAX_HELD_BYTES = 4_194_304
"""A sixteenth of the memory that an entry host may use."""
RELEASE_INTERVAL_MS = 40
"""25 writes a second from each host, so 1,050 from the 42 entry hosts of the largest deployment.
The table serves 1,200, and 200 in one partition."""
SETTLE_DEADLINE_SHARE = 0.9
"""Share of a caller's deadline spent on a write of unknown outcome, since many callers must not
resubmit a job that may have been accepted. The rest is for the way of the answer."""
QUERY_DEADLINE_SHARE = 0.96
"""Share of a caller's deadline after which the leader's word about an unsent write is not waited
for. It leaves time for one query after the last attempt to write."""
WRITE_MS = 200
"""Time that a released call needs for its write: four of the longest usual answers."""


@dataclass(frozen=True, slots=True)
class HeldCall:
    """A write of a caller that has not been sent."""

    job: JobId
    urgency: int
    """Priority of the call's queue; 0 is the most urgent."""
    received_at: Instant
    deadline_ms: int
    """How long the caller waits for its answer."""
    size_bytes: int
    partitions: tuple[str, ...]
    """The write may go to any of these."""

    def get_settle_until(self) -> Instant:
        """Return until when a write of unknown outcome may be settled."""
        return Instant(int(self.received_at + self.deadline_ms * SETTLE_DEADLINE_SHARE))

    def get_query_until(self) -> Instant:
        """Return until when the leader's word about an unsent write is of use."""
        return Instant(int(self.received_at + self.deadline_ms * QUERY_DEADLINE_SHARE))

    def get_release_until(self) -> Instant:
        """Return until when the call can be released to be answered in time."""
        return Instant(self.get_settle_until() - WRITE_MS)


def make_call(
    job: JobId,
    urgency: int,
    now: Instant,
    deadline_ms: int,
    transactions: tuple[PartitionTransaction, ...],
) -> HeldCall:
    """Return a call whose write is any one of the transactions, which have equal rows."""
    size_bytes = sum(len(value) for _, value in transactions[0].puts)
    partitions = tuple(each.part for each in transactions)
    return HeldCall(job, urgency, now, deadline_ms, size_bytes, partitions)


class HeldCalls:
    """The calls that are held by one host, identified by a number."""

    def __init__(self) -> None:
        self._calls: dict[int, HeldCall] = {}
        self._size_bytes = 0
        self._next_number = 0
        self._released_at = Instant(-RELEASE_INTERVAL_MS)

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, call: HeldCall) -> tuple[int, tuple[int, ...]]:
        """Hold a call; return its number, and the numbers of the calls that no longer fit.

        Those are the least urgent ones, and among them the ones with the latest deadline. The new
        call may be one of them.
        """
        number = self._next_number
        self._next_number += 1
        self._calls[number] = call
        self._size_bytes += call.size_bytes
        dropped = []
        while len(self._calls) > MAX_HELD_CALLS or self._size_bytes > MAX_HELD_BYTES:
            last = max(self._calls, key=self._rank)
            self.remove(last)
            dropped.append(last)
        return number, tuple(dropped)

    def remove(self, number: int) -> None:
        """Forget a call, if it is held."""
        call = self._calls.pop(number, None)
        if call is not None:
            self._size_bytes -= call.size_bytes

    def expire(self, now: Instant) -> tuple[int, ...]:
        """Remove and return the calls that can no longer be written before their deadline."""
        expired = tuple(
            number for number, call in self._calls.items() if now >= call.get_release_until()
        )
        for number in expired:
            self.remove(number)
        return expired

    def release(self, now: Instant, can_write: Callable[[tuple[str, ...]], bool]) -> int | None:
        """Remove and return the call to write now, or `None`.

        It is the one of the most urgent queue with the earliest deadline among those to whose
        partitions a write may be sent.
        """
        if now < self._released_at + RELEASE_INTERVAL_MS:
            return None
        for number in sorted(self._calls, key=self._rank):
            if can_write(self._calls[number].partitions):
                self.remove(number)
                self._released_at = now
                return number
        return None

    def _rank(self, number: int) -> tuple[int, Instant, int]:
        call = self._calls[number]
        return call.urgency, call.get_release_until(), number
