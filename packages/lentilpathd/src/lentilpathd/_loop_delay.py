"""Measures how late the event loop runs, and whether it was busy or the process was not running.

A loop that is busy with callers and a process that was paused look the same to other hosts: both
answer late. They differ in the processor time that was used meanwhile.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from lentilpath_core.ids import Instant
from lentilpathd._clock import MS_PER_SECOND, read_instant, read_processor_ms
from lentilpathd._events import Event, log_event

CHECK_INTERVAL_MS = 250
"""Four wake-ups a second, as many as the leader's timers need."""
LATE_MS = 200
"""A query of the leader needs at least two passes of its loop and is given up after 400 ms."""
ON_TIME_MS = 5_000
"""The loop counts as late until it has been on time for this long, so that one which is late again
and again logs at most two lines in that time."""
BUSY_SHARE = 0.25
"""Least share of a delay that a busy process spends on the processor; the smallest machines have
half of a core."""


class DelayCause(Enum):
    """What made the event loop late."""

    NONE = "none"
    """It was late by less than `LATE_MS`."""
    BUSY = "busy"
    """The process used the processor meanwhile."""
    PAUSED = "paused"
    """It did not: the process or the machine was suspended, or others had the processor."""


@dataclass(frozen=True, slots=True)
class LoopDelay:
    """One measurement."""

    delay_ms: int
    processor_ms: int
    """Processor time that the process has used since the previous measurement."""
    cause: DelayCause


@dataclass(frozen=True, slots=True)
class LateSpell:
    """A time in which no two delays of `LATE_MS` or more were `ON_TIME_MS` apart."""

    began_at: Instant
    last_late_at: Instant
    greatest_ms: int = 0
    busy_ms: int = 0
    """Sum of the delays with `DelayCause.BUSY`."""
    paused_ms: int = 0
    """Sum of the delays with `DelayCause.PAUSED`."""
    processor_ms: int = 0
    """Processor time used in the intervals that ended late."""


class LoopDelays:
    """Judges how late the calls of `measure` are."""

    def __init__(self, now: Instant, processor_ms: int) -> None:
        self._due_at = now
        self._processor_ms = processor_ms
        self._spell: LateSpell | None = None

    def measure(self, now: Instant, processor_ms: int) -> LoopDelay:
        """Return the delay of a call that was due `CHECK_INTERVAL_MS` after the previous one.

        `processor_ms` is what the process has used so far.
        """
        delay_ms = max(0, now - self._due_at)
        used_ms = processor_ms - self._processor_ms
        self._due_at = Instant(now + CHECK_INTERVAL_MS)
        self._processor_ms = processor_ms
        cause = DelayCause.NONE
        if delay_ms >= LATE_MS:
            is_busy = used_ms >= delay_ms * BUSY_SHARE
            cause = DelayCause.BUSY if is_busy else DelayCause.PAUSED
        return LoopDelay(delay_ms, used_ms, cause)

    def extend_spell(self, delay: LoopDelay, now: Instant) -> bool:
        """Add a measurement to the spell if it is late; return whether it begins a new spell."""
        if delay.cause is DelayCause.NONE:
            return False
        is_new = self._spell is None
        spell = self._spell or LateSpell(Instant(now - delay.delay_ms), now)
        is_busy = delay.cause is DelayCause.BUSY
        self._spell = LateSpell(
            spell.began_at,
            now,
            max(spell.greatest_ms, delay.delay_ms),
            spell.busy_ms + (delay.delay_ms if is_busy else 0),
            spell.paused_ms + (0 if is_busy else delay.delay_ms),
            spell.processor_ms + delay.processor_ms,
        )
        return is_new

    def end_spell(self, now: Instant) -> LateSpell | None:
        """Return the spell and forget it, once the loop has been on time for `ON_TIME_MS`."""
        spell = self._spell
        if spell is None or now < spell.last_late_at + ON_TIME_MS:
            return None
        self._spell = None
        return spell


async def monitor_loop(report: Callable[[LoopDelay], None]) -> None:
    """Measure the running event loop until cancelled; report each delay, and log late spells."""
    delays = LoopDelays(read_instant(), read_processor_ms())
    while True:
        now = read_instant()
        delay = delays.measure(now, read_processor_ms())
        report(delay)
        if delays.extend_spell(delay, now):
            log_event(
                Event.LOOP_LATE,
                late_ms=delay.delay_ms,
                processor_ms=delay.processor_ms,
                cause=delay.cause.value,
            )
        spell = delays.end_spell(now)
        if spell is not None:
            log_event(
                Event.LOOP_ON_TIME,
                lasted_ms=spell.last_late_at - spell.began_at,
                greatest_ms=spell.greatest_ms,
                busy_ms=spell.busy_ms,
                paused_ms=spell.paused_ms,
                processor_ms=spell.processor_ms,
            )
        await asyncio.sleep(CHECK_INTERVAL_MS / MS_PER_SECOND)
