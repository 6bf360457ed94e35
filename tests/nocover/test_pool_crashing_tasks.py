"""A pool gives up a task that crashes its workers, and fills no worker beyond its capacity.

The workers start whatever they are told, as those of a service without `enforcesCapacity`.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.common.simulated_pool import run_seed
from tests.common.simulated_workers import Faults

CRASHING = Faults(crashing=0.1)
SHRINKING = Faults(shrink_seconds=10.0)
CRASHING_CASES = {
    "alone": CRASHING,
    "with late commands": replace(CRASHING, late=0.08),
    "with crashes and cuts": replace(CRASHING, crash_seconds=15.0, cut_seconds=15.0),
    "with takeovers": replace(CRASHING, takeovers=3),
}
CAPACITY_CASES = {
    "constant": Faults(),
    "constant with late commands": Faults(late=0.08),
    "shrinking": SHRINKING,
    "shrinking with late commands": replace(SHRINKING, late=0.08),
    "shrinking with outages": replace(SHRINKING, outages=2),
    "shrinking with a slow table": replace(SHRINKING, table_seconds=1.05),
}


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("case", CRASHING_CASES)
def test_jobs_with_a_task_that_crashes_workers_fail_and_all_others_complete(
    case, seed, monkeypatch
):
    problems, timeline = run_seed(seed, CRASHING_CASES[case], monkeypatch, enforces_capacity=False)
    print(timeline)
    assert not problems


@pytest.mark.parametrize("seed", [5, 44, 46])
def test_a_later_leader_knows_of_the_first_crash_of_a_task(seed, monkeypatch):
    """It was stored only once the lease of the worker was over (BUDGET)."""
    faults = CRASHING_CASES["with takeovers"]
    problems, timeline = run_seed(seed, faults, monkeypatch, enforces_capacity=False)
    print(timeline)
    assert not problems


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("case", CAPACITY_CASES)
def test_no_start_brings_a_worker_over_its_capacity(case, seed, monkeypatch):
    problems, timeline = run_seed(seed, CAPACITY_CASES[case], monkeypatch, enforces_capacity=False)
    print(timeline)
    assert not problems


@pytest.mark.parametrize("seed", range(2))
def test_steps_that_outnumber_the_calls_to_the_advice_service_start_while_workers_are_free(
    seed, monkeypatch
):
    """All steps asked at once; each answer came when the step's places were held by others."""
    faults = Faults(crashing=0.4, crash_seconds=30.0)
    problems, timeline = run_seed(
        seed, faults, monkeypatch, worker_count=20, job_count=300, advice_hosts=1
    )
    print(timeline)
    assert not problems
