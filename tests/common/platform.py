"""In-memory stand-ins for the platform's table and object store, with fault injection."""

import asyncio

from lentilpath_core.errors import OutcomeUnknown, TableUnavailable
from lentilpath_core.ids import RowVersion
from lentilpathd._ports import CommitResult, Row


class MemoryTable:
    """A transactional table. Row versions are never reused, not even after a delete."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.down = False
        self.lose_answers = 0
        """Number of commits that are still to be applied and then fail with an unknown outcome."""
        self.answer_seconds = 0.0
        """Delay of each response; if it exceeds the caller's timeout, the response is lost."""
        self.commits = 0
        self.reads = 0
        self.bytes_read = 0
        self.bytes_written = 0

    def get(self, key):
        return self.rows.get(key, Row(key, RowVersion(0), ""))

    async def commit(self, transaction, timeout):
        await self._reach()
        self.commits += 1
        conflicts = tuple(
            self.get(key) for key, version in transaction.checks if self.get(key).version != version
        )
        if not conflicts:
            for key, value in transaction.puts:
                self.put(key, value)
            for key in transaction.deletes:
                self.rows.pop(key, None)
        if self.lose_answers:
            self.lose_answers -= 1
            raise OutcomeUnknown("the answer was lost")
        if not await self._answer_in_time(timeout):
            raise OutcomeUnknown("the answer came too late")
        return CommitResult(not conflicts, conflicts)

    async def read(self, keys, timeout):
        await self._reach()
        self.reads += 1
        if not await self._answer_in_time(timeout):
            raise TableUnavailable("the answer came too late")
        return self._count(tuple(self.get(key) for key in keys))

    async def scan(self, prefix, after, limit, timeout):
        await self._reach()
        self.reads += 1
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
        return self._count(tuple(self.rows[key] for key in keys[:limit]))

    async def _reach(self):
        await asyncio.sleep(0)
        if self.down:
            raise TableUnavailable("the table is down")

    async def _answer_in_time(self, timeout):
        await asyncio.sleep(min(self.answer_seconds, timeout))
        return self.answer_seconds <= timeout

    def put(self, key, value):
        self.version += 1
        self.rows[key] = Row(key, RowVersion(self.version), value)
        self.bytes_written += len(key) + len(value)

    def _count(self, rows):
        self.bytes_read += sum(len(row.key) + len(row.value) for row in rows)
        return rows


class MemoryObjects:
    """An object store that can be switched off."""

    def __init__(self):
        self.objects = {}
        self.down = False

    async def put_object(self, key, data, timeout):
        self._check_up()
        self.objects[key] = data

    async def get_object(self, key, timeout):
        self._check_up()
        return self.objects.get(key)

    async def list_objects(self, prefix, timeout):
        self._check_up()
        return tuple(sorted(key for key in self.objects if key.startswith(prefix)))

    async def delete_object(self, key, timeout):
        self._check_up()
        self.objects.pop(key, None)

    def _check_up(self):
        if self.down:
            raise TableUnavailable("the object store is down")
