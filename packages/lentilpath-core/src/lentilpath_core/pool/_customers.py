"""What the customers hold of the fleet, and how much of it they are entitled to.

Designed for customers that send several times their usual load and for quotas that shrink far below
what runs. The resources of each customer are kept up to date as runs and plans come and go, so a
placement pass takes no longer with more customers.
"""

from __future__ import annotations

from dataclasses import replace
from typing import NamedTuple

from lentilpath_core.errors import QuotaTooSmall
from lentilpath_core.ids import CustomerId, JobId
from lentilpath_core.pool._access import NO_CUSTOMER
from lentilpath_core.pool._model import CustomerPolicy, JobRecord, PoolConfiguration
from lentilpath_core.pool._state import CustomerUsage, Job, PoolState, Step
from lentilpath_core.resources import NO_RESOURCES, Resources

QUOTA_OVERAGE = 0.1
"""Share of its quota by which a customer may exceed it. It is the margin for what a leader cannot
know; only a gang for which a shrunk quota is too small uses it on purpose."""
MIN_WEIGHT = 1e-3
"""Least weight by which a share is divided; a customer with the weight 0 is last by its rank."""
MAX_LISTED_CUSTOMERS = 50
"""Largest number of customers with gauges of their own, which bounds the metrics of a host."""
OTHER_CUSTOMERS = CustomerId("(others)")
UNLIMITED = 1 << 60
"""Amount of a resource that stands for a quota of 0, which means no limit."""


def get_job_customer(state: PoolState, job: JobId) -> CustomerId:
    """Return the customer of a job; empty if it has none or is not known."""
    known = state.jobs.get(job)
    if known is not None:
        return known.record.customer
    final = state.finals.get(job)
    return final.customer if final is not None else NO_CUSTOMER


def apply_policies(state: PoolState, configuration: PoolConfiguration) -> None:
    """Use the policies of a configuration; customers that it lacks keep their last one."""
    for policies in (configuration.former_customers, configuration.customers):
        for customer, policy in policies.items():
            usage = _get_usage(state, customer)
            usage.policy = policy
            usage.is_limited = policy.quota != NO_RESOURCES


def _get_usage(state: PoolState, customer: CustomerId) -> CustomerUsage:
    usage = state.customers.get(customer)
    if usage is None:
        usage = state.customers[customer] = CustomerUsage()
    return usage


def hold_room(state: PoolState, customer: CustomerId, room: Resources) -> None:
    """Count resources that a run or a plan begins to hold against its customer's quota."""
    if customer != NO_CUSTOMER:
        usage = _get_usage(state, customer)
        usage.held = usage.held + room


def release_room(state: PoolState, customer: CustomerId, room: Resources) -> None:
    """Stop counting resources that were held."""
    if customer != NO_CUSTOMER:
        usage = _get_usage(state, customer)
        usage.held = usage.held - room


def count_allowed(state: PoolState, step: Step) -> int:
    """Return how many of the step's tasks its customer's quota lets start now, at most all of them.

    0 for a gang unless all its tasks may start. A task or gang that a quota has become too small
    for starts while its customer has nothing else running, if it stays within `QUOTA_OVERAGE`. A
    customer that was removed before this leader knew its quota has one task or gang running at a
    time, which keeps any quota to within one task.
    """
    count = step.spec.count
    customer = step.job.record.customer
    if customer == NO_CUSTOMER:
        return count
    # Reads only: a question about a job of an unknown customer must not add the customer.
    usage = state.customers.get(customer) or CustomerUsage()
    if not usage.is_limited or (usage.policy is None and not state.configuration.requires_keys):
        return count
    counted = usage.held + usage.unseen
    least = count if step.spec.gang else 1
    if usage.policy is not None:
        room = step.spec.counted_room
        allowed = room.count_in(_limit_of(usage.policy.quota) - counted, count)
        if allowed >= least:
            return allowed
        margin = _limit_of(usage.policy.quota, 1 + QUOTA_OVERAGE)
        if not room.multiply(least).fits_in(margin):
            return 0
    return least if counted == NO_RESOURCES else 0


def _limit_of(quota: Resources, factor: float = 1.0) -> Resources:
    """Return the quota times a factor, with `UNLIMITED` in place of 0 and of larger amounts.

    Amounts that no float can hold would otherwise fail each pass of the leader.
    """
    return Resources(
        int(min(quota.millicores, UNLIMITED) * factor) or UNLIMITED,
        int(min(quota.memory_mib, UNLIMITED) * factor) or UNLIMITED,
        int(min(quota.accelerators, UNLIMITED) * factor) or UNLIMITED,
    )


def check_job_fits_quota(record: JobRecord, policy: CustomerPolicy | None) -> None:
    """Raise `QuotaTooSmall` if a task or gang of the job alone exceeds its customer's quota."""
    if policy is None:
        return
    limit = _limit_of(policy.quota)
    for number, step in enumerate(record.steps):
        room = step.counted_room.multiply(step.count if step.gang else 1)
        if not room.fits_in(limit):
            unit = "the gang" if step.gang else "a task"
            raise QuotaTooSmall(
                f"{unit} of step {number} needs {_format_room(room)}, more than the quota of "
                f"customer {policy.customer!r}, {_format_room(policy.quota)} (0 for no limit); "
                "submit smaller tasks, or have the quota raised"
            )


def _format_room(room: Resources) -> str:
    return (
        f"{room.millicores} millicores, {room.memory_mib} MB and {room.accelerators} accelerators"
    )


def add_ended_job(state: PoolState, record: JobRecord) -> None:
    """Count what may still run of a job whose end an earlier leader has stored."""
    room = state.ended_rooms.get(record.customer, NO_RESOURCES)
    for step in record.steps:
        room = room + step.counted_room.multiply(step.count)
    state.ended_rooms[record.customer] = room


def count_unseen_runs(state: PoolState) -> None:
    """Update what unconfirmed workers may still run of each customer.

    It is at most the capacity of these workers, and at most the recovered tasks that are neither
    done nor seen running. Does nothing once all workers have reported.
    """
    if not state.recovered_jobs and not state.ended_rooms:
        return
    for usage in state.customers.values():
        usage.unseen = NO_RESOURCES
    if not state.unconfirmed_workers:
        state.recovered_jobs.clear()
        state.ended_rooms.clear()
        return
    for customer, room in state.ended_rooms.items():
        _get_usage(state, customer).unseen = room
    for job in state.recovered_jobs.values():
        usage = _get_usage(state, job.record.customer)
        usage.unseen = usage.unseen + _sum_unseen_tasks(job)
    capacity = NO_RESOURCES
    for worker_id in state.unconfirmed_workers:
        worker = state.workers.get(worker_id)
        if worker is not None:
            capacity = capacity + worker.listed.capacity
    for usage in state.customers.values():
        usage.unseen = usage.unseen.limit_to(capacity)


def _sum_unseen_tasks(job: Job) -> Resources:
    room = NO_RESOURCES
    for step in job.steps.values():
        # A step that did not open because its job is over may have been open before.
        if step.is_open or job.final is not None:
            over = step.done | step.recording | step.failing | step.attempts.keys()
            room = room + step.spec.counted_room.multiply(step.spec.count - len(over))
    return room


def carry_customers(
    former: PoolConfiguration | None, found: PoolConfiguration
) -> PoolConfiguration:
    """Return the configuration with the last policies of customers that it no longer has.

    Their accepted jobs go on under these, also if this host becomes the leader later.
    """
    if former is None:
        return found
    known = former.former_customers | former.customers
    gone = {each: known[each] for each in known.keys() - found.customers.keys()}
    return replace(found, former_customers=gone) if gone else found


class ListedUsage(NamedTuple):
    """What a customer, or all that are not listed, has running and waiting."""

    customer: CustomerId
    millicores: int
    waiting_tasks: int


def list_usages(state: PoolState) -> list[ListedUsage]:
    """Return the customers that hold most processors, and the sums of the others as one."""
    waiting: dict[CustomerId, int] = dict.fromkeys(state.customers, 0)
    for step in state.open_steps.values():
        customer = step.job.record.customer
        if customer in waiting:
            waiting[customer] += len(step.waiting)
    usages = [
        ListedUsage(customer, usage.held.millicores, waiting[customer])
        for customer, usage in state.customers.items()
    ]
    usages.sort(key=lambda each: (-each.millicores, -each.waiting_tasks, each.customer))
    rest = usages[MAX_LISTED_CUSTOMERS:]
    if not rest:
        return usages
    others = ListedUsage(
        OTHER_CUSTOMERS,
        sum(each.millicores for each in rest),
        sum(each.waiting_tasks for each in rest),
    )
    return [*usages[:MAX_LISTED_CUSTOMERS], others]


def compute_weighted_share(state: PoolState, job: Job) -> float:
    """Return the dominant share of the fleet that the job's customer holds, over its weight.

    0 for a job without a customer, so that the order of such jobs does not depend on it.
    """
    usage = state.customers.get(job.record.customer)
    if usage is None:
        return 0.0
    if usage.share_inputs is None or (
        usage.share_inputs[0] is not usage.held
        or usage.share_inputs[1] is not state.fleet
        or usage.share_inputs[2] is not usage.policy
    ):
        weight = usage.policy.weight if usage.policy is not None else 1.0
        share = usage.held.compute_dominant_share(state.fleet)
        usage.weighted_share = share / max(weight, MIN_WEIGHT)
        usage.share_inputs = (usage.held, state.fleet, usage.policy)
    return usage.weighted_share
