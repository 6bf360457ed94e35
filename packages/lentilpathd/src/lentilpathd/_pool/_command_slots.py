"""Bounds the commands in flight to one worker, and lets stops go before other commands."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

MAX_CONCURRENT_COMMANDS = 3
"""Commands in flight to one worker, each on a connection of its own."""
MAX_CONCURRENT_STOPS = 16
"""While many stops wait. With the other commands and a renewal, three hosts stay below the 64
connections of a worker."""
MAX_STOPS_PER_SLOT = 20
"""A slot carries as many in a second over the longest network round trip, 50 ms. Only if more wait,
further connections are opened."""


class CommandSlots:
    """Slots for the commands to one worker, each held until the command is answered."""

    def __init__(self) -> None:
        self._in_flight = 0
        self._stop_limit = MAX_CONCURRENT_COMMANDS
        self._stops: deque[asyncio.Future[None]] = deque()
        self._others: deque[asyncio.Future[None]] = deque()

    @property
    def waiting_stops(self) -> int:
        """Number of stops that wait for a slot."""
        return len(self._stops)

    @property
    def stop_limit(self) -> int:
        """Number of slots that stops may have now."""
        return self._stop_limit

    @asynccontextmanager
    async def reserve(self) -> AsyncIterator[None]:
        """Hold a slot for a start or a pace; waits until no stop waits."""
        await self._acquire(self._others)
        try:
            yield
        finally:
            self._release()

    @asynccontextmanager
    async def reserve_for_stop(self) -> AsyncIterator[None]:
        """Hold a slot for a stop. The slots grow in number while stops are answered and many wait.

        A stop that fails takes the additional slots back, so that a silent worker gets none.
        """
        await self._acquire(self._stops)
        is_answered = False
        try:
            yield
            is_answered = True
        finally:
            self._adjust_limit(is_answered)
            self._release()

    def _adjust_limit(self, is_answered: bool) -> None:
        if not is_answered or not self._stops:
            self._stop_limit = MAX_CONCURRENT_COMMANDS
        elif len(self._stops) > MAX_STOPS_PER_SLOT * self._stop_limit:
            self._stop_limit = min(self._stop_limit + 1, MAX_CONCURRENT_STOPS)

    async def _acquire(self, queue: deque[asyncio.Future[None]]) -> None:
        turn = asyncio.get_running_loop().create_future()
        queue.append(turn)
        self._grant_turns()
        try:
            await turn
        except asyncio.CancelledError:
            if not turn.cancelled():
                # The command was cancelled after its turn had come.
                self._release()
            raise

    def _release(self) -> None:
        self._in_flight -= 1
        self._grant_turns()

    def _grant_turns(self) -> None:
        while self._stops and self._in_flight < self._stop_limit:
            self._grant_turn(self._stops.popleft())
        while not self._stops and self._others and self._in_flight < MAX_CONCURRENT_COMMANDS:
            self._grant_turn(self._others.popleft())

    def _grant_turn(self, turn: asyncio.Future[None]) -> None:
        if not turn.done():
            turn.set_result(None)
            self._in_flight += 1
