"""No start brings a customer over its quota, whatever the network, the workers and leaders do.

Guards against runs that a leader does not count: late and unanswered starts, runs on workers that
are cut off, and runs of an earlier leader.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.common.simulated_pool import run_seed
from tests.common.simulated_workers import Faults
from tests.nocover.test_pool_once import ALL, ISOLATED

CASES = {
    "late commands": Faults(late=0.08),
    "cuts": Faults(cut_seconds=8.0),
    "takeovers and cuts": Faults(takeovers=4, cut_seconds=8.0),
    "all with takeovers": replace(ALL, takeovers=3),
    "a former leader still reaches workers": ISOLATED,
}
SEEDS = (0, 1, 23)
"""With 23, "takeovers and cuts" fails if what unconfirmed workers may run is not counted."""


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("case", CASES)
def test_no_start_brings_a_customer_over_its_quota(case, seed, monkeypatch):
    problems, timeline = run_seed(seed, CASES[case], monkeypatch, has_customers=True)
    print(timeline)
    assert not problems
