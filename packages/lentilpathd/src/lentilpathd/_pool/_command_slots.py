"""Bounds the commands in flight to one worker, and lets stops go before other commands."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from lentilpath_core.ids import Instant
from lentilpathd._clock import read_instant

MAX_CONCURRENT_COMMANDS = 3
"""Commands in flight to one worker, each on a connection of its own."""
MAX_CONCURRENT_STOPS = 48
"""While many stops wait. With a renewal and the connections of a former leader, which has three
commands and a renewal in flight and keeps eight idle connections, a worker's 64 suffice."""
MAX_EXTRA_SLOTS = 384
"""Slots beyond `MAX_CONCURRENT_COMMANDS` for all workers together. Each takes a descriptor, of
which the smallest hosts have 4,100."""
STOP_TARGET_MS = 1_000
"""Stops get as many slots as they need to be sent within this time. A third of the shortest time in
which the runs of a cancelled job have to be stopped; a worker that turns out to be slow is left the
rest."""
LEAST_ANSWER_MS = 50
"""The longest network round trip."""
ANSWER_MARGIN_MS = 50
"""How late the leader's loop may read an answer."""
DECISION_MS = 500
"""Time from the acknowledgement of a cancelling until the leader has decided its stops."""
ANSWER_WEIGHT = 0.125
"""Weight of an answer in the moving average of the answer times, unless it took longer."""
CHECK_SECONDS = 0.1
"""How often the slots of stops that wait are counted anew while none is answered."""


def count_stop_slots(unanswered: int, waited_ms: float, answer_ms: float) -> int:
    """Return how many slots send all stops in time, within the bounds of one worker.

    `unanswered` stops wait or are in flight, the first of those that wait for `waited_ms` so far. A
    slot carries one stop each `answer_ms`.
    """
    left_ms = max(STOP_TARGET_MS - waited_ms, answer_ms)
    needed = math.ceil(unanswered * answer_ms / left_ms)
    return min(max(needed, MAX_CONCURRENT_COMMANDS), MAX_CONCURRENT_STOPS)


def smooth_answer_ms(known_ms: float, answer_ms: float) -> float:
    """Return the answer time that is to be expected after one more answer.

    A longer one counts at once; shorter ones lower it gradually, down to a network round trip.
    """
    smoothed_ms = known_ms + ANSWER_WEIGHT * (answer_ms - known_ms)
    return max(answer_ms, smoothed_ms, LEAST_ANSWER_MS)


def count_stoppable_runs(cancel_ms: float, answer_ms: float) -> int:
    """Return how many runs of one worker can all be stopped `cancel_ms` after a cancelling.

    After each `answer_ms` every slot is free for another stop.
    """
    rounds = (cancel_ms - DECISION_MS) // (answer_ms + ANSWER_MARGIN_MS)
    return MAX_CONCURRENT_STOPS * max(1, int(rounds))


class ExtraSlots:
    """The slots that the links to all workers may have beyond `MAX_CONCURRENT_COMMANDS` each."""

    def __init__(self, most: int = MAX_EXTRA_SLOTS) -> None:
        self._left = most

    def take(self) -> bool:
        """Take a slot; return whether there was one."""
        if self._left <= 0:
            return False
        self._left -= 1
        return True

    def give_back(self) -> None:
        """Give a slot back."""
        self._left += 1


class CommandSlots:
    """Slots for the commands to one worker, each held until the command is answered."""

    def __init__(self, extra: ExtraSlots | None = None) -> None:
        self._extra = extra or ExtraSlots()
        self._in_flight = 0
        self._stops: deque[tuple[asyncio.Future[None], Instant]] = deque()
        """Stops that wait, and since when."""
        self._others: deque[asyncio.Future[None]] = deque()
        self._sent_stops: dict[asyncio.Future[None], Instant] = {}
        """Stops in flight, and since when; the oldest first."""
        self._answer_ms: float = LEAST_ANSWER_MS
        self._is_answering = False
        """Whether the worker has answered the last stop that it was sent."""
        self._check: asyncio.TimerHandle | None = None

    @property
    def waiting_stops(self) -> int:
        """Number of stops that wait for a slot."""
        return len(self._stops)

    def count_for_stops(self, now: Instant) -> int:
        """Return the number of slots that stops may have now."""
        if not self._is_answering or not self._stops:
            return MAX_CONCURRENT_COMMANDS
        answer_ms = self._answer_ms
        if self._sent_stops:
            answer_ms = max(answer_ms, now - next(iter(self._sent_stops.values())))
        unanswered = len(self._stops) + len(self._sent_stops)
        return count_stop_slots(unanswered, now - self._stops[0][1], answer_ms)

    @asynccontextmanager
    async def reserve(self) -> AsyncIterator[None]:
        """Hold a slot for a start or a pace; waits until no stop waits."""
        turn = asyncio.get_running_loop().create_future()
        self._others.append(turn)
        await self._wait_for(turn)
        try:
            yield
        finally:
            self._release(turn)

    @asynccontextmanager
    async def reserve_for_stop(self) -> AsyncIterator[None]:
        """Hold a slot for a stop. There are as many as the stops that wait need to be in time.

        A worker gets the additional slots once it answers stops, and none while it does not.
        """
        turn = asyncio.get_running_loop().create_future()
        self._stops.append((turn, read_instant()))
        await self._wait_for(turn)
        sent_at = read_instant()
        try:
            yield
            self._note_answer(read_instant() - sent_at)
        except asyncio.CancelledError:
            raise
        except BaseException:
            self._is_answering = False
            raise
        finally:
            self._release(turn)

    def _note_answer(self, answer_ms: int) -> None:
        self._is_answering = True
        self._answer_ms = smooth_answer_ms(self._answer_ms, answer_ms)

    async def _wait_for(self, turn: asyncio.Future[None]) -> None:
        self._grant_turns()
        try:
            await turn
        except asyncio.CancelledError:
            if not turn.cancelled():
                # The command was cancelled after its turn had come.
                self._release(turn)
            raise

    def _release(self, turn: asyncio.Future[None]) -> None:
        self._sent_stops.pop(turn, None)
        if self._in_flight > MAX_CONCURRENT_COMMANDS:
            self._extra.give_back()
        self._in_flight -= 1
        self._grant_turns()

    def _grant_turns(self) -> None:
        now = read_instant()
        self._drop_cancelled()
        while self._stops and self._in_flight < self.count_for_stops(now):
            if self._in_flight >= MAX_CONCURRENT_COMMANDS and not self._extra.take():
                break
            turn, _ = self._stops.popleft()
            self._sent_stops[turn] = now
            self._grant(turn)
            self._drop_cancelled()
        while not self._stops and self._others and self._in_flight < MAX_CONCURRENT_COMMANDS:
            turn = self._others.popleft()
            if not turn.done():
                self._grant(turn)
        if self._stops and self._check is None:
            loop = asyncio.get_running_loop()
            self._check = loop.call_later(CHECK_SECONDS, self._check_slots)

    def _drop_cancelled(self) -> None:
        """Drop cancelled stops from the front of the queue."""
        while self._stops and self._stops[0][0].done():
            self._stops.popleft()

    def _check_slots(self) -> None:
        self._check = None
        self._grant_turns()

    def _grant(self, turn: asyncio.Future[None]) -> None:
        turn.set_result(None)
        self._in_flight += 1
