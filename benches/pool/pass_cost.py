"""`python -m benches.pool.pass_cost`: processor time of a placement pass on a full fleet."""

from __future__ import annotations

import time
from dataclasses import replace

from benches.pool.deciders import PoolDecider, list_workers
from benches.pool.deployments import MARKET
from benches.pool.loads import Pattern, make_jobs

SIZES = ((176, 500), (176, 5_000), (1_000, 500), (1_000, 5_000))
"""Numbers of workers and of waiting steps."""
PASSES = 20
PASS_INTERVAL_MS = 50
ADVICE_ROUNDS = 15
"""All rounds take less than the age at which a worker's report is too old."""
ALLOWED_EACH = 3
"""One in this many workers is allowed."""


def measure(workers: int, steps: int) -> float:
    """Return the mean processor time in ms of a pass that finds next to no room."""
    site = replace(MARKET, workers=workers, digest_interval_ms=0)
    jobs = make_jobs(site, Pattern("waiting", load_seconds=steps // 30 + 60), 1)
    decider = PoolDecider(site)
    now = 0
    for listed in list_workers(site):
        decider.handle_report(listed.worker, [], [], now)
    for job in jobs[:steps]:
        decider.accept(job, now)
    for _ in range(ADVICE_ROUNDS):
        for step, asked in decider.decide(now, False).advice:
            decider.handle_advice(step, asked, asked[::ALLOWED_EACH], now)
        now += PASS_INTERVAL_MS
    spent = 0.0
    for _ in range(PASSES):
        began = time.process_time()
        decider.decide(now, False)
        spent += time.process_time() - began
        now += PASS_INTERVAL_MS
    return spent / PASSES * 1_000


def main() -> None:
    """Print the time of a pass at each size."""
    for workers, steps in SIZES:
        print(f"{workers} workers, {steps} steps: {measure(workers, steps):.1f} ms", flush=True)


if __name__ == "__main__":
    main()
