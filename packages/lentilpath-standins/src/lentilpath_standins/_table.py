"""An in-memory transactional table: versioned rows, conditional writes, ordered scans."""

from __future__ import annotations

import msgspec
from sortedcontainers import SortedDict  # type: ignore[import-untyped]


class Check(msgspec.Struct, frozen=True):
    """A precondition: the version that a row must have; 0 requires that the row is absent."""

    key: str
    version: int


class Put(msgspec.Struct, frozen=True):
    """A row to write."""

    key: str
    value: str


class Commit(msgspec.Struct, frozen=True):
    """One transaction: it applies as a whole if all checks hold, else not at all."""

    id: str
    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


class TableRow(msgspec.Struct, frozen=True):
    """A row as it is returned; an absent row has version 0 and no value."""

    key: str
    version: int
    value: str | None


class MemoryTable:
    """Rows by key. All rows share one version counter, so a recreated row gets a new version."""

    def __init__(self) -> None:
        self._rows: SortedDict[str, TableRow] = SortedDict()
        self._last_version = 0

    def commit(self, commit: Commit) -> tuple[TableRow, ...]:
        """Apply `commit` and return `()`, or change nothing and return the conflicting rows."""
        conflicts = tuple(
            self.read(check.key)
            for check in commit.checks
            if self.read(check.key).version != check.version
        )
        if conflicts:
            return conflicts
        for put in commit.puts:
            self._last_version += 1
            self._rows[put.key] = TableRow(put.key, self._last_version, put.value)
        for key in commit.deletes:
            self._rows.pop(key, None)
        return ()

    def read(self, key: str) -> TableRow:
        """Return the row of `key`; an absent row has version 0."""
        return self._rows.get(key) or TableRow(key, 0, None)

    def scan(self, prefix: str, after: str, limit: int) -> tuple[TableRow, ...]:
        """Return up to `limit` rows in key order whose keys have `prefix` and follow `after`."""
        rows: list[TableRow] = []
        for key in self._rows.irange(minimum=max(prefix, after)):
            if not key.startswith(prefix) or len(rows) == limit:
                break
            if key > after:
                rows.append(self._rows[key])
        return tuple(rows)
