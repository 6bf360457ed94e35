"""The way to the table service: the host's own, or through a host whose own way works.

Answers the load pattern in which the table serves some hosts and not others, or nobody, while
callers go on. A call that can't be served is given up at once, without being sent.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec

from lentilpath_core.errors import LentilpathError, OutcomeUnknown, TableBusy, TableUnavailable
from lentilpath_core.ids import HostId, Instant, RowVersion
from lentilpath_core.peers import PeerRequest
from lentilpathd._clock import MS_PER_SECOND, read_instant
from lentilpathd._events import Event, log_event
from lentilpathd._metrics import Metric
from lentilpathd._peers import PeerBus
from lentilpathd._pool._metrics import PoolMetrics
from lentilpathd._pool._ports import (
    HistoryLost,
    PartCommit,
    PartitionedTable,
    PartRow,
    PartRows,
    PartTransaction,
)
from lentilpathd._pool._records import EPOCH_KEY, LEADER_KEYS_END, POOL_PART, POOL_TABLE

T = TypeVar("T")

RELAY_TOPIC = "pool.table"
PROBE_EVERY_SECONDS = 0.25
"""Each host then makes four calls a second at most, of the 2,000 that all may make."""
PROBE_TIMEOUT_SECONDS = 0.8
"""Enough for a read while the table is 100 times slower than its usual 4 ms."""
FAILURES_TO_BREAK = 2.0
"""One call may be lost alone; the way is taken as broken when a second fails in a row."""
SILENT_MS = 1_000
"""A table that has answered anything within this is slow, not out of reach: hosts that follow read
the leadership three times in it, and it may be 100 times slower than its usual 4 ms."""
BUSY_FAILURE = 0.5
"""A table that has too many calls answers, so it takes more of these to look elsewhere."""
RELAY_PAUSE_MS = 400
"""No relaying for this long after no host could help; about two probes."""
RELAYS_TRIED = 2
"""Each takes up to the whole timeout; more would outlast a caller's 3 s."""
MIN_PATIENCE_SECONDS = 0.6
"""Several times the longest way to the table and back, with a transaction."""
MAX_PATIENCE_SECONDS = 1.5
"""Half of the time that a caller waits."""
PATIENCE_FACTOR = 3.0
"""Answers of a slow table spread by this much around their mean."""
ANSWER_WEIGHT = 0.1
"""Weight of one more answer in the usual time of an answer."""


class RelayCommit(msgspec.Struct, frozen=True):
    """Asks another host to commit a transaction."""

    table: str
    part: str
    checks: tuple[tuple[str, int], ...]
    puts: tuple[tuple[str, bytes], ...]
    deletes: tuple[str, ...]
    timeout_ms: int


class RelayRead(msgspec.Struct, frozen=True):
    """Asks another host to read part of a table, or what has changed."""

    table: str
    part: str
    first: str
    end: str
    after: int
    """The version to follow from; -1 to read rows."""
    wait_ms: int
    timeout_ms: int


class RelayedRow(msgspec.Struct, frozen=True, array_like=True):
    """A row on its way through another host."""

    part: str
    key: str
    value: bytes
    version: int
    is_dropped: bool


class RelayReply(msgspec.Struct, frozen=True):
    """What the other host was answered."""

    outcome: str
    """`done`, `rejected`, `unavailable`, `unknown` or `history-lost`."""
    rows: tuple[RelayedRow, ...] = ()
    version: int = 0
    clock_ms: int = 0


class RelayQuestion(msgspec.Struct, frozen=True):
    """One of the two."""

    commit: RelayCommit | None = None
    read: RelayRead | None = None


class TablePath:
    """Implements `PartitionedTable` over the host's own way or another host's."""

    def __init__(
        self,
        own: PartitionedTable,
        bus: PeerBus,
        list_helpers: Callable[[Instant], tuple[HostId, ...]],
        metrics: PoolMetrics,
    ) -> None:
        self._own = own
        self._bus = bus
        self._list_helpers = list_helpers
        self._metrics = metrics
        self._failures = 0.0
        self._broken = asyncio.Event()
        self._no_relay_before = Instant(0)
        self._answer_seconds = 0.0
        self._answered_at = Instant(0)
        self._failed_at = Instant(0)
        self._turn = 0
        bus.handle(RELAY_TOPIC, self._answer)

    def is_open(self, now: Instant) -> bool:
        """Return whether calls have a fair chance of being served."""
        if not self._broken.is_set():
            return True
        return now >= self._no_relay_before and bool(self._list_others(now))

    def is_own_way_open(self) -> bool:
        """Return whether calls go straight to the table."""
        return not self._broken.is_set()

    def get_patience(self) -> float:
        """Return how long a caller's call should wait, in seconds; more while answers are slow."""
        wanted = PATIENCE_FACTOR * self._answer_seconds
        return min(MAX_PATIENCE_SECONDS, max(MIN_PATIENCE_SECONDS, wanted))

    async def run(self) -> None:
        """Find out whether a broken way works again, until cancelled."""
        while True:
            await self._broken.wait()
            sent_at = read_instant()
            try:
                await self._own.read_part(
                    POOL_TABLE, POOL_PART, EPOCH_KEY, LEADER_KEYS_END, PROBE_TIMEOUT_SECONDS
                )
            except LentilpathError:
                # The loss was logged when it was found; a line for each probe would add nothing.
                await asyncio.sleep(PROBE_EVERY_SECONDS)
                continue
            self._note_answer(sent_at)

    def _note_answer(self, sent_at: Instant) -> None:
        self._answered_at = read_instant()
        if sent_at < self._failed_at:
            # An answer to an older call says nothing about calls that are sent now.
            return
        self._failures = 0.0
        if self._broken.is_set():
            self._broken.clear()
            log_event(Event.TABLE_BACK)

    def _note_failure(self, error: LentilpathError) -> None:
        is_silent = isinstance(error, OutcomeUnknown)
        if is_silent and read_instant() < self._answered_at + SILENT_MS:
            return
        if isinstance(error, TableBusy):
            self._failures += BUSY_FAILURE
        else:
            self._failed_at = read_instant()
            self._failures += 1.0
        self._metrics.count(Metric.DEPENDENCY_FAILED, "table")
        if self._failures >= FAILURES_TO_BREAK and not self._broken.is_set():
            self._broken.set()
            log_event(Event.TABLE_LOST, error=str(error))

    async def commit(
        self, transaction: PartTransaction, timeout: float, through_other: bool = False
    ) -> PartCommit:
        """Apply all of the transaction or nothing; see `PartitionedTable`.

        With `through_other` another host is asked first, also while the own way counts as open.
        """
        if not self._broken.is_set() and not (through_other and self._may_relay()):
            try:
                return await self._commit_directly(transaction, timeout)
            except TableBusy:
                raise
            except TableUnavailable:
                # Nothing was done, so another host may do it at once.
                if not self._may_relay():
                    raise
        question = RelayQuestion(
            commit=RelayCommit(
                transaction.table,
                transaction.part,
                transaction.checks,
                transaction.puts,
                transaction.deletes,
                int(timeout * MS_PER_SECOND),
            )
        )
        reply = await self._relay(question, timeout)
        return PartCommit(reply.outcome == "done", RowVersion(reply.version), reply.clock_ms)

    async def _commit_directly(self, transaction: PartTransaction, timeout: float) -> PartCommit:
        begun = read_instant()
        commit = await self._watch(self._own.commit(transaction, timeout), timeout)
        self._note_time((read_instant() - begun) / MS_PER_SECOND)
        return commit

    def _may_relay(self) -> bool:
        now = read_instant()
        return now >= self._no_relay_before and bool(self._list_others(now))

    async def read_part(
        self, table: str, part: str, first: str, end: str, timeout: float
    ) -> PartRows:
        """Return the rows of a part; see `PartitionedTable`."""
        if not self._broken.is_set():
            return await self._watch(self._own.read_part(table, part, first, end, timeout))
        read = RelayRead(table, part, first, end, -1, 0, int(timeout * MS_PER_SECOND))
        return _make_rows(await self._relay(RelayQuestion(read=read), timeout))

    async def follow(
        self, table: str, after: RowVersion, wait_seconds: float, timeout: float
    ) -> PartRows:
        """Return changes of a table; see `PartitionedTable`."""
        if not self._broken.is_set():
            return await self._watch(self._own.follow(table, after, wait_seconds, timeout))
        wait_ms = int(wait_seconds * MS_PER_SECOND)
        read = RelayRead(table, "", "", "", after, wait_ms, int(timeout * MS_PER_SECOND))
        return _make_rows(await self._relay(RelayQuestion(read=read), timeout))

    def _note_time(self, seconds: float) -> None:
        self._answer_seconds += ANSWER_WEIGHT * (seconds - self._answer_seconds)

    async def _watch(self, call: Awaitable[T], patience: float = 0.0) -> T:
        sent_at = read_instant()
        try:
            result = await call
        except HistoryLost:
            self._note_answer(sent_at)
            raise
        except LentilpathError as error:
            self._note_failure(error)
            if isinstance(error, OutcomeUnknown):
                self._answer_seconds = max(self._answer_seconds, patience)
            raise
        self._note_answer(sent_at)
        return result

    def _list_others(self, now: Instant) -> tuple[HostId, ...]:
        others = [host for host in self._list_helpers(now) if host != self._bus.host]
        self._turn += 1
        start = self._turn % len(others) if others else 0
        return (*others[start:], *others[:start])

    async def _relay(self, question: RelayQuestion, timeout: float) -> RelayReply:
        now = read_instant()
        if now < self._no_relay_before:
            raise TableUnavailable("the table does not answer this host nor those that it asked")
        for host in self._list_others(now)[:RELAYS_TRIED]:
            try:
                reply = await self._bus.ask(host, RELAY_TOPIC, question, RelayReply, timeout)
            except LentilpathError as error:
                log_event(Event.RELAY_FAILED, host=host, error=str(error))
                if question.commit is not None:
                    raise OutcomeUnknown(f"{host} did not answer for the table: {error}") from error
                continue
            if reply.outcome == "unknown":
                raise OutcomeUnknown(f"{host} was not answered by the table")
            if reply.outcome == "history-lost":
                raise HistoryLost("changes are gone")
            if reply.outcome != "unavailable":
                return reply
        self._no_relay_before = Instant(now + RELAY_PAUSE_MS)
        raise TableUnavailable("the table does not answer this host nor those that it asked")

    async def _answer(self, request: PeerRequest) -> RelayReply:
        if self._broken.is_set():
            return RelayReply("unavailable")
        question = msgspec.convert(request.body, RelayQuestion)
        try:
            if question.commit is not None:
                return await self._commit_for_other(question.commit)
            if question.read is not None:
                return await self._read_for_other(question.read)
        # The host that asked logs what it is told, with the id of the request.
        except HistoryLost:
            return RelayReply("history-lost")
        except OutcomeUnknown:
            return RelayReply("unknown")
        except LentilpathError:
            return RelayReply("unavailable")
        return RelayReply("unavailable")

    async def _commit_for_other(self, wanted: RelayCommit) -> RelayReply:
        transaction = PartTransaction(
            wanted.table,
            wanted.part,
            tuple((key, RowVersion(version)) for key, version in wanted.checks),
            wanted.puts,
            wanted.deletes,
        )
        commit = await self._watch(self._own.commit(transaction, wanted.timeout_ms / MS_PER_SECOND))
        outcome = "done" if commit.applied else "rejected"
        return RelayReply(outcome, (), commit.version, commit.clock_ms)

    async def _read_for_other(self, wanted: RelayRead) -> RelayReply:
        timeout = wanted.timeout_ms / MS_PER_SECOND
        if wanted.after < 0:
            call = self._own.read_part(wanted.table, wanted.part, wanted.first, wanted.end, timeout)
        else:
            call = self._own.follow(
                wanted.table, RowVersion(wanted.after), wanted.wait_ms / MS_PER_SECOND, timeout
            )
        found = await self._watch(call)
        rows = tuple(
            RelayedRow(each.part, each.key, each.value, each.version, each.is_dropped)
            for each in found.rows
        )
        return RelayReply("done", rows, found.version, found.clock_ms)


def _make_rows(reply: RelayReply) -> PartRows:
    rows = tuple(
        PartRow(row.part, row.key, row.value, RowVersion(row.version), row.is_dropped)
        for row in reply.rows
    )
    return PartRows(rows, RowVersion(reply.version), reply.clock_ms)
