"""Shares of customers while capacity is insufficient: whose steps are placed first.

Designed for one customer at six times its usual load beside others that send what they always do.
What it sends beyond its weight comes last. The rest is placed by weighted dominant resource
fairness: the customer that holds least of the fleet for its weight is next.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from itertools import groupby

from lentilpath_core.ids import CustomerId, Instant, JobId, WallTime
from lentilpath_core.pool._access import NO_CUSTOMER
from lentilpath_core.pool._customers import compute_weighted_share
from lentilpath_core.pool._order import Rank, estimate_work, rank_step
from lentilpath_core.pool._state import PoolState, Step

Ranked = tuple[Rank, Step]


def number_job(state: PoolState, customer: CustomerId, job: JobId, accepted_at: WallTime) -> None:
    """Pass an accepted job through its customer's bucket, and mark the jobs beyond it."""
    usage = state.customers.get(customer)
    if customer == NO_CUSTOMER or usage is None or usage.policy is None:
        return
    mark_jobs(state, usage.bucket.add(job, accepted_at, state.wall_now))


def update_buckets(state: PoolState) -> None:
    """Use the customers' present weights, also for the jobs that were accepted before."""
    for usage in state.customers.values():
        if usage.policy is not None:
            mark_jobs(state, usage.bucket.set_weight(usage.policy.weight))


def mark_jobs(state: PoolState, marks: dict[JobId, bool]) -> None:
    """Set whether these jobs are beyond their customer's share."""
    for job, is_over in marks.items():
        known = state.jobs.get(job)
        if known is not None:
            known.is_over_share = is_over
            state.needs_placement = True


def list_by_rank(state: PoolState, now: Instant) -> Iterator[Ranked]:
    """Yield the steps that wait, in the order in which they are to be placed.

    The shares of customers are those of the moment at which a step is yielded, so what a pass
    places for a customer counts against its further steps.
    """
    ranked = sorted(
        ((rank_step(state, step, now), step) for step in state.open_steps.values()),
        key=lambda pair: pair[0],
    )
    if not state.customers:
        yield from ranked
        return
    for _, group in groupby(ranked, key=lambda pair: pair[0].get_class()):
        yield from _alternate(state, list(group))


def _alternate(state: PoolState, ranked: list[Ranked]) -> Iterator[Ranked]:
    """Yield steps of one class, always one of the customer with the smallest weighted share."""
    queues: dict[CustomerId, list[Ranked]] = {}
    for pair in ranked:
        queues.setdefault(pair[1].job.record.customer, []).append(pair)
    if len(queues) == 1:
        yield from ranked
        return
    heap: list[tuple[float, float, CustomerId]] = []
    for customer, queue in queues.items():
        queue.reverse()
        heap.append((queue[-1][0].weighted_share, queue[-1][0].due_at, customer))
    heapq.heapify(heap)
    while heap:
        _, _, customer = heap[0]
        queue = queues[customer]
        yield queue.pop()
        if not queue:
            heapq.heappop(heap)
            continue
        share = compute_weighted_share(state, queue[-1][1].job)
        heapq.heapreplace(heap, (share, queue[-1][0].due_at, customer))


def sum_fleet_millicores(state: PoolState) -> int:
    """Return the millicores of the registered workers.

    Those that a new leader has not heard from count too. Without them the wait would be many times
    too long, and jobs would be refused although workers are idle.
    """
    return sum(
        worker.listed.capacity.millicores for worker in state.workers.values() if worker.is_listed
    )


def sum_waiting_work(state: PoolState, now: Instant, is_over_share: bool) -> dict[int, float]:
    """Return the waiting work that is still of value, in millicores times ms, by priority.

    Either that of jobs within their customer's share, or that of jobs beyond it. Recovered work is
    left out until all workers that may be running it have reported.
    """
    work: dict[int, float] = {}
    for step in state.open_steps.values():
        if step.job.is_over_share is not is_over_share:
            continue
        if step.job.is_recovered and state.unconfirmed_workers:
            continue
        rank = rank_step(state, step, now)
        if rank.is_worthless or step.spec.lasting or step.spec.fills:
            continue
        work[rank.priority] = work.get(rank.priority, 0.0) + estimate_work(state, step)
    return work
