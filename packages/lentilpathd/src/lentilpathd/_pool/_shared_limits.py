"""Limits of a host's HTTP connections, derived from the machine that it runs on."""

from __future__ import annotations

from lentilpath_http import HttpLimits, SharedLimits
from lentilpathd._pool._settings import PoolHostSettings

DESCRIPTOR_SHARE = 2
"""The other descriptors are for connections to workers, the table and other hosts, for files, and
for connections that the event loop accepts before it closes older ones."""
HELD_MEMORY_SHARE = 8
"""Part of the memory that unfinished requests may hold; their parsed copies and the allocator's
fragmentation take as much again."""
MEMORY_PER_CONNECTION_BYTES = 262_144
"""Memory of a connection with its kernel buffers of both directions, which the kernel doubles, if
its caller neither sends nor reads on."""
SMALL_PIECES_PER_CORE_SECOND = 10_000
"""Takes about a tenth of a core."""


def derive_shared_limits(settings: PoolHostSettings) -> SharedLimits:
    """Return the limits of all connections of the host's HTTP servers together."""
    most_by_descriptors = settings.max_descriptors // DESCRIPTOR_SHARE
    most_by_memory = settings.memory_bytes // MEMORY_PER_CONNECTION_BYTES
    one_request_bytes = HttpLimits().max_body_bytes + HttpLimits().max_head_bytes
    return SharedLimits(
        max_connections=max(1, min(most_by_descriptors, most_by_memory)),
        # One of the largest legal size is served beside an equal one that is refused later.
        max_held_bytes=max(settings.memory_bytes // HELD_MEMORY_SHARE, 2 * one_request_bytes),
        max_small_pieces_per_second=max(1, int(SMALL_PIECES_PER_CORE_SECOND * settings.cores)),
    )
