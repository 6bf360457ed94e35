"""A pool runs a task on one worker at a time, whatever the network and the workers do.

The real `Term` drives simulated workers in virtual time. The seed decides which commands are late,
lost or unanswered, when workers crash or are cut off, and when another host takes over.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.common.simulated_pool import run_seed
from tests.common.simulated_workers import Faults

ALL = Faults(
    late=0.03, unanswered=0.03, lost=0.02, refused=0.01, crash_seconds=12.0, cut_seconds=15.0
)
CASES = {
    "late commands": Faults(late=0.08),
    "lost answers": Faults(unanswered=0.08, lost=0.03),
    "cuts": Faults(cut_seconds=8.0),
    "crashes": Faults(crash_seconds=8.0),
    "crashes and late commands": Faults(late=0.08, crash_seconds=8.0),
    "cuts and crashes": Faults(crash_seconds=10.0, cut_seconds=10.0),
    "takeovers": Faults(takeovers=3),
    "takeovers and cuts": Faults(takeovers=3, cut_seconds=10.0),
    "all": ALL,
    "all with takeovers": replace(ALL, takeovers=3),
}
ISOLATED = replace(ALL, takeovers=3, isolates_leader=True)
CROSSED = {
    name: replace(case, crosses_lives=True) for name, case in CASES.items() if case.crash_seconds
}


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("case", CASES)
def test_no_task_runs_twice_and_every_job_completes(case, seed, monkeypatch):
    problems, timeline = run_seed(seed, CASES[case], monkeypatch)
    print(timeline)
    assert not problems


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("case", CROSSED)
def test_no_task_runs_twice_if_a_restarted_worker_takes_calls_for_its_former_life(
    case, seed, monkeypatch
):
    problems, timeline = run_seed(seed, CROSSED[case], monkeypatch)
    print(timeline)
    assert not problems


@pytest.mark.parametrize("crosses_lives", [False, True])
@pytest.mark.parametrize("seed", range(3))
def test_no_task_runs_twice_while_a_former_leader_still_reaches_workers(
    seed, crosses_lives, monkeypatch
):
    faults = replace(ISOLATED, crosses_lives=crosses_lives)
    problems, timeline = run_seed(seed, faults, monkeypatch)
    print(timeline)
    assert not problems


LATE_WRITES = {
    "alone": Faults(lost_writes=1.0),
    "with a share answered": Faults(lost_writes=0.35),
    "with takeovers": Faults(lost_writes=1.0, takeovers=3),
    "with all": replace(ALL, lost_writes=1.0, takeovers=2),
}


LATE_SEEDS = (4, 6, 9)
"""Two leaders at once by the former rule, in one or two of the cases each."""


@pytest.mark.parametrize("seed", LATE_SEEDS)
@pytest.mark.parametrize("case", LATE_WRITES)
def test_no_task_runs_twice_while_writes_of_the_leader_are_done_late(case, seed, monkeypatch):
    """A late copy of a renewal made two leaders (review/11)."""
    problems, timeline = run_seed(seed, LATE_WRITES[case], monkeypatch)
    print(timeline)
    assert not problems


SPLITS = {
    "alone": Faults(takeovers=2, isolates_leader=True, splits_workers=True),
    "with all": replace(ALL, takeovers=2, isolates_leader=True, splits_workers=True),
}


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("case", SPLITS)
def test_no_task_runs_twice_while_a_leader_is_cut_off_with_some_of_the_workers(
    case, seed, monkeypatch
):
    """The former leader extended their leases while its successor took them for free."""
    problems, timeline = run_seed(seed, SPLITS[case], monkeypatch)
    print(timeline)
    assert not problems


FAILING = Faults(failing=0.3)
FAILING_CASES = {
    "alone": FAILING,
    "with lost answers": replace(FAILING, unanswered=0.08, lost=0.03),
    "with a slow table": replace(FAILING, table_seconds=0.7),
    "with takeovers": replace(FAILING, takeovers=3),
    "with takeovers, crashes and a slow table": replace(
        FAILING, takeovers=3, crash_seconds=15.0, table_seconds=0.7
    ),
}
MAX_ATTEMPTS = 2


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("case", FAILING_CASES)
def test_no_task_starts_out_of_order_or_once_it_has_failed_in_all_its_attempts(
    case, seed, monkeypatch
):
    """Steps and repetitions follow ends that are reported and not stored yet."""
    problems, timeline = run_seed(seed, FAILING_CASES[case], monkeypatch, max_attempts=MAX_ATTEMPTS)
    print(timeline)
    assert not problems
