"""Extends the leases of runs that may be in progress, while a new leader reads the stored state."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lentilpath_core.ids import Epoch, Instant
from lentilpath_core.pool import LeaseSent, ListedWorker
from lentilpathd._clock import read_instant
from lentilpathd._pool._context import PoolContext
from lentilpathd._pool._leadership import PoolLeadership
from lentilpathd._pool._leases import extend_lease
from lentilpathd._pool._recovery import read_commanded_workers, read_repeatedly
from lentilpathd._pool._tokens import make_token


class LeaseExtension:
    """The first extension of leases by the leader of an epoch."""

    def __init__(
        self,
        context: PoolContext,
        epoch: Epoch,
        leadership: PoolLeadership,
        may_command: Callable[[], bool],
        handle_event: Callable[[LeaseSent], None],
    ) -> None:
        self._context = context
        self._epoch = epoch
        self._leadership = leadership
        self._may_command = may_command
        self._handle_event = handle_event
        self.sent: list[LeaseSent] = []
        """The extensions that were sent, also those to workers that are not known to the term."""

    async def run(self) -> None:
        """Extend the leases on all workers that the former leader could command."""
        table = self._context.table
        since = self._leadership.suspends_since
        former_workers = await read_repeatedly(
            lambda: read_commanded_workers(table, since), self._epoch
        )
        await asyncio.gather(*(self._extend(each) for each in former_workers))

    async def _extend(self, worker: ListedWorker) -> None:
        client = self._context.create_worker(worker, make_token(self._epoch, 0))

        def note_lease(ends_at: Instant) -> None:
            sent = LeaseSent(worker.worker, worker.life, ends_at)
            self.sent.append(sent)
            self._handle_event(sent)

        await extend_lease(client, self._get_lease_ms, note_lease, self._may_command)

    def _get_lease_ms(self) -> int:
        # Who has a majority is not known before the list of workers is read.
        is_confirmed = self._leadership.is_confirmed(read_instant())
        return self._context.settings.lease_ms if is_confirmed else 0
