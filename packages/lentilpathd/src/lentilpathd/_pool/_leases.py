"""Leases of workers: their ends by the worker's clock and by ours, and their first extension."""

from __future__ import annotations

from collections.abc import Callable

from lentilpath_core.ids import Instant, WorkerTime
from lentilpathd._clock import read_instant
from lentilpathd._events import Event, log_event
from lentilpathd._pool._guard import report_unexpected
from lentilpathd._pool._ports import PoolWorker

RENEWAL_TIMEOUT_SECONDS = 0.7
"""Added to the long poll; several times the longest network round trip."""
CLOCK_DRIFT = 0.02
"""Maximum clock drift: a worker's clock may run slow by this fraction."""
LEASE_MARGIN_MS = 150
"""Covers the rounding of both clocks and an event loop that is delayed by one period of its CPU
quota, 100 ms."""


def bound_lease_ms(lease_ms: int) -> int:
    """Return the longest time in ms, on the leader's clock, that a lease may last."""
    return int(lease_ms / (1 - CLOCK_DRIFT) + LEASE_MARGIN_MS) + 1


class WorkerClock:
    """Last known reading of a worker's clock."""

    def __init__(self) -> None:
        self._reading: WorkerTime | None = None
        self._read_at = Instant(0)

    def observe(self, reading: WorkerTime, now: Instant) -> None:
        """Store a reading that arrived at `now`."""
        self._reading = reading
        self._read_at = now

    def make_lease(self, now: Instant, lease_ms: int) -> tuple[WorkerTime, Instant] | None:
        """Return the end of a lease on the worker's clock, and an upper bound of it on ours.

        `None` while no reading of the worker's clock is known, and for a lease of no length.
        """
        if self._reading is None or lease_ms <= 0:
            return None
        until = WorkerTime(self._reading + (now - self._read_at) + lease_ms)
        return until, Instant(self._read_at + bound_lease_ms(until - self._reading))


async def extend_lease(
    client: PoolWorker,
    get_lease_ms: Callable[[], int],
    note_lease: Callable[[Instant], None],
    may_command: Callable[[], bool] = lambda: True,
) -> None:
    """Extend the leases of all runs on a worker before its runs are known.

    Calls `note_lease` with the time at which the leases expire at the latest, right before it sends
    the extension. A worker that does not answer is sent none. It refuses earlier leaders from its
    first answer on.
    """
    clock = WorkerClock()
    try:
        report = await client.renew(0, None, 0, RENEWAL_TIMEOUT_SECONDS)
        clock.observe(report.clock, read_instant())
        lease = clock.make_lease(read_instant(), get_lease_ms())
        if lease is None or not may_command():
            return
        until, ends_at = lease
        note_lease(ends_at)
        await client.renew(0, until, 0, RENEWAL_TIMEOUT_SECONDS)
    except Exception as error:
        report_unexpected("former worker", error)
        log_event(Event.LEASE_NOT_EXTENDED, error=str(error))
    finally:
        client.close()
