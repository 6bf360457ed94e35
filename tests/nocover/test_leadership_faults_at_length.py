from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from tests.common.leadership_machine import ZoneMachine


def test_one_host_decides_whatever_fails_at_length():
    run_state_machine_as_test(
        ZoneMachine, settings=settings(max_examples=300, stateful_step_count=25)
    )
