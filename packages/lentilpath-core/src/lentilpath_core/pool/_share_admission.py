"""Admission of work beyond its customer's share, which is refused before all other work."""

from __future__ import annotations

import msgspec

from lentilpath_core.ids import Instant
from lentilpath_core.pool._admission import (
    PriorityWaits,
    QueueLoad,
    decide_admission,
    find_wait_ms,
    measure_waits,
    spread_retry,
)
from lentilpath_core.pool._model import JobRecord, QueuePolicy
from lentilpath_core.pool._shares import sum_fleet_millicores, sum_waiting_work
from lentilpath_core.pool._state import PoolState

MAX_CUSTOMERS = 50
"""Largest number of customers that a digest names, which bounds it to about 1 KB. Customers send
several times their usual load one to three at a time."""


class ShareLoads(msgspec.Struct, frozen=True):
    """The customers that are beyond their share, and the load of work beyond it."""

    delays_ms: dict[str, int] = {}
    """Time until the customer's bucket has a token, by customer."""
    waits_ms: PriorityWaits = ()
    """Estimated time until the fleet has done what is ahead of such work."""


def measure_shares(state: PoolState, now: Instant) -> ShareLoads:
    """Return which customers are beyond their share, those with the longest delay first."""
    delays: dict[str, int] = {}
    for customer, usage in state.customers.items():
        if usage.policy is not None:
            delay_ms = usage.bucket.compute_delay_ms(state.wall_now)
            if delay_ms:
                delays[customer] = delay_ms
    fleet_millicores = sum_fleet_millicores(state) if delays else 0
    if not fleet_millicores:
        return ShareLoads()
    longest = sorted(delays, key=lambda each: (-delays[each], each))[:MAX_CUSTOMERS]
    # Less urgent work within shares goes first too, but leaves gaps that small tasks use. To count
    # it refused up to a third of a heavy customer's jobs, most of which complete if accepted.
    work = sum_waiting_work(state, now, is_over_share=False)
    for priority, amount in sum_waiting_work(state, now, is_over_share=True).items():
        work[priority] = work.get(priority, 0.0) + amount
    waits = measure_waits(work, fleet_millicores)
    return ShareLoads({each: delays[each] for each in longest}, waits)


def decide_share_admission(
    record: JobRecord, policy: QueuePolicy, load: QueueLoad | None, shares: ShareLoads
) -> int | None:
    """Return `None` to accept the job, or the time in ms after which its caller should retry.

    A job beyond its customer's share waits behind all others, and is refused if it would complete
    too late then. Its caller should retry once the customer's bucket has tokens again.
    """
    delay_ms = shares.delays_ms.get(record.customer)
    if load is None or delay_ms is None:
        return None
    beyond = QueueLoad(load.pending, find_wait_ms(shares.waits_ms, policy.priority))
    if decide_admission(record, policy, beyond) is None:
        return None
    return spread_retry(delay_ms, record.job)
