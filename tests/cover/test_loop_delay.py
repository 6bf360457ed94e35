"""A busy event loop, a paused process and a leader that is gone can be told apart."""

from __future__ import annotations

import asyncio
import time

from lentilpath_core.ids import Instant
from lentilpathd import _loop_delay
from lentilpathd._events import Event
from lentilpathd._loop_delay import (
    CHECK_INTERVAL_MS,
    LATE_MS,
    ON_TIME_MS,
    DelayCause,
    LoopDelay,
    LoopDelays,
    monitor_loop,
)
from tests.common.requests import wait_until


def measure_all(*samples: tuple[int, int]) -> list[tuple[str, DelayCause]]:
    """Return the events of samples, each the delay of a check and the processor time before it."""
    now, used = Instant(0), 0
    delays = LoopDelays(now, used)
    events = []
    for delay_ms, processor_ms in samples:
        now, used = Instant(now + delay_ms), used + processor_ms
        delay = delays.measure(now, used)
        assert delay.delay_ms == delay_ms
        if delays.extend_spell(delay, now):
            events.append(("late", delay.cause))
        if delays.end_spell(now):
            events.append(("on time", delay.cause))
        now = Instant(now + CHECK_INTERVAL_MS)
    return events


def test_a_delay_with_processor_time_is_a_busy_loop_and_one_without_it_a_pause():
    assert measure_all((LATE_MS, LATE_MS // 2)) == [("late", DelayCause.BUSY)]
    assert measure_all((3_000, 10)) == [("late", DelayCause.PAUSED)]
    assert measure_all((LATE_MS - 1, LATE_MS)) == []


def test_a_loop_that_is_late_again_and_again_is_reported_once():
    flapping = [(LATE_MS, LATE_MS), (0, 1), (0, 1)] * 40
    on_time = [(0, 1)] * (ON_TIME_MS // CHECK_INTERVAL_MS + 1)
    events = measure_all(*flapping, *on_time)
    assert [name for name, _ in events] == ["late", "on time"]


def test_a_spell_has_the_greatest_delay_and_the_sums_by_cause():
    delays = LoopDelays(Instant(0), 0)
    for now, used in ((300, 300), (300 + CHECK_INTERVAL_MS + 2_000, 310)):
        delays.extend_spell(delays.measure(Instant(now), used), Instant(now))
    spell = delays.end_spell(Instant(10_000))
    assert spell is not None
    assert (spell.greatest_ms, spell.busy_ms, spell.paused_ms) == (2_000, 300, 2_000)
    assert spell.processor_ms == 310


def test_a_blocked_event_loop_is_logged_and_measured(monkeypatch):
    logged = []
    monkeypatch.setattr(
        _loop_delay, "log_event", lambda event, **fields: logged.append((event, fields))
    )

    async def scenario() -> None:
        reported: list[LoopDelay] = []
        monitoring = asyncio.create_task(monitor_loop(reported.append))
        await wait_until(lambda: reported)
        blocked_seconds = (CHECK_INTERVAL_MS + 2 * LATE_MS) / 1_000
        asyncio.get_running_loop().call_soon(time.sleep, blocked_seconds)
        await wait_until(lambda: logged)
        monitoring.cancel()

    asyncio.run(scenario())
    event, fields = logged[0]
    assert event is Event.LOOP_LATE
    assert fields["late_ms"] >= LATE_MS
    assert fields["cause"] == DelayCause.PAUSED.value
