from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from tests.common.leadership_machine import ZoneMachine


def test_at_most_one_host_decides_under_any_faults_in_many_examples():
    run_state_machine_as_test(
        ZoneMachine, settings=settings(max_examples=300, stateful_step_count=25)
    )
