"""`python -m benches.pool.contention`: what the deployments' worst loads cost callers, by queue."""

from __future__ import annotations

import argparse
from collections.abc import Callable

from benches.pool.__main__ import Outcome, Simulation, compute_bound
from benches.pool.deciders import Decider, FirstFit, PoolDecider
from benches.pool.deployments import DEPLOYMENTS, WORST_PATTERNS
from benches.pool.loads import Pattern, Site

SEEDS = (1, 2, 3)
DECIDERS: dict[str, Callable[[Site], Decider]] = {"first fit": FirstFit, "ours": PoolDecider}


def describe(outcome: Outcome, kind: str) -> str:
    """Return the cells of a queue: shares within the objective, late, refused and of the rest.

    The rest was accepted, but completed too late to be of value or not at all.
    """
    expected = max(1, outcome.expected[kind])
    refused = sorted(outcome.refused_after_ms[kind])
    counts = (outcome.in_time[kind], outcome.late[kind], len(refused))
    shares = [count / expected for count in (*counts, expected - sum(counts))]
    refused_after = f"{refused[len(refused) // 2]}" if refused else "-"
    return " | ".join([*(f"{share:.3f}" for share in shares), refused_after])


def add_outcomes(outcomes: list[Outcome]) -> Outcome:
    """Return the sum of the outcomes of several seeds."""
    total = Outcome()
    for each in outcomes:
        for name, count in each.expected.items():
            total.expected[name] += count
            total.in_time[name] += each.in_time[name]
            total.late[name] += each.late[name]
            total.refused_after_ms[name].extend(each.refused_after_ms[name])
        total.wasted_core_seconds += each.wasted_core_seconds
    return total


def play(site: Site, pattern: Pattern, decider: str, seeds: tuple[int, ...]) -> Outcome:
    """Return the sum over the seeds of a decider's outcomes, or of the upper bound's."""
    if decider == "bound":
        return add_outcomes([compute_bound(site, pattern, seed) for seed in seeds])
    create = DECIDERS[decider]
    return add_outcomes([Simulation(site, pattern, create(site), seed).run() for seed in seeds])


def main() -> None:
    """Print a table for each deployment."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--site", choices=[site.name for site in DEPLOYMENTS])
    parser.add_argument("--pattern", default="", help="only patterns whose name contains this")
    parser.add_argument("--decider", choices=[*DECIDERS, "bound"], action="append")
    parser.add_argument("--seed", type=int, action="append")
    options = parser.parse_args()
    seeds = tuple(options.seed or SEEDS)
    for site in DEPLOYMENTS:
        if options.site not in (None, site.name):
            continue
        print(f"\n### {site.name}, seeds {', '.join(map(str, seeds))}\n")
        print(
            "| pattern | decider | queue | within | late | refused | no value | refused after ms |"
        )
        print("| --- | --- | --- | --- | --- | --- | --- | --- |")
        for pattern in WORST_PATTERNS:
            if options.pattern not in pattern.name:
                continue
            for decider in options.decider or [*DECIDERS, "bound"]:
                outcome = play(site, pattern, decider, seeds)
                for kind in site.kinds:
                    cells = describe(outcome, kind.name)
                    print(f"| {pattern.name} | {decider} | {kind.name} | {cells} |", flush=True)
                lost = outcome.wasted_core_seconds
                print(f"| {pattern.name} | {decider} | core-s thrown away | {lost:.0f} | | | | |")


if __name__ == "__main__":
    main()
