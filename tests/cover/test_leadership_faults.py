from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from tests.common.leadership_machine import ZoneMachine
from tests.common.leadership_zone import Zone


def test_at_most_one_host_decides_under_any_faults():
    run_state_machine_as_test(
        ZoneMachine, settings=settings(max_examples=60, stateful_step_count=25)
    )


def test_margin_covers_clocks_of_unlike_rates():
    # Polls and renewals have different periods, so some of these pauses begin when the waiting host
    # has read a renewal right after it was written.
    for pause_at_ms in range(600, 8_000, 100):
        zone = Zone({"slow": 980, "fast": 1_020})
        zone.start("slow")
        zone.start("fast")
        zone.advance(pause_at_ms)
        zone.processes["slow"].paused = True
        zone.advance(1_500, step_ms=5)
        assert zone.list_deciders() == ["fast"]
