"""The only place where the daemon reads clocks."""

import time

from lentilpath_core.ids import Instant, WallTime

MS_PER_SECOND = 1_000
NS_PER_MS = 1_000_000


def read_instant() -> Instant:
    """Return the present time on a clock that also counts while the machine is suspended."""
    return Instant(time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS)


def read_wall_time() -> WallTime:
    """Return the present time of day, for records that people read."""
    return WallTime(time.time_ns() // NS_PER_MS)
