"""An in-memory table with one partition that a test can make unavailable."""

from __future__ import annotations

import asyncio

from lentilpath_core.errors import LentilpathError, TableBusy, TableUnavailable, WriteRejected
from lentilpath_core.ids import HostId, Incarnation, Instant, RowVersion
from lentilpath_core.settings import Address
from lentilpathd._pool._leadership import (
    PoolLeadership,
)
from lentilpathd._pool._ports import (
    PartitionCommitResult,
    PartitionRow,
    PartitionRows,
    PartitionTransaction,
)

ADDRESS = Address("127.0.0.1", 1)
MAX_ROW_BYTES = 65_536
"""Longest value that the platform's table accepts in all published deployments."""
MAX_ENTRIES = 100
"""Conditions, puts and deletes that the platform's table accepts in one transaction."""


class OnePartitionTable:
    """A table service that holds the rows of a single partition."""

    def __init__(self) -> None:
        self.is_unavailable = False
        self.is_busy = False
        self.unavailable_error: LentilpathError = TableUnavailable("away")
        self.rows: dict[str, PartitionRow] = {}
        self.version = 0
        self.clock_ms = 50_000
        self.changes: tuple[PartitionRow, ...] = ()
        self.follows = 0
        self.follow_gate: asyncio.Event | None = None
        self.followed_twice = asyncio.Event()
        self.emptied = asyncio.Event()

    async def commit(self, transaction, timeout, prefer_relay=False):
        if self.is_busy:
            raise TableBusy("too many calls")
        if self.is_unavailable:
            raise self.unavailable_error
        return self.apply(transaction)

    def apply(self, transaction: PartitionTransaction) -> PartitionCommitResult:
        """Do a write now, if its conditions hold."""
        for key, version in transaction.checks:
            found = self.rows[key].version if key in self.rows else 0
            if found != version:
                return PartitionCommitResult(False, RowVersion(self.version), self.clock_ms)
        entries = len(transaction.checks) + len(transaction.puts) + len(transaction.deletes)
        longest = max((len(value) for _, value in transaction.puts), default=0)
        if entries > MAX_ENTRIES or longest > MAX_ROW_BYTES:
            raise WriteRejected(f"{entries} entries, the longest of {longest} bytes")
        self.version += 1
        for key, value in transaction.puts:
            self.rows[key] = PartitionRow("cell", key, value, RowVersion(self.version))
        for key in transaction.deletes:
            self.rows.pop(key, None)
        if not self.rows:
            self.emptied.set()
        return PartitionCommitResult(True, RowVersion(self.version), self.clock_ms)

    def can_write(self, partitions: tuple[str, ...]) -> bool:
        return True

    def get_commit_timeout(self) -> float:
        return 0.1

    def get_silence_seconds(self) -> float:
        return 0.1

    def get_returned_at(self) -> Instant:
        return Instant(0)

    async def read_partition(self, table, partition, first, end, timeout):
        if self.is_unavailable:
            raise self.unavailable_error
        found = tuple(
            row for key, row in self.rows.items() if first <= key and (not end or key < end)
        )
        return PartitionRows(found, RowVersion(self.version), self.clock_ms)

    async def follow(self, table, after, wait_seconds, timeout):
        self.follows += 1
        if self.follow_gate is not None:
            await self.follow_gate.wait()
        if self.follows == 2:
            self.followed_twice.set()
        await asyncio.sleep(0)
        return PartitionRows(self.changes, RowVersion(after + 1), self.clock_ms)


def make_leadership(table: OnePartitionTable, host: str = "h1") -> PoolLeadership:
    return PoolLeadership(table, HostId(host), Incarnation(host + ".1"), ADDRESS)
