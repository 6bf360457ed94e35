"""What a zone tells the others about its room and its queue."""

from __future__ import annotations

import msgspec

from lentilpath_core.ids import RegionId, ZoneId


class ZoneDigest(msgspec.Struct, frozen=True, array_like=True):
    """The room and the queue of one zone, as of some seconds ago."""

    zone: ZoneId
    region: RegionId
    free_millicores: int
    free_memory_mib: int
    free_accelerators: int
    total_millicores: int
    total_memory_mib: int
    total_accelerators: int
    largest_millicores: int
    """Processors of the largest worker that is in use."""
    largest_memory_mib: int
    largest_accelerators: int
    waiting_millicores: int
    """What the waiting tasks need together."""
    waiting_memory_mib: int
    waiting_accelerators: int
    oldest_wait_ms: int
    """How long the oldest task has waited that found no room."""
    accepting: bool = True
    """Whether the zone has a leader and takes new jobs."""
