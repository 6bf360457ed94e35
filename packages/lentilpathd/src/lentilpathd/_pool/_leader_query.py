"""Asks the leader about a job until it answers, beside a write that is held."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from lentilpath_core.ids import Instant, JobId
from lentilpathd._clock import MS_PER_SECOND, read_instant
from lentilpathd._pool._messages import StateReply

QUERY_RETRY_SECONDS = 0.2
"""Pause before the leader is asked again. With the time that it has for an answer, it is asked four
times within a caller's deadline."""


class LeaderQuery:
    """A query about one job, which begins when it is first needed."""

    def __init__(
        self,
        query: Callable[[JobId], Awaitable[StateReply | None]],
        job: JobId,
        give_up_at: Instant,
    ) -> None:
        self._query = query
        self._job = job
        self._give_up_at = give_up_at
        self._asking: asyncio.Task[StateReply] | None = None

    def start(self) -> asyncio.Task[StateReply]:
        """Ask from now on, if not yet begun; return the task that waits for the answer."""
        if self._asking is None:
            self._asking = asyncio.ensure_future(self._ask())
        return self._asking

    async def _ask(self) -> StateReply:
        while True:
            reply = await self._query(self._job)
            if reply is not None:
                return reply
            await asyncio.sleep(QUERY_RETRY_SECONDS)

    async def get_reply(self) -> StateReply | None:
        """Return the leader's answer, or `None` if there is none in time."""
        asking = self.start()
        left_ms = max(0, self._give_up_at - read_instant())
        await asyncio.wait((asking,), timeout=left_ms / MS_PER_SECOND)
        return asking.result() if asking.done() else None

    def cancel(self) -> None:
        """Stop asking."""
        if self._asking is not None:
            self._asking.cancel()
