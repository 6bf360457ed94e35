"""The circuit breaker tells a table that is silent from one that is slow, and does not flap."""

from __future__ import annotations

import pytest

from lentilpath_core.ids import Instant
from lentilpathd._pool._breaker import (
    MAX_SILENCE_MS,
    MIN_SILENCE_MS,
    CallNumber,
    PathBreaker,
)


def answer_calls(breaker: PathBreaker, answer_ms: int, first: int = 0, count: int = 20) -> int:
    """Send a call each 50 ms, all answered after `answer_ms`; return the time of the last answer.

    Asserts that the breaker stays closed.
    """
    moments: list[tuple[int, int, int]] = []
    for number in range(count):
        moments += [(first + 50 * number, 0, number), (first + 50 * number + answer_ms, 1, number)]
    calls: dict[int, CallNumber] = {}
    for moment, is_answer, number in sorted(moments):
        now = Instant(moment)
        if is_answer:
            breaker.finish(calls[number], True, now)
        else:
            calls[number] = breaker.begin(now)
        assert breaker.is_responsive(now)
    return max(moments)[0]


def test_a_path_is_unresponsive_once_an_answer_is_later_than_the_network_explains():
    breaker = PathBreaker()
    now = answer_calls(breaker, 20)
    breaker.begin(Instant(now + 10))
    assert breaker.is_responsive(Instant(now + 9 + MIN_SILENCE_MS))
    assert not breaker.is_responsive(Instant(now + 10 + MIN_SILENCE_MS))


@pytest.mark.parametrize("slow_ms", [200, 300, 400])
def test_a_table_that_becomes_slow_opens_the_breaker_at_most_once(slow_ms):
    breaker = PathBreaker()
    now = answer_calls(breaker, 8)
    call = breaker.begin(Instant(now + 10))
    assert not breaker.is_responsive(Instant(now + 10 + slow_ms - 1))
    breaker.finish(call, True, Instant(now + 10 + slow_ms))
    answer_calls(breaker, slow_ms, first=now + 20 + slow_ms)


def test_one_lost_answer_among_others_leaves_the_breaker_closed():
    breaker = PathBreaker()
    breaker.begin(Instant(0))
    answer_calls(breaker, 20, first=1, count=40)


def test_a_call_that_was_given_up_is_remembered_until_the_next_answer_closes_the_breaker():
    breaker = PathBreaker()
    now = answer_calls(breaker, 20)
    breaker.finish(breaker.begin(Instant(now + 10)), False, Instant(now + 700))
    assert not breaker.is_responsive(Instant(now + 90_000))
    probe = breaker.begin(Instant(now + 90_000))
    assert not breaker.may_send(Instant(now + 90_000))
    breaker.finish(probe, True, Instant(now + 90_020))
    assert breaker.is_responsive(Instant(now + 90_020))


def test_a_call_that_was_cancelled_before_its_answer_was_late_shows_nothing():
    breaker = PathBreaker()
    breaker.finish(breaker.begin(Instant(1)), False, Instant(60))
    assert breaker.is_responsive(Instant(90_000))


def test_an_answer_that_came_after_an_outage_delays_the_next_detection_by_at_most_a_second():
    breaker = PathBreaker()
    breaker.finish(breaker.begin(Instant(1)), True, Instant(2_601))
    breaker.begin(Instant(2_610))
    assert not breaker.is_responsive(Instant(2_610 + MAX_SILENCE_MS))
