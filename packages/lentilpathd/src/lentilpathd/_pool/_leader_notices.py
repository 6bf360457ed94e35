"""Notifies the leader of rows that a host has stored for jobs, and of jobs that may be stored."""

from __future__ import annotations

import asyncio

from lentilpath_core.errors import LentilpathError
from lentilpath_core.ids import JobId, RowVersion
from lentilpathd._clock import read_instant
from lentilpathd._events import Event, log_event
from lentilpathd._pool._context import PoolContext
from lentilpathd._pool._messages import (
    NOTICE_TOPIC,
    UNCLEAR_TOPIC,
    Empty,
    JobNotice,
    UnclearNotice,
)
from lentilpathd._pool._ports import PartitionTransaction

UNCLEAR_NOTICE_ATTEMPTS = 20
"""With the timeout and pauses at least 8 s, several times the answer time of the submission, so
that a later submission of the job is not refused by a leader that was silent for a moment."""
NOTICE_TIMEOUT_SECONDS = 0.4
"""Longer than the job feed's pause; beyond it the feed delivers the job sooner."""


class LeaderNotices:
    """Sends notices to the leader in the background."""

    def __init__(self, context: PoolContext) -> None:
        self._context = context
        self.pending: set[asyncio.Future[None]] = set()
        """Notices that are being sent."""

    def mark_unclear(self, job: JobId) -> None:
        """Record that the job may be stored and notify the leader, so that no host refuses it."""
        self._context.unclear_jobs.add(job, read_instant())
        self._send_in_background(UNCLEAR_TOPIC, UnclearNotice(job))

    def notify_new_leader(self) -> None:
        """Tell a leader that has just taken over which jobs may be stored, as the former one knew.

        It reads the stored jobs before it answers queries, so that these notices come first.
        """
        for job in self._context.unclear_jobs.list_jobs(read_instant()):
            self._send_in_background(UNCLEAR_TOPIC, UnclearNotice(job))

    def _send_in_background(self, topic: str, message: JobNotice | UnclearNotice) -> None:
        task = asyncio.ensure_future(self._send_to_leader(topic, message))
        self.pending.add(task)
        task.add_done_callback(self.pending.discard)

    def notify_stored(self, transaction: PartitionTransaction, version: RowVersion) -> None:
        """Notify the leader of a row that was stored for a job, with its version."""
        key, value = transaction.puts[0]
        notice = JobNotice(transaction.part, key, value, version)
        if not self._context.handle_local_notice(notice):
            self._send_in_background(NOTICE_TOPIC, notice)

    async def _send_to_leader(self, topic: str, message: JobNotice | UnclearNotice) -> None:
        leader = self._context.heartbeat_sender.get_leader()
        attempts = UNCLEAR_NOTICE_ATTEMPTS if topic == UNCLEAR_TOPIC else 1
        for _ in range(attempts):
            if leader is None or leader == self._context.settings.host:
                return
            try:
                await self._context.bus.ask(leader, topic, message, Empty, NOTICE_TIMEOUT_SECONDS)
                return
            except LentilpathError as error:
                # The leader's job feed delivers stored jobs even if this notice is lost.
                log_event(Event.LEADER_SILENT, leader=leader, error=str(error))
            await asyncio.sleep(NOTICE_TIMEOUT_SECONDS)
            leader = self._context.heartbeat_sender.get_leader()
