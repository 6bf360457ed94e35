"""Circuit breaker of one path to the table: decides from unanswered calls whether it is silent.

Designed for a table that stops answering while callers keep submitting: a write that was sent and
gets no answer leaves its caller in doubt, so the decision has to be made before the next one is
sent. A path is unresponsive once its oldest unanswered call is later than the answers before it
make likely, and nothing arrives on it meanwhile: behind a large answer on a slow link, others are
late. Any answer closes the breaker. There is no I/O here, and the time is an argument.
"""

from __future__ import annotations

import itertools
from enum import Enum
from typing import NewType

from lentilpath_core.ids import Instant

MIN_SILENCE_MS = 120
"""More than twice the longest usual answer: 45 ms on the network, and 4 ms in the table. A caller
loses no more than a 25th of its 3 s by waiting for this."""
SILENCE_FACTOR = 6.0
"""Answers of a slow table reach several times their mean."""
MAX_SILENCE_MS = 1_000
"""A third of a caller's deadline, so that a slow table that falls silent is noticed in time."""
SLOWER_WEIGHT = 0.5
"""Weight of an answer that is slower than the mean. The first answer of a table that has become 75
times slower makes the next ones likely, so the breaker does not flap."""
FASTER_WEIGHT = 0.1
"""Weight of an answer that is faster than the mean."""

CallNumber = NewType("CallNumber", int)


class TableRoute(Enum):
    """How a call reaches the table."""

    DIRECT = "direct"
    RELAY = "relay"


class PathBreaker:
    """The calls on one path, to one partition or to all of them."""

    def __init__(self) -> None:
        self._numbers = itertools.count()
        self._pending: dict[CallNumber, Instant] = {}
        """When the calls in flight were sent, oldest first."""
        self._failed_sent_at: Instant | None = None
        """When the oldest call was sent that was given up without an answer since the last one."""
        self._answered_sent_at = Instant(0)
        """When the latest call was sent that has been answered."""
        self._answered_at = Instant(0)
        """When the latest answer, or part of one, has arrived."""
        self._mean_ms = 0.0

    def begin(self, now: Instant) -> CallNumber:
        """Record that a call is sent; return its number, for `finish`."""
        number = CallNumber(next(self._numbers))
        self._pending[number] = now
        return number

    def finish(self, call: CallNumber, is_answered: bool, now: Instant) -> None:
        """Record that a call was answered, or that nobody waits for its answer any longer."""
        sent_at = self._pending.pop(call)
        if is_answered:
            self._learn(now - sent_at)
            self._answered_at = now
            self._answered_sent_at = max(self._answered_sent_at, sent_at)
            self._failed_sent_at = None
        elif self._is_silence(sent_at, now) and self._failed_sent_at is None:
            self._failed_sent_at = sent_at

    def hear(self, now: Instant) -> None:
        """Record that a part of an answer has arrived: the path works, however full it is."""
        self._answered_at = max(self._answered_at, now)

    def _learn(self, answer_ms: float) -> None:
        weight = SLOWER_WEIGHT if answer_ms > self._mean_ms else FASTER_WEIGHT
        self._mean_ms += weight * (answer_ms - self._mean_ms)

    def get_silence_ms(self) -> float:
        """Return after how long an unanswered call shows that the path is unresponsive."""
        return min(MAX_SILENCE_MS, max(MIN_SILENCE_MS, SILENCE_FACTOR * self._mean_ms))

    def find_unanswered(self) -> Instant | None:
        """Return when the oldest call was sent that should have been answered by now, if any.

        A call that was sent before one that has been answered shows nothing: its answer is lost.
        """
        if self._failed_sent_at is not None:
            return self._failed_sent_at
        later = (each for each in self._pending.values() if each > self._answered_sent_at)
        return next(later, None)

    def find_silent_at(self) -> Instant | None:
        """Return when the path counts as unresponsive unless an answer comes; `None` if never."""
        sent_at = self.find_unanswered()
        if sent_at is None:
            return None
        return Instant(int(max(sent_at, self._answered_at) + self.get_silence_ms()))

    def _is_silence(self, sent_at: Instant, now: Instant) -> bool:
        is_later = sent_at > self._answered_sent_at
        return is_later and now >= max(sent_at, self._answered_at) + self.get_silence_ms()

    def is_responsive(self, now: Instant) -> bool:
        """Return whether answers come as fast as the earlier ones make likely."""
        silent_at = self.find_silent_at()
        return silent_at is None or now < silent_at

    def may_send(self, now: Instant) -> bool:
        """Return whether a call may be sent: the path is responsive, or the call is its probe.

        At most one probe is in flight.
        """
        silent_at = self.find_silent_at()
        if silent_at is None or now < silent_at:
            return True
        return all(sent_at < silent_at for sent_at in self._pending.values())


class PartitionBreakers:
    """The breakers of the writes to each partition, on each route."""

    def __init__(self) -> None:
        self._breakers: dict[tuple[str, TableRoute], PathBreaker] = {}
        self._reported: dict[tuple[str, TableRoute], bool] = {}

    def get(self, partition: str, route: TableRoute) -> PathBreaker:
        """Return the breaker of a partition on a route."""
        return self._breakers.setdefault((partition, route), PathBreaker())

    def list_changes(self, now: Instant) -> list[tuple[str, TableRoute, bool]]:
        """Return what has become unresponsive (false) or responsive (true) since the last call."""
        states = {key: each.is_responsive(now) for key, each in self._breakers.items()}
        changed = [
            (*key, state) for key, state in states.items() if self._reported.get(key, True) != state
        ]
        self._reported = states
        return changed
