"""The host's own path to the table: whether it works, and how long its answers take."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from lentilpath_core.errors import (
    LentilpathError,
    OutcomeUnknown,
    TableBusy,
    TableNotReached,
    WriteRejected,
)
from lentilpath_core.ids import Instant, RowVersion
from lentilpathd._clock import MS_PER_SECOND, read_instant
from lentilpathd._events import Event, log_event
from lentilpathd._metrics import Metric
from lentilpathd._pool._breaker import PathBreaker
from lentilpathd._pool._metrics import PoolMetrics
from lentilpathd._pool._ports import (
    AnswerProgress,
    HistoryLost,
    PartitionCommitResult,
    PartitionedTable,
    PartitionRows,
    PartitionTransaction,
)
from lentilpathd._pool._records import EPOCH_KEY, LEADER_KEYS_END, POOL_PARTITION, POOL_TABLE

T = TypeVar("T")

PROBE_INTERVAL_SECONDS = 0.25
"""Limits each host to four probes a second, of the 2,000 calls a second that all hosts may make."""
PROBE_TIMEOUT_SECONDS = 0.8
"""Enough for a read while the table is 100 times slower than its usual 4 ms. Probes overlap, so one
that was sent into an outage does not delay the next."""
FAILURE_THRESHOLD = 2.0
"""A single call may get lost; the direct path counts as down when a second call in a row fails."""
RECENT_RESPONSE_MS = 1_000
"""A table that has answered any call within this time is slow rather than unreachable: followers
read the leadership rows three times in it, and a read may be 100 times slower than its usual
4 ms."""
BUSY_FAILURE_WEIGHT = 0.5
"""A rejection for too many calls is still a response, so it counts less than a failure."""
MIN_COMMIT_TIMEOUT_SECONDS = 0.6
"""Several times the longest round trip to the table, including a transaction."""
MAX_COMMIT_TIMEOUT_SECONDS = 1.5
"""Half of a caller's deadline."""
COMMIT_TIMEOUT_FACTOR = 3.0
"""Response times of a slow table reach this multiple of their mean."""
LATENCY_SMOOTHING = 0.1
"""Weight of a new sample in the exponential moving average of commit times."""

STALL_MS = 50
"""A timer that fires later than this shows that this process was held up, not the table. Answers
that have arrived are read within the same time."""


class LateAnswerLost(OutcomeUnknown):
    """A write was late and never answered; it was counted as a failure when it became late."""


class DirectPath:
    """Implements `PartitionedTable` on this host's path, and tells whether the path works."""

    def __init__(
        self, table: PartitionedTable, metrics: PoolMetrics, progress: AnswerProgress
    ) -> None:
        progress.listen(self._hear)
        self._table = table
        self._metrics = metrics
        self._breaker = PathBreaker()
        self._watch: asyncio.TimerHandle | None = None
        self._failures = 0.0
        self._down = asyncio.Event()
        self._mean_commit_seconds = 0.0
        self._answered_at = Instant(0)
        """When the latest answer, or part of one, has arrived."""
        self._failed_call_sent_at = Instant(0)
        self._answered_call_sent_at = Instant(0)
        self._returned_at = Instant(0)

    def is_up(self) -> bool:
        """Return whether the table answers on this path."""
        return not self._down.is_set()

    def get_commit_timeout(self) -> float:
        """Return the timeout for a caller's write in seconds, longer while responses are slow."""
        scaled_seconds = COMMIT_TIMEOUT_FACTOR * self._mean_commit_seconds
        return min(MAX_COMMIT_TIMEOUT_SECONDS, max(MIN_COMMIT_TIMEOUT_SECONDS, scaled_seconds))

    def get_silence_seconds(self) -> float:
        """Return after how long a missing answer shows that the path is silent."""
        return self._breaker.get_silence_ms() / MS_PER_SECOND

    async def wait_down(self) -> None:
        """Wait until the table does not answer on this path."""
        await self._down.wait()

    def get_returned_at(self) -> Instant:
        """Return when the direct path last began to work again; 0 if it was never down."""
        return self._returned_at

    async def run(self) -> None:
        """Probe a direct path that is down until it works again, until cancelled."""
        probes: set[asyncio.Task[None]] = set()
        try:
            while True:
                await self._down.wait()
                probe = asyncio.ensure_future(self._probe())
                probes.add(probe)
                probe.add_done_callback(probes.discard)
                await asyncio.wait((probe,), timeout=PROBE_INTERVAL_SECONDS)
                if self._down.is_set() and probe.done():
                    await asyncio.sleep(PROBE_INTERVAL_SECONDS)
        finally:
            for each in probes:
                each.cancel()

    async def _probe(self) -> None:
        sent_at = read_instant()
        call = self._breaker.begin(sent_at)
        is_answered = False
        try:
            await self._table.read_partition(
                POOL_TABLE, POOL_PARTITION, EPOCH_KEY, LEADER_KEYS_END, PROBE_TIMEOUT_SECONDS
            )
            is_answered = True
        except LentilpathError:
            # The outage was logged when it was detected; failed probes are not logged.
            return
        finally:
            self._breaker.finish(call, is_answered, read_instant())
        self._record_success(sent_at)

    def _record_success(self, sent_at: Instant) -> None:
        self._answered_at = read_instant()
        if sent_at < self._failed_call_sent_at:
            # A response to a call sent before one that failed does not show that the path works.
            return
        self._answered_call_sent_at = max(self._answered_call_sent_at, sent_at)
        self._failures = 0.0
        if self._down.is_set():
            self._down.clear()
            self._returned_at = self._answered_at
            log_event(Event.TABLE_REACHABLE)

    def _hear(self) -> None:
        """Record that a part of an answer has arrived."""
        self._answered_at = read_instant()
        self._breaker.hear(self._answered_at)

    def _has_answered_recently(self) -> bool:
        return read_instant() < self._answered_at + RECENT_RESPONSE_MS

    def _record_failure(self, error: LentilpathError, sent_at: Instant) -> None:
        if isinstance(error, OutcomeUnknown) and self._has_answered_recently():
            return
        if isinstance(error, TableNotReached) and self._answered_at > sent_at:
            # The link is full of an answer that is arriving, so connecting takes longer.
            return
        if sent_at < self._answered_call_sent_at:
            # A call that was sent into an outage may fail long after the path has returned.
            return
        if isinstance(error, TableBusy):
            self._failures += BUSY_FAILURE_WEIGHT
        else:
            self._failed_call_sent_at = max(self._failed_call_sent_at, sent_at)
            self._failures += 1.0
        self._metrics.count(Metric.DEPENDENCY_FAILED, "table")
        if self._failures >= FAILURE_THRESHOLD:
            self._mark_down(str(error))

    def _mark_down(self, error: str) -> None:
        if not self._down.is_set():
            self._down.set()
            log_event(Event.TABLE_UNREACHABLE, error=error)

    def _watch_breaker(self) -> None:
        """Check the breaker when it opens unless an answer comes."""
        if self._watch is not None or self._down.is_set():
            return
        silent_at = self._breaker.find_silent_at()
        if silent_at is not None:
            delay_seconds = max(0.0, (silent_at - read_instant()) / MS_PER_SECOND)
            loop = asyncio.get_running_loop()
            self._watch = loop.call_later(delay_seconds, self._check_breaker, silent_at)

    def _check_breaker(self, due_at: Instant) -> None:
        self._watch = None
        now = read_instant()
        if now > due_at + STALL_MS:
            # This process has not run for a while, so answers may have arrived unread.
            loop = asyncio.get_running_loop()
            self._watch = loop.call_later(
                STALL_MS / MS_PER_SECOND, self._check_breaker, Instant(now + STALL_MS)
            )
        elif not self._breaker.is_responsive(now):
            # Only an answer to a call that was not sent before this one shows that the path works.
            sent_at = self._breaker.find_unanswered() or now
            self._failed_call_sent_at = max(self._failed_call_sent_at, sent_at)
            self._mark_down(f"no answer for {self._breaker.get_silence_ms():.0f} ms")
        else:
            self._watch_breaker()

    async def commit(
        self, transaction: PartitionTransaction, timeout: float
    ) -> PartitionCommitResult:
        """Apply all of the transaction or nothing; see `PartitionedTable`."""
        started_at = read_instant()
        call = self._await_suspiciously(self._table.commit(transaction, timeout))
        commit = await self._track_bounded(call, timeout)
        self._record_commit_time((read_instant() - started_at) / MS_PER_SECOND)
        return commit

    async def commit_for_peer(
        self, transaction: PartitionTransaction, timeout: float
    ) -> PartitionCommitResult:
        """Apply a transaction of another host, which notices itself when the answer is late."""
        return await self._track_bounded(self._table.commit(transaction, timeout))

    async def read_partition(
        self, table: str, partition: str, first: str, end: str, timeout: float
    ) -> PartitionRows:
        """Return the rows of a partition; see `PartitionedTable`."""
        read = self._table.read_partition(table, partition, first, end, timeout)
        return await self._track_bounded(read)

    async def follow(
        self, table: str, after: RowVersion, wait_seconds: float, timeout: float
    ) -> PartitionRows:
        """Return changes of a table; see `PartitionedTable`."""
        return await self._track(self._table.follow(table, after, wait_seconds, timeout))

    def _record_commit_time(self, seconds: float) -> None:
        self._mean_commit_seconds += LATENCY_SMOOTHING * (seconds - self._mean_commit_seconds)

    async def _await_suspiciously(self, call: Awaitable[T]) -> T:
        """Await a write, and count it as a failure of the path once its answer is late.

        Raises `LateAnswerLost` if it never comes, since the failure has been counted by then.
        """
        late_seconds = self.get_commit_timeout()
        sent_at = read_instant()
        pending = asyncio.ensure_future(call)
        try:
            done, _ = await asyncio.wait((pending,), timeout=late_seconds)
            if done:
                return pending.result()
            if self._has_answered_recently():
                self._mean_commit_seconds = max(self._mean_commit_seconds, late_seconds)
            else:
                self._record_failure(OutcomeUnknown("an answer of the table is late"), sent_at)
            return await pending
        except OutcomeUnknown as error:
            raise (error if pending in done else LateAnswerLost(str(error))) from error
        finally:
            pending.cancel()

    async def _track_bounded(self, awaitable: Awaitable[T], commit_timeout: float = 0.0) -> T:
        """Track a call that the table answers at once, so that its silence opens the breaker."""
        call = self._breaker.begin(read_instant())
        self._watch_breaker()
        is_answered = False
        try:
            result = await self._track(awaitable, commit_timeout)
            is_answered = True
            return result
        except (HistoryLost, WriteRejected, TableBusy):
            is_answered = True
            raise
        finally:
            self._breaker.finish(call, is_answered, read_instant())

    async def _track(self, call: Awaitable[T], commit_timeout: float = 0.0) -> T:
        sent_at = read_instant()
        try:
            result = await call
        except (HistoryLost, WriteRejected):
            self._record_success(sent_at)
            raise
        except LentilpathError as error:
            if not isinstance(error, LateAnswerLost):
                self._record_failure(error, sent_at)
            if isinstance(error, OutcomeUnknown):
                self._mean_commit_seconds = max(self._mean_commit_seconds, commit_timeout)
            raise
        self._record_success(sent_at)
        return result
