"""Messages by which a host asks a relay host to call the table service for it."""

from __future__ import annotations

import msgspec

from lentilpath_core.ids import RowVersion
from lentilpathd._pool._ports import PartitionRow, PartitionRows


class RelayCommit(msgspec.Struct, frozen=True):
    """Asks another host to commit a transaction."""

    table: str
    part: str
    checks: tuple[tuple[str, int], ...]
    puts: tuple[tuple[str, bytes], ...]
    deletes: tuple[str, ...]
    timeout_ms: int


class RelayRead(msgspec.Struct, frozen=True):
    """Asks another host to read rows of a partition, or changes of a table."""

    table: str
    part: str
    first: str
    end: str
    after: int
    """Version from which to follow changes; -1 to read rows."""
    wait_ms: int
    timeout_ms: int
    number: int
    """The reader's number for this read, which it sends again until the read has ended."""


class RelayedRow(msgspec.Struct, frozen=True, array_like=True):
    """A row returned by a relay host."""

    part: str
    key: str
    value: bytes
    version: int
    is_deleted: bool


class RelayReply(msgspec.Struct, frozen=True):
    """Result of a relayed call."""

    outcome: str
    """`done`, `rejected` (a condition did not hold), `invalid`, `unavailable`, `unknown`,
    `history-lost`, or `reading` (the reader asks again)."""
    rows: tuple[RelayedRow, ...] = ()
    version: int = 0
    clock_ms: int = 0


class RelayRequest(msgspec.Struct, frozen=True):
    """A relayed call; exactly one of the fields is set."""

    commit: RelayCommit | None = None
    read: RelayRead | None = None


def make_rows(reply: RelayReply) -> PartitionRows:
    """Return the rows of a relay's reply."""
    rows = tuple(
        PartitionRow(row.part, row.key, row.value, RowVersion(row.version), row.is_deleted)
        for row in reply.rows
    )
    return PartitionRows(rows, RowVersion(reply.version), reply.clock_ms)
