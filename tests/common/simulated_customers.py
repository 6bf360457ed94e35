"""Customers of the simulated pool, changes of their quotas, and the check of what each has running.

Quotas are in tasks, which all need `ROOM`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from lentilpath_core.ids import ConfigVersion, CustomerId
from lentilpath_core.pool import QUOTA_OVERAGE, CustomerPolicy, PoolConfiguration
from lentilpath_core.resources import NO_RESOURCES
from lentilpathd._pool._records import format_task
from lentilpathd._pool._term import Term
from tests.common.simulated_workers import ROOM, SimulatedCluster

CUSTOMERS = (CustomerId("small"), CustomerId("large"), CustomerId("free"))
FIRST_QUOTAS = (5, 10, 0)
"""The widest gang has 4 tasks; 0 means no limit."""
CLOCK_SLACK_SECONDS = 0.002
APPLY_SECONDS = 4.0
"""A version may be in force this long after its successor, by the design page (`configApplyMs`)."""


def make_configuration(former: PoolConfiguration, quotas: tuple[int, ...]) -> PoolConfiguration:
    customers = {
        name: CustomerPolicy(name, 1.0, ROOM.multiply(quota))
        for name, quota in zip(CUSTOMERS, quotas, strict=True)
    }
    version = ConfigVersion(former.version + 1)
    return replace(former, version=version, customers=customers, requires_keys=True)


def make_quota_plan(
    cluster: SimulatedCluster, seconds: float
) -> list[tuple[float, PoolConfiguration]]:
    """Return versions with other quotas, below what runs and above, and the first at the end."""
    plan = []
    configuration = cluster.configuration
    assert configuration is not None
    for number in range(1, 9):
        drawn = (cluster.random.randint(1, 8), cluster.random.randint(2, 16), 0)
        configuration = make_configuration(configuration, FIRST_QUOTAS if number == 8 else drawn)
        plan.append((seconds * number / 8, configuration))
    return plan


def list_leaks(term: Term) -> Iterable[str]:
    """Yield the customers whom a leader counts as holding something though nothing runs."""
    for customer, usage in term._state.customers.items():
        if usage.held != NO_RESOURCES:
            yield f"LEAK: {customer} holds {usage.held}"


def check_quotas(cluster: SimulatedCluster) -> Iterable[str]:
    """Yield the starts that brought a customer over its quota, the overage and one task.

    A start that is carried out late is held against the quotas that may have been in
    force since it was sent.
    """
    for customer in CUSTOMERS if cluster.quotas else ():
        runs = [run for run in cluster.runs if cluster.jobs[run.task.job].customer == customer]
        for run in runs:
            at = run.started_at
            held = sum(
                each.started_at <= at
                and (each.ended_at is None or at < each.ended_at - CLOCK_SLACK_SECONDS)
                for each in runs
            )
            sent_at = run.sent_at - APPLY_SECONDS
            since = max((begun for begun, _ in cluster.quotas if begun <= sent_at), default=0.0)
            quotas = [
                customers[customer].quota.millicores // ROOM.millicores
                for begun_at, customers in cluster.quotas
                if since <= begun_at <= at
            ]
            if min(quotas) and held > max(quotas) * (1 + QUOTA_OVERAGE) + 1:
                yield (
                    f"QUOTA: {customer} has {held} of {max(quotas)} tasks at {at:.3f} with "
                    f"{format_task(run.task)} run {run.run} ({run.origin})"
                )
