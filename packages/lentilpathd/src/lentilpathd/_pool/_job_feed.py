"""Delivers accepted and cancelled jobs from the table to the leader."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Container

from lentilpath_core.errors import LentilpathError, OutcomeUnknown, Unavailable
from lentilpath_core.ids import Instant, JobId, RowVersion
from lentilpath_core.pool import JobAccepted, JobCancelled
from lentilpathd._clock import read_instant
from lentilpathd._events import Event, log_event
from lentilpathd._pool._ports import HistoryLost, PartitionedTable, PartitionRow
from lentilpathd._pool._records import JOBS_TABLE
from lentilpathd._pool._recovery import make_job_events, read_all_jobs

LONG_POLL_SECONDS = 1.5
"""Duration of a long poll. With the timeout it stays under the 3 s in which an accepted job must be
visible."""
BATCH_DELAY_SECONDS = 0.3
"""Pause after a call that returned jobs, so that several jobs share the next one. Hosts notify the
leader of each job at once, so the feed only delivers jobs whose notice was lost."""
FOLLOW_TIMEOUT_SECONDS = 1.0
"""Added to the long poll; after that the call fails."""
RETRY_SECONDS = 0.2
"""Allows several retries within the 3 s in which an accepted job must be visible."""
UNCONFIRMED_RETRY_SECONDS = 0.1
"""About a quarter of the interval between renewals of the leader's lease; a renewal confirms it."""

HandleJob = Callable[[JobAccepted | JobCancelled, RowVersion], None]


class JobFeed:
    """Follows the changes of the jobs table.

    Jobs are delivered only while the leader's lease is confirmed. Any job that a leader has handled
    was therefore stored before the next leader's takeover, which recovers it as a job that may have
    been started.
    """

    def __init__(
        self,
        table: PartitionedTable,
        is_confirmed: Callable[[Instant], bool],
        handle_job: HandleJob,
    ) -> None:
        self._table = table
        self._is_confirmed = is_confirmed
        self._handle_job = handle_job
        self._version = RowVersion(0)

    async def run(self, version: RowVersion, ended: Container[JobId]) -> None:
        """Follow changes after `version` until cancelled; skip jobs in `ended`."""
        self._version = version
        while True:
            try:
                await self._follow(ended)
            except HistoryLost:
                await self._resync(ended)
            except LentilpathError as error:
                log_event(Event.JOBS_NOT_READ, error=str(error))
                await asyncio.sleep(RETRY_SECONDS)

    def handle_notice(self, row: PartitionRow, ended: Container[JobId]) -> bool:
        """Deliver a row that a host reports as stored; the feed delivers it again later.

        Returns whether the lease allowed it.
        """
        return self._deliver((row,), row.version, ended)

    async def _follow(self, ended: Container[JobId]) -> None:
        changes = await self._table.follow(
            JOBS_TABLE, self._version, LONG_POLL_SECONDS, LONG_POLL_SECONDS + FOLLOW_TIMEOUT_SECONDS
        )
        if not self._deliver(changes.rows, changes.version, ended):
            await asyncio.sleep(UNCONFIRMED_RETRY_SECONDS)
            return
        self._version = max(self._version, changes.version)
        if changes.rows:
            await asyncio.sleep(BATCH_DELAY_SECONDS)

    def _deliver(
        self, rows: tuple[PartitionRow, ...], version: RowVersion, ended: Container[JobId]
    ) -> bool:
        """Deliver the jobs in the rows; return whether the lease allowed it."""
        if not self._is_confirmed(read_instant()):
            return False
        for event in make_job_events(rows, ended, recovered=False):
            self._handle_job(event, version)
        return True

    async def _resync(self, ended: Container[JobId]) -> None:
        try:
            reads = await read_all_jobs(self._table)
        except (Unavailable, OutcomeUnknown) as error:
            log_event(Event.JOBS_NOT_READ, error=str(error))
            await asyncio.sleep(RETRY_SECONDS)
            return
        rows = tuple(row for read in reads for row in read.rows)
        version = min(read.version for read in reads)
        if self._deliver(rows, version, ended):
            self._version = max(self._version, version)
        await asyncio.sleep(RETRY_SECONDS)
