"""Deletes expired records of idempotency keys and of ended deferred requests."""

from __future__ import annotations

import asyncio
import uuid

import msgspec

from lentilpath_core.errors import LentilpathError
from lentilpath_core.ids import WallTime, WriteId, ZoneId
from lentilpath_core.requests.deferred import DONE_PREFIX, decode_deferred
from lentilpath_core.requests.keys import KEY_PREFIX, KEY_RETENTION_MS, decode_key_record
from lentilpathd._authority import Leadership
from lentilpathd._clock import read_wall_time
from lentilpathd._directory import Directory
from lentilpathd._events import Event, log_warning_event
from lentilpathd._ports import Row, Table, Transaction
from lentilpathd._requests.rows import TABLE_TIMEOUT_SECONDS

PAGE_ROWS = 100
PAGE_PAUSE_SECONDS = 1.0
"""Pause between two pages, which limits the sweep's share of the table's reads and writes."""


class Sweeper:
    """Deletes expired rows page by page.

    Only the leader of the cell's first zone sweeps, so that no two hosts do the same work.
    """

    def __init__(
        self, table: Table, directory: Directory, zone: ZoneId, leadership: Leadership
    ) -> None:
        self._table = table
        self._directory = directory
        self._zone = zone
        self._leadership = leadership
        self._scan_positions = dict.fromkeys((KEY_PREFIX, DONE_PREFIX), "")

    async def run(self) -> None:
        """Sweep page by page until cancelled."""
        while True:
            await asyncio.sleep(PAGE_PAUSE_SECONDS)
            leads = self._leadership.get_authority() is not None
            if not leads or self._zone != self._directory.list_zones()[0]:
                continue
            for prefix in self._scan_positions:
                try:
                    await self.sweep_page(prefix, read_wall_time())
                except LentilpathError as error:
                    log_warning_event(Event.KEY_RECORD_FAILED, prefix=prefix, error=str(error))

    async def sweep_page(self, prefix: str, now: WallTime) -> None:
        """Delete the expired rows of the next page of `prefix`."""
        rows = await self._table.scan(
            prefix, self._scan_positions[prefix], PAGE_ROWS, TABLE_TIMEOUT_SECONDS
        )
        self._scan_positions[prefix] = rows[-1].key if len(rows) == PAGE_ROWS else ""
        old = [row for row in rows if now - _read_written_at(row) > KEY_RETENTION_MS]
        if not old:
            return
        transaction = Transaction(
            WriteId(uuid.uuid4().hex),
            tuple((row.key, row.version) for row in old),
            (),
            tuple(row.key for row in old),
        )
        # After a conflict or a lost answer the next sweep deletes the rows that are left.
        await self._table.commit(transaction, TABLE_TIMEOUT_SECONDS)


def _read_written_at(row: Row) -> WallTime:
    try:
        if row.key.startswith(KEY_PREFIX):
            return decode_key_record(row.value).written_at
        return decode_deferred(row.value).accepted_at
    except msgspec.DecodeError:
        # Another version of the program wrote this row. It is treated as new, so that a version
        # that can read it decides.
        return read_wall_time()
