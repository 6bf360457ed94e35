"""Bounds of what all connections of a process hold together, whichever server accepted them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class SharedLimits:
    """Limits of all connections together; see `create_budget`."""

    max_connections: int = 4_096
    """Maximum number of open connections; beyond it the one that has waited longest for its caller
    is closed."""
    max_held_bytes: int = 33_554_432
    """Maximum size of unfinished and unanswered requests and of unread answers; beyond it the
    largest ones that wait for their caller are refused."""
    max_small_pieces_per_second: int = 10_000
    """Rate at which pieces are processed that are small for their number; see
    `FREE_PIECES`. Parsing one takes about 10 µs of a core."""


FREE_PIECES = 64
"""Number of reads and chunks of a request that are processed without a wait, whatever their size.
An ordinary request arrives in a few."""
BYTES_PER_FREE_PIECE = 1_024
"""Pieces of this size on average are processed without a wait; TCP segments are larger."""
PIECES_PER_TURN = 128
"""Number of small pieces that are processed at a time, which takes one or two milliseconds."""

LONE_REQUEST_FACTOR = 5
"""A request that waits alone gets so many times the rate, about half of a core."""


class Eviction(Enum):
    """What a connection was evicted for."""

    CONNECTIONS = "connections"
    MEMORY = "memory"


class Holder:
    """An open connection, as its budget sees it."""

    def __init__(self, evict: Callable[[bool], None]) -> None:
        self.evict = evict
        """Refuses or closes the connection; takes whether it must be closed at once."""
        self.held_bytes = 0


class ConnectionBudget:
    """The connections of one or more servers and the bytes that each of them holds."""

    def __init__(self, limits: SharedLimits, report: Callable[[Eviction], None]) -> None:
        self._limits = limits
        self._report = report
        self._holders: set[Holder] = set()
        self._waiting: dict[Holder, None] = {}
        """Connections that wait for their caller, in the order in which they began to."""
        self._held_bytes = 0
        self._next_turn_at = 0.0
        self._waiting_for_turns = 0
        """Number of requests that wait for their next turn."""

    @property
    def limits(self) -> SharedLimits:
        """The limits of all connections together."""
        return self._limits

    def admit(self, holder: Holder) -> bool:
        """Add a new connection; return whether there is room, for which an older one may go."""
        while len(self._holders) >= self._limits.max_connections:
            oldest = next(iter(self._waiting), None)
            self._report(Eviction.CONNECTIONS)
            if oldest is None:
                return False
            self.remove(oldest)
            oldest.evict(True)
        self._holders.add(holder)
        self._waiting[holder] = None
        return True

    def remove(self, holder: Holder) -> None:
        """Remove a connection and all that it holds."""
        if holder in self._holders:
            self._held_bytes -= holder.held_bytes
            holder.held_bytes = 0
        self._holders.discard(holder)
        self._waiting.pop(holder, None)

    def start_wait(self, holder: Holder) -> None:
        """Note that the connection waits for its caller from now on, and may be evicted."""
        self._waiting.pop(holder, None)
        if holder in self._holders:
            self._waiting[holder] = None

    def end_wait(self, holder: Holder) -> None:
        """Note that the caller waits for the server."""
        self._waiting.pop(holder, None)

    def hold(self, holder: Holder, size: int) -> None:
        """Set the bytes that the connection holds; the largest ones may be evicted for it."""
        if holder not in self._holders:
            return
        self._held_bytes += size - holder.held_bytes
        holder.held_bytes = size
        while self._held_bytes > self._limits.max_held_bytes:
            largest = max(self._waiting, key=lambda each: each.held_bytes, default=None)
            if largest is None or not largest.held_bytes:
                break
            self._held_bytes -= largest.held_bytes
            largest.held_bytes = 0
            self._report(Eviction.MEMORY)
            largest.evict(False)

    async def wait_for_turn(self) -> float:
        """Wait until the next `PIECES_PER_TURN` small pieces may be processed.

        Returns the waited time in seconds.
        """
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        turn_at = max(asked_at, self._next_turn_at)
        turn_seconds = PIECES_PER_TURN / self._limits.max_small_pieces_per_second
        if not self._waiting_for_turns:
            turn_seconds /= LONE_REQUEST_FACTOR
        self._next_turn_at = turn_at + turn_seconds
        self._waiting_for_turns += 1
        try:
            await asyncio.sleep(turn_at - asked_at)
        finally:
            self._waiting_for_turns -= 1
        return loop.time() - asked_at


class PieceCount:
    """The reads and chunks of one request, beside its size."""

    def __init__(self) -> None:
        self._left = FREE_PIECES

    def add_bytes(self, size: int) -> None:
        """Allow for the pieces of `size` received bytes."""
        self._left += size // BYTES_PER_FREE_PIECE

    def count(self) -> bool:
        """Count one piece; return whether the request has to wait for its next turn."""
        self._left -= 1
        if self._left >= 0:
            return False
        self._left += PIECES_PER_TURN
        return True


def create_budget(
    limits: SharedLimits | None = None, report: Callable[[Eviction], None] = lambda reason: None
) -> ConnectionBudget:
    """Return a budget that servers share; see `serve_http`.

    `report` is called for each connection that is evicted, or turned away with all others in use.
    """
    return ConnectionBudget(limits or SharedLimits(), report)
