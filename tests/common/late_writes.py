"""A table that leaves writes without an answer and does them later, in any order, or never."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

from lentilpath_core.errors import OutcomeUnknown
from lentilpathd._clock import MS_PER_SECOND
from lentilpathd._pool._ports import PartitionCommitResult
from lentilpathd._pool._records import EPOCH_KEY
from tests.common.tables import OnePartitionTable

LONGEST_DELAY_SECONDS = 6.0
ANSWER_SECONDS = 0.006
"""Usual duration of a call."""
RESET_SECONDS = 0.02
"""How soon a connection is reset on which an answer was lost."""

Apply = Callable[[], Any]
"""Does the write now, if its conditions still hold."""


class LateWrites:
    """Decides what becomes of each write, by a random generator.

    Spells in which writes are answered alternate with spells in which a share of them is not. A
    write without an answer is done at once, at a later time, right after a newer write was answered
    or never. An answered one may leave a copy behind, which is done later too.
    """

    def __init__(self, chance: Random, lost_share: float) -> None:
        self._chance = chance
        self._lost_share = lost_share
        self._is_losing = False
        self._spell_ends_at = 0.0
        self._overtaken: list[Apply] = []
        """Writes that are done right after a newer one was answered."""
        self.is_over = False
        """Whether all writes are answered from now on."""

    async def commit(self, apply: Apply, timeout: float) -> PartitionCommitResult:
        """Return the answer to a write, or raise `OutcomeUnknown`."""
        if self.lose(apply):
            is_reset = self._chance.random() < 0.5
            await asyncio.sleep(min(RESET_SECONDS, timeout) if is_reset else timeout)
            raise OutcomeUnknown("the table has not answered")
        result: PartitionCommitResult = apply()
        self.note_answered(apply)
        return result

    def lose(self, apply: Apply) -> bool:
        """Return whether a write gets no answer; it is then done later, or never."""
        is_lost = not self.is_over and self._is_lost(asyncio.get_running_loop().time())
        if is_lost:
            self._delay(apply)
        return is_lost

    def note_answered(self, apply: Apply) -> None:
        """Note that a write was done and is answered at once."""
        if self._overtaken and self._chance.random() < 0.5:
            self._do_overtaken_writes(asyncio.get_running_loop().time())
        elif not self.is_over and self._chance.random() < 0.1:
            self._delay(apply)

    def _is_lost(self, now: float) -> bool:
        if now >= self._spell_ends_at:
            self._is_losing = not self._is_losing
            self._spell_ends_at = now + self._chance.uniform(0.3, 2.4)
        return self._is_losing and self._chance.random() < self._lost_share

    def _delay(self, apply: Apply) -> None:
        fate = self._chance.random()
        if fate < 0.1:
            return
        if fate < 0.5:
            self._overtaken.append(apply)
        elif fate < 0.6:
            apply()
        else:
            delay_seconds = self._chance.uniform(0.0, LONGEST_DELAY_SECONDS)
            asyncio.get_running_loop().call_later(delay_seconds, apply)

    def _do_overtaken_writes(self, now: float) -> None:
        """Do the writes that were overtaken; often the next ones are not answered."""
        for apply in self._chance.sample(self._overtaken, len(self._overtaken)):
            apply()
        self._overtaken.clear()
        if not self.is_over and self._chance.random() < 0.7:
            self._is_losing, self._spell_ends_at = True, now + self._chance.uniform(1.0, 2.4)


class LateTable(OnePartitionTable):
    """The rows that all hosts share, in the loop's time, whose writes may be done late."""

    def __init__(self, late: LateWrites) -> None:
        super().__init__()
        self._late = late
        self.takeovers: list[float] = []
        """When the row of the epoch was written, by the loop's time in seconds."""

    def find_answer_seconds(self, now: float) -> float:
        """Return how long a call of this time takes."""
        return ANSWER_SECONDS

    def note_takeover(self, now: float) -> None:
        """Note that the row of the epoch was written."""
        self.takeovers.append(now)

    async def commit(self, transaction, timeout, prefer_relay=False):
        def apply_now():
            now = self._set_clock()
            result = self.apply(transaction)
            if result.applied and EPOCH_KEY in dict(transaction.puts):
                self.note_takeover(now)
            return result

        await self._answer()
        return await self._late.commit(apply_now, timeout)

    async def read_partition(self, table, partition, first, end, timeout):
        await self._answer()
        self._set_clock()
        return await super().read_partition(table, partition, first, end, timeout)

    async def _answer(self) -> None:
        await asyncio.sleep(self.find_answer_seconds(asyncio.get_running_loop().time()))

    def _set_clock(self) -> float:
        now = asyncio.get_running_loop().time()
        self.clock_ms = int(now * MS_PER_SECOND)
        return now
