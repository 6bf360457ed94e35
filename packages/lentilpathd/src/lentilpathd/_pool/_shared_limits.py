"""Limits of a host's HTTP connections, derived from the machine that it runs on."""

from __future__ import annotations

from lentilpath_http import HttpLimits, SharedLimits
from lentilpathd._pool._settings import PoolHostSettings

HELD_MEMORY_SHARE = 8
"""Part of the memory that unfinished requests may hold; their parsed copies and the allocator's
fragmentation take as much again."""


def derive_shared_limits(settings: PoolHostSettings) -> SharedLimits:
    """Return the limits of all connections of the host's HTTP servers together."""
    one_request_bytes = HttpLimits().max_body_bytes + HttpLimits().max_head_bytes
    return SharedLimits(
        # One of the largest legal size is served beside an equal one that is refused later.
        max_held_bytes=max(settings.memory_bytes // HELD_MEMORY_SHARE, 2 * one_request_bytes),
    )
