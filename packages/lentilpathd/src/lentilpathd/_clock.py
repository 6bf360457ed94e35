"""Reads the clocks; no other module of the daemon does."""

import time

from lentilpath_core.ids import Instant, WallTime

MS_PER_SECOND = 1_000
NS_PER_MS = 1_000_000


def read_instant() -> Instant:
    """Return the time in ms of a monotonic clock that also counts while the host is suspended."""
    return Instant(time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS)


def read_processor_ms() -> int:
    """Return the processor time in ms that all threads of this process have used so far."""
    return time.process_time_ns() // NS_PER_MS


def read_wall_time() -> WallTime:
    """Return the wall clock time in ms since 1970, for records that people read."""
    return WallTime(time.time_ns() // NS_PER_MS)
