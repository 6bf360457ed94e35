"""Loads at their worst, played through the pool's decisions with an earlier rule beside today's."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest
from benches.pool import __main__ as simulation
from benches.pool import contention, deployments, loads
from benches.pool.deciders import PoolDecider

from tests.common.former_rules import (
    ask_in_one_call_after_the_other,
    order_by_deadline_alone,
    reserve_whole_workers,
)

SHRINK = 1.5
"""The site has this many times fewer workers and jobs; tasks and gangs keep their sizes."""
SITE = replace(
    loads.HARBOR_LARGE,
    workers=int(loads.HARBOR_LARGE.workers / SHRINK),
    kinds=tuple(
        replace(kind, jobs_per_second=kind.jobs_per_second / SHRINK)
        for kind in loads.HARBOR_LARGE.kinds
    ),
    expects_contention=True,
)
BURST_OF_GANGS = loads.Pattern("burst of gangs", 0, 1.9, burst_at=(4.0, 8.0), load_seconds=16)
SEED = 9
SEEDS = (9, 10, 11)
SEEDS_BY_DEADLINE = range(9, 17)
GANGS = SITE.kinds[0].name
LEAST_GANGS_SERVED = 0.75
"""The users' target for this kind on each day on which the fleet has the room."""


def play(seed: int = SEED) -> dict[str, float]:
    """Return the share of the jobs of each kind that complete in time, and the total worth."""
    played = simulation.Simulation(SITE, BURST_OF_GANGS, PoolDecider(SITE), seed).run()
    shares = {name: played.in_time[name] / played.expected[name] for name in played.expected}
    return {**shares, "worth": played.earned_value / played.total_value}


@pytest.fixture(scope="module")
def todays_rule() -> list[dict[str, float]]:
    return [play(seed) for seed in SEEDS]


@pytest.fixture(scope="module")
def order_by_deadline() -> list[dict[str, float]]:
    with pytest.MonkeyPatch.context() as patch:
        order_by_deadline_alone(patch)
        return [play(seed) for seed in SEEDS_BY_DEADLINE]


def sum_shares(played: list[dict[str, float]], measure: str) -> float:
    """Return the sum over several loads, as single ones differ by the luck of a gang or two."""
    return sum(each[measure] for each in played)


def test_most_gangs_of_a_burst_complete_in_time_and_so_do_other_kinds(
    todays_rule: list[dict[str, float]],
) -> None:
    assert todays_rule[0][GANGS] >= LEAST_GANGS_SERVED
    assert min(todays_rule[0][kind.name] for kind in SITE.kinds[1:]) >= LEAST_GANGS_SERVED


@pytest.mark.parametrize(
    "use_former_rule", [ask_in_one_call_after_the_other, reserve_whole_workers]
)
def test_a_former_rule_serves_fewer_gangs_of_the_same_load_in_the_order_by_deadline(
    use_former_rule: Callable[[pytest.MonkeyPatch], None],
    order_by_deadline: list[dict[str, float]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    order_by_deadline_alone(monkeypatch)
    use_former_rule(monkeypatch)
    former = [play(seed) for seed in SEEDS_BY_DEADLINE]
    for measure in (GANGS, "worth"):
        assert sum_shares(former, measure) < sum_shares(order_by_deadline, measure)


@pytest.mark.parametrize(
    "use_former_rule",
    [ask_in_one_call_after_the_other, reserve_whole_workers, order_by_deadline_alone],
)
def test_a_former_rule_serves_fewer_gangs_in_todays_order(
    use_former_rule: Callable[[pytest.MonkeyPatch], None],
    todays_rule: list[dict[str, float]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    use_former_rule(monkeypatch)
    former = [play(seed) for seed in SEEDS]
    for measure in (GANGS, "worth"):
        assert sum_shares(former, measure) < sum_shares(todays_rule, measure)


WORST = next(each for each in deployments.WORST_PATTERNS if "leave" in each.name)
WORST_SEEDS = (1, 2)
LEAST_BATCHES_SERVED = 0.95
"""Batches may wait for gangs, but the objectives of hardly any may be missed for it."""


def test_gangs_are_served_better_in_a_burst_while_workers_leave_than_by_deadline_alone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Gangs lost the capacity that batches, with their long objectives, did not need."""
    ours = contention.play(deployments.MARKET, WORST, "ours", WORST_SEEDS)
    order_by_deadline_alone(monkeypatch)
    former = contention.play(deployments.MARKET, WORST, "ours", WORST_SEEDS)
    assert ours.in_time["gangs"] > former.in_time["gangs"]
    for queue in ("batches", "checks"):
        assert ours.in_time[queue] >= LEAST_BATCHES_SERVED * ours.expected[queue]
