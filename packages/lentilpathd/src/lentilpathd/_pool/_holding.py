"""Holds callers' writes while no path to the table answers, and releases them once one does."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lentilpath_core.ids import Instant
from lentilpathd._clock import MS_PER_SECOND, read_instant
from lentilpathd._events import Event, log_event
from lentilpathd._metrics import Metric
from lentilpathd._pool._guard import report_unexpected
from lentilpathd._pool._held_calls import RELEASE_INTERVAL_MS, HeldCall, HeldCalls
from lentilpathd._pool._metrics import PoolMetrics

EXPIRY_MARGIN_SECONDS = 0.1
"""Two release intervals: usually the release ends the calls that are too late."""


class CallHolder:
    """Lets calls wait until they may be written, or can't be answered in time any more."""

    def __init__(self, can_write: Callable[[tuple[str, ...]], bool], metrics: PoolMetrics) -> None:
        self._can_write = can_write
        self._metrics = metrics
        self._held = HeldCalls()
        self._results: dict[int, asyncio.Future[bool]] = {}
        self._releasing: asyncio.Task[None] | None = None

    async def wait(self, call: HeldCall) -> bool:
        """Hold a call; return whether it may be written now, or has to be refused."""
        if read_instant() >= call.get_release_until():
            return False
        result: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        number, dropped = self._held.add(call)
        self._results[number] = result
        self._end(dropped, may_write=False)
        if self._releasing is None and self._held:
            self._releasing = asyncio.ensure_future(self._release_calls())
        left_ms = call.get_release_until() - read_instant()
        try:
            async with asyncio.timeout(max(0.0, left_ms / MS_PER_SECOND) + EXPIRY_MARGIN_SECONDS):
                return await result
        except TimeoutError:
            # The release has failed; the call is refused in time all the same.
            return False
        finally:
            self._held.remove(number)
            self._results.pop(number, None)

    def _end(self, numbers: tuple[int, ...], may_write: bool) -> None:
        for number in numbers:
            result = self._results.pop(number)
            if not result.done():
                result.set_result(may_write)

    async def _release_calls(self) -> None:
        log_event(Event.CALLS_HELD)
        count = 0
        try:
            while self._held:
                count += self._release_next(read_instant())
                if self._held:
                    await asyncio.sleep(RELEASE_INTERVAL_MS / MS_PER_SECOND)
        except Exception as error:
            report_unexpected("held calls", error)
        finally:
            self._releasing = None
        self._metrics.set_gauge(Metric.CALLS_HELD, 0)
        log_event(Event.CALLS_RELEASED, released=count)

    def _release_next(self, now: Instant) -> int:
        """End the calls that are too late and release the next one; return how many that was."""
        self._metrics.set_gauge(Metric.CALLS_HELD, len(self._held))
        self._end(self._held.expire(now), may_write=False)
        released = self._held.release(now, self._can_write)
        if released is None:
            return 0
        self._end((released,), may_write=True)
        return 1
