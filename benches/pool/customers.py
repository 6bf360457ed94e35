"""`python -m benches.pool.customers`: one customer at six times its usual load beside nineteen.

Prints what is served by customer under the former rule and the present ones. With the argument
`passes` it prints the processor time of a placement pass by number of customers instead.
"""

from __future__ import annotations

import random
import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

import msgspec

from benches.pool.__main__ import Simulation
from benches.pool.deciders import Decider, PoolDecider, list_workers
from benches.pool.loads import (
    HARBOR,
    HARBOR_LARGE,
    Kind,
    Pattern,
    SimulatedJob,
    Site,
    make_jobs,
    make_policy,
)
from lentilpath_core.ids import CustomerId, Instant, JobId, WallTime
from lentilpath_core.pool import (
    CustomerPolicy,
    JobAccepted,
    JobRecord,
    StepSpec,
    get_completion_objective_ms,
    place_pool,
)
from lentilpath_core.resources import NO_RESOURCES, Resources

CUSTOMERS = 20
ZIPF_EXPONENT = 1.0
"""The largest customer sends 28% of the load, the smallest 1.4%. So six times its load asks for 1.7
times the capacity, as the deployments' bursts do."""
HEAVY = CustomerId("c00")
HEAVY_FACTOR = 6.0
HEAVY_SECONDS = (8.0, 16.0)
LOADS = (1.0, 1.25)
"""Factors on the usual load of a site, whose sheets ask for about 0.7 of its processors."""
SEEDS = (7, 8, 9)
SERVED_FACTOR = 3.0
"""A job is served if it completes within this many times its objective."""
PATTERN = Pattern("one customer at six times its usual")
MARKET = Site(
    "market",
    176,
    Resources(32_000, 64_000, 0),
    (
        Kind("gangs", 1, 2.0, 1.0, 20, 9_000, 9_000, 4_000, 2.2, 1_200, 2, 1.0, 0.4, 12.8, 2.56),
        Kind("batches", 2, 5.8, 1.5, 25, 3_500, 5_000, 2_700, 4.0, 3_000, 4, 0.0, 0.45, 2.1, 0.4),
        Kind("checks", 0, 30.0, 1.0, 3, 5_000, 8_000, 1_000, 1.5, 500, 3, 0.3, 0.7, 0.42, 0.08),
    ),
)
"""The queues of the design page's market; advice and value as on the sheets of harborspoon."""
SITES = (HARBOR, MARKET, HARBOR_LARGE)


def make_customers(site: Site) -> list[CustomerPolicy]:
    """Return the customers, each with its usual jobs per second as its weight."""
    sizes = [(number + 1) ** -ZIPF_EXPONENT for number in range(CUSTOMERS)]
    rate = sum(kind.jobs_per_second for kind in site.kinds)
    return [
        CustomerPolicy(CustomerId(f"c{number:02}"), rate * size / sum(sizes))
        for number, size in enumerate(sizes)
    ]


def make_customer_jobs(
    site: Site, customers: list[CustomerPolicy], seed: int
) -> list[SimulatedJob]:
    """Return usual jobs of all customers, and those that the heavy one sends beyond its usual."""
    rng = random.Random(seed)
    names = [each.customer for each in customers]
    weights = [each.weight for each in customers]
    jobs = [
        _assign(job, number, rng.choices(names, weights)[0])
        for number, job in enumerate(make_jobs(site, PATTERN, seed))
    ]
    factor = (HEAVY_FACTOR - 1) * weights[0] / sum(weights)
    kinds = tuple(
        replace(kind, jobs_per_second=kind.jobs_per_second * factor) for kind in site.kinds
    )
    first_ms, last_ms = (seconds * 1_000 for seconds in HEAVY_SECONDS)
    more = make_jobs(replace(site, kinds=kinds), PATTERN, seed + 1)
    beyond = [job for job in more if first_ms <= job.submitted_ms < last_ms]
    jobs.extend(_assign(job, len(jobs) + number, HEAVY) for number, job in enumerate(beyond))
    return sorted(jobs, key=lambda job: job.submitted_ms)


def _assign(job: SimulatedJob, number: int, customer: CustomerId) -> SimulatedJob:
    record = msgspec.structs.replace(
        job.record,
        job=JobId(f"{number:016x}"),
        customer=customer,
        accepted_at=WallTime(job.submitted_ms),
    )
    return replace(job, record=record)


class CustomerSimulation(Simulation):
    """A simulation that counts jobs by customer."""

    def __init__(self, site: Site, decider: Decider, jobs: list[SimulatedJob], seed: int) -> None:
        super().__init__(site, PATTERN, decider, seed, jobs)
        self.in_time: Counter[CustomerId] = Counter()
        self.served: Counter[CustomerId] = Counter()

    def complete_job(self, job: SimulatedJob, now: int) -> None:
        """Count a completed job for its customer."""
        super().complete_job(job, now)
        critical_path_ms = sum(max(step) for step in job.run_ms)
        objective_ms = get_completion_objective_ms(make_policy(job.kind), critical_path_ms)
        elapsed_ms = now - job.submitted_ms
        self.in_time[job.record.customer] += elapsed_ms <= objective_ms
        self.served[job.record.customer] += elapsed_ms <= SERVED_FACTOR * objective_ms


def create_former(site: Site, customers: list[CustomerPolicy]) -> Decider:
    """Return the former rule, which is that of a configuration without customers."""
    return PoolDecider(site)


def create_over_share_last(site: Site, customers: list[CustomerPolicy]) -> Decider:
    """Return the rule by which jobs beyond a share come last, without the order by share."""
    decider = PoolDecider(site, customers)
    # Shares of a fleet of no size are all 0.
    decider.state.fleet = NO_RESOURCES
    return decider


RULES: tuple[tuple[str, Callable[[Site, list[CustomerPolicy]], Decider]], ...] = (
    ("former", create_former),
    ("over share last", create_over_share_last),
    ("both", PoolDecider),
)


def compare_rules(site: Site, load: float, seed: int) -> None:
    """Print what each rule serves: of the heavy customer, of the others, of the worst tenth."""
    kinds = tuple(replace(each, jobs_per_second=each.jobs_per_second * load) for each in site.kinds)
    site = replace(site, kinds=kinds)
    customers = make_customers(site)
    jobs = make_customer_jobs(site, customers, seed)
    sent = Counter(job.record.customer for job in jobs)
    others = [each.customer for each in customers if each.customer != HEAVY]
    for name, create in RULES:
        simulation = CustomerSimulation(site, create(site, customers), jobs, seed)
        simulation.run()
        cells = []
        for counted in (simulation.in_time, simulation.served):
            shares = sorted(counted[each] / max(1, sent[each]) for each in others)
            worst = shares[: max(1, CUSTOMERS // 10)]
            total = sum(counted[each] for each in others) / sum(sent[each] for each in others)
            cells += [counted[HEAVY] / sent[HEAVY], total, sum(worst) / len(worst)]
        figures = " | ".join(f"{cell:.3f}" for cell in cells)
        refused = simulation.outcome.refused
        print(
            f"| {site.name} | {load} | {seed} | {name} | {figures} | {refused} |",
            flush=True,
        )


def measure_pass(customers: int, steps: int, passes: int = 100) -> float:
    """Return the processor time in ms of a pass over a full fleet of 176 workers."""
    policies = [CustomerPolicy(CustomerId(f"c{each:04}"), 1.0) for each in range(customers)]
    decider = PoolDecider(MARKET, policies)
    for worker in list_workers(MARKET):
        decider.handle_report(worker.worker, [], [], 0)
    kind = MARKET.kinds[2]
    decider.state.configuration.queues.update(
        {
            queue: replace(each, advice=None)
            for queue, each in decider.state.configuration.queues.items()
        }
    )
    step = StepSpec(1, Resources(4_000, 2_000, 0), 1_000)
    for number in range(steps + MARKET.workers * 8):
        record = JobRecord(
            JobId(f"{number:016x}"),
            make_policy(kind).queue,
            "",
            (step,),
            WallTime(0),
            customer=policies[number % customers].customer,
        )
        decider.apply_event(JobAccepted(record), 0)
    place_pool(decider.state, Instant(0))
    assert len(decider.state.open_steps) == steps
    began = time.process_time()
    for number in range(passes):
        place_pool(decider.state, Instant(number % 10))
    return (time.process_time() - began) * 1_000 / passes


def main() -> None:
    """Compare the rules on the sites named on the command line, or on all."""
    if sys.argv[1:] == ["passes"]:
        for steps in (500, 5_000):
            for customers in (20, 200, 2_000):
                best_ms = min(measure_pass(customers, steps) for _ in range(3))
                print(f"| {customers} customers | {steps} steps | {best_ms:.2f} ms |", flush=True)
        return
    print(
        "| site | load | seed | rule | heavy in time | others | worst tenth "
        "| heavy served | others | worst tenth | refused |"
    )
    for site in SITES:
        if not sys.argv[1:] or site.name in sys.argv[1:]:
            for seed in SEEDS:
                for load in LOADS:
                    compare_rules(site, load, seed)


if __name__ == "__main__":
    main()
