"""Loads at their worst, played through the pool's decisions with an earlier rule beside today's."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest
from benches.pool import __main__ as simulation
from benches.pool import loads
from benches.pool.deciders import PoolDecider

from tests.common.former_rules import ask_in_one_call_after_the_other, reserve_whole_workers

SHRINK = 1.5
"""The site has this many times fewer workers and jobs; tasks and gangs keep their sizes."""
SITE = replace(
    loads.HARBOR_LARGE,
    workers=int(loads.HARBOR_LARGE.workers / SHRINK),
    kinds=tuple(
        replace(kind, jobs_per_second=kind.jobs_per_second / SHRINK)
        for kind in loads.HARBOR_LARGE.kinds
    ),
)
BURST_OF_GANGS = loads.Pattern("burst of gangs", 0, 1.9, burst_at=(4.0, 8.0), load_seconds=16)
SEED = 9
GANGS = SITE.kinds[0].name
LEAST_GANGS_SERVED = 0.75
"""The users' target for this kind on each day on which the fleet has the room."""


def play() -> dict[str, float]:
    """Return the share of the jobs of each kind that complete in time, and the total worth."""
    played = simulation.Simulation(SITE, BURST_OF_GANGS, PoolDecider(SITE), SEED).run()
    shares = {name: played.in_time[name] / played.expected[name] for name in played.expected}
    return {**shares, "worth": played.earned_value / played.total_value}


@pytest.fixture(scope="module")
def todays_rule() -> dict[str, float]:
    return play()


def test_most_gangs_of_a_burst_complete_in_time_and_so_do_other_kinds(
    todays_rule: dict[str, float],
) -> None:
    assert todays_rule[GANGS] >= LEAST_GANGS_SERVED
    assert min(todays_rule[kind.name] for kind in SITE.kinds[1:]) >= LEAST_GANGS_SERVED


@pytest.mark.parametrize(
    "use_former_rule", [ask_in_one_call_after_the_other, reserve_whole_workers]
)
def test_a_former_rule_serves_fewer_gangs_of_the_same_load(
    use_former_rule: Callable[[pytest.MonkeyPatch], None],
    todays_rule: dict[str, float],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    use_former_rule(monkeypatch)
    former = play()
    assert former[GANGS] < todays_rule[GANGS]
    assert former["worth"] < todays_rule["worth"]
