"""Summary of a zone's capacity and queue that it sends to the other zones."""

from __future__ import annotations

import msgspec

from lentilpath_core.ids import RegionId, ZoneId


class ZoneDigest(msgspec.Struct, frozen=True, array_like=True):
    """Capacity and queue of one zone, as of some seconds ago."""

    zone: ZoneId
    region: RegionId
    free_millicores: int
    free_memory_mib: int
    free_accelerators: int
    total_millicores: int
    total_memory_mib: int
    total_accelerators: int
    largest_millicores: int
    """Largest millicores of any worker that is in use."""
    largest_memory_mib: int
    largest_accelerators: int
    waiting_millicores: int
    """Total millicores that the waiting tasks need."""
    waiting_memory_mib: int
    waiting_accelerators: int
    oldest_wait_ms: int
    """How long the oldest waiting task, which found no room, has waited."""
    accepting: bool = True
    """Whether the zone has a leader and accepts new jobs."""
