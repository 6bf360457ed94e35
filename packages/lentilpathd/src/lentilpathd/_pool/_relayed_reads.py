"""Reads that a host makes for others. A reader asks again until its read has ended.

An answer of any size can thus be read through a relay while each message between the hosts is
answered in a short time, so that a relay that does not answer is noticed soon.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from lentilpath_core.errors import TableBusy
from lentilpath_core.ids import HostId, Incarnation
from lentilpathd._clock import MS_PER_SECOND
from lentilpathd._pool._ports import PartitionRows
from lentilpathd._pool._relay_messages import RelayRead

ANSWER_SECONDS = 0.4
"""Time after the long poll in which a reader gets its rows, or the word that they are being read.
It leaves half of the shortest timeout of a read for the way there and back."""
RETENTION_SECONDS = 5.0
"""The rows of a reader that does not ask for them any more are forgotten after this time."""
MAX_READS = 64
"""Reads in progress or retained, of which most have a few rows: two of each host that the table
turns away in the largest deployment."""

ReadKey = tuple[HostId, Incarnation, int]
"""The reader, and its number for the read."""


class RelayedReads:
    """The reads in progress for other hosts."""

    def __init__(self, read: Callable[[RelayRead], Awaitable[PartitionRows]]) -> None:
        self._read = read
        self._reads: dict[ReadKey, asyncio.Future[PartitionRows]] = {}

    async def get(self, key: ReadKey, request: RelayRead) -> PartitionRows | None:
        """Return the rows, or `None` while they are being read; raises what the read raises."""
        reading = self._reads.get(key)
        if reading is None:
            reading = self._begin(key, request)
        timeout = request.wait_ms / MS_PER_SECOND + ANSWER_SECONDS
        done, _ = await asyncio.wait((reading,), timeout=timeout)
        if not done:
            return None
        self._reads.pop(key, None)
        return reading.result()

    def _begin(self, key: ReadKey, request: RelayRead) -> asyncio.Future[PartitionRows]:
        if len(self._reads) >= MAX_READS:
            raise TableBusy(f"{MAX_READS} reads are in progress for other hosts")
        reading = asyncio.ensure_future(self._read(request))
        self._reads[key] = reading
        loop = asyncio.get_running_loop()
        reading.add_done_callback(lambda _: loop.call_later(RETENTION_SECONDS, self._forget, key))
        return reading

    def _forget(self, key: ReadKey) -> None:
        reading = self._reads.pop(key, None)
        if reading is not None and not reading.cancelled():
            # Its failure concerns nobody any more.
            reading.exception()
