"""Stand-in for the platform's store: rows, transactions and the feed of changes."""

from __future__ import annotations

import asyncio
import base64
import time
from dataclasses import dataclass, field
from typing import Any

from standins2.http import Answer, Call, Server

TX_SECONDS = 0.005
READ_SECONDS = 0.004
MAX_ROWS = 500
PARTITION_KEY = tuple[str, str]


@dataclass
class Change:
    """One changed row; `value` is `None` for a removed one."""

    version: int
    table: str
    part: str
    key: str
    value: bytes | None


@dataclass
class Store:
    """All rows, in memory. Faults are applied by `gate`, which may raise `Hang` or `Drop`."""

    partitions: dict[PARTITION_KEY, dict[str, tuple[bytes, int]]] = field(default_factory=dict)
    changes: list[Change] = field(default_factory=list)
    version: int = 0
    began: float = field(default_factory=time.monotonic)
    server: Server = field(init=False)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    locks: dict[PARTITION_KEY, asyncio.Lock] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.server = Server(self.answer)

    def now_ms(self) -> int:
        """Return the store's steady clock."""
        return int((time.monotonic() - self.began) * 1_000)

    def put(self, table: str, part: str, key: str, value: bytes) -> None:
        """Write one row, as the operator and the runners do."""
        self.version += 1
        self._set(table, part, key, value)
        self._wake()

    def remove(self, table: str, part: str, key: str) -> None:
        """Remove one row."""
        if key in self.partitions.get((table, part), {}):
            self.version += 1
            self._set(table, part, key, None)
            self._wake()

    def read(self, table: str, part: str) -> dict[str, bytes]:
        """Return the values of a partition."""
        return {key: value for key, (value, _) in self.partitions.get((table, part), {}).items()}

    def _set(self, table: str, part: str, key: str, value: bytes | None) -> None:
        rows = self.partitions.setdefault((table, part), {})
        if value is None:
            rows.pop(key, None)
        else:
            rows[key] = (value, self.version)
        self.changes.append(Change(self.version, table, part, key, value))

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, call: Call) -> Answer:
        """Answer a call of the system."""
        if call.path == "/rows-tx":
            return await self._transact(call.json())
        if call.path == "/rows-get":
            await asyncio.sleep(READ_SECONDS)
            return self._get(call.query)
        if call.path == "/rows-feed":
            return await self._feed(call.query)
        return 400, {}

    async def _transact(self, message: dict[str, Any]) -> Answer:
        entries = [*message["expectedRev"], *message["setKeys"], *message["remove"]]
        parts = {each["part"] for each in entries}
        if len(parts) > 1 or len(entries) > 100:
            return 400, {}
        lock = self.locks.setdefault(("", parts.pop() if parts else ""), asyncio.Lock())
        async with lock:
            await asyncio.sleep(TX_SECONDS)
        failed = []
        for each in message["expectedRev"]:
            rows = self.partitions.get((each["table"], each["part"]), {})
            value, version = rows.get(each["key"], (b"", 0))
            if version != each["rowVersion"]:
                failed.append(self._show(each["table"], each["part"], each["key"], value, version))
        if failed:
            rows_shown = [row for row in failed if row["rowVersion"]]
            return 412, {
                "rows": rows_shown,
                "rowVersion": self.version,
                "nowMs": self.now_ms(),
            }
        self.version += 1
        for each in message["setKeys"]:
            value = base64.b64decode(each["value"])
            self._set(each["table"], each["part"], each["key"], value)
        for each in message["remove"]:
            self._set(each["table"], each["part"], each["key"], None)
        self._wake()
        return 200, {"rowVersion": self.version, "nowMs": self.now_ms()}

    def _show(self, table: str, part: str, key: str, value: bytes, version: int) -> dict[str, Any]:
        return {
            "table": table,
            "part": part,
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rowVersion": version,
        }

    def _get(self, query: dict[str, str]) -> Answer:
        table, part = query["table"], query.get("part", "")
        rows = self.partitions.get((table, part), {})
        first, end = query.get("from", ""), query.get("to", "")
        keys = sorted(key for key in rows if key >= first and (not end or key < end))
        limit = min(MAX_ROWS, int(query.get("limit", MAX_ROWS)))
        return 200, {
            "rows": [self._show(table, part, key, *rows[key]) for key in keys[:limit]],
            "hasMore": len(keys) > limit,
            "rowVersion": self.version,
            "nowMs": self.now_ms(),
        }

    async def _feed(self, query: dict[str, str]) -> Answer:
        table, after = query["table"], int(query["after"])
        ends_at = time.monotonic() + int(query.get("waitMs", "0")) / 1_000
        while True:
            found, newest = self._list_changes(table, after), self.version
            left = ends_at - time.monotonic()
            if found or left <= 0:
                break
            changed = self.changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                pass
        await asyncio.sleep(READ_SECONDS)
        rows = [
            {
                **self._show(each.table, each.part, each.key, each.value or b"", each.version),
                "deleted": each.value is None,
            }
            for each in found[:MAX_ROWS]
        ]
        version = found[MAX_ROWS - 1].version if len(found) > MAX_ROWS else newest
        return 200, {"rows": rows, "rowVersion": version, "nowMs": self.now_ms()}

    def _list_changes(self, table: str, after: int) -> list[Change]:
        found = []
        for each in reversed(self.changes):
            if each.version <= after:
                break
            if each.table == table:
                found.append(each)
        return found[::-1]
