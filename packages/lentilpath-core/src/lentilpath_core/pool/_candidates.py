"""The workers on which a step may start tasks, whether or not they have room."""

from __future__ import annotations

from collections.abc import Iterable

from lentilpath_core.ids import Instant, ServiceId
from lentilpath_core.pool._capacity import is_capacity_known
from lentilpath_core.pool._state import Step, Worker

MAX_REPORT_AGE_MS = 2_000
"""A worker gets no starts if its last answered renewal was sent longer ago than this. It is twice
the interval between renewals."""
Candidates = dict[tuple[ServiceId, str], list[Worker]]
"""Workers that may be used in a pass, by service and label."""


def is_schedulable(worker: Worker, now: Instant) -> bool:
    """Return whether tasks may be started on a worker now."""
    return (
        worker.is_listed
        and worker.is_recorded
        and worker.reported_at is not None
        and now <= worker.reported_at + MAX_REPORT_AGE_MS
        and now >= worker.cooldown_until
        and now >= worker.rests_until
        and worker.listed.leaves_in_ms is None
        and is_capacity_known(worker, now)
    )


def list_candidates(step: Step, schedulable: Iterable[Worker], known: Candidates) -> list[Worker]:
    """Return the workers with the step's service and label, whether or not they have room.

    They are listed once in a pass, as `known`, since many steps wait for the same workers.
    """
    policy = step.job.policy
    if policy is None:
        return []
    label = step.spec.label
    key = (policy.service, label)
    if key not in known:
        known[key] = [
            each
            for each in schedulable
            if each.listed.service == policy.service and (not label or label in each.listed.labels)
        ]
    return known[key]


def list_allowed(step: Step, candidates: list[Worker]) -> list[Worker]:
    """Return the candidates for which the step has had a ticket, if it has asked for any."""
    if step.tickets is None:
        return candidates
    return [each for each in candidates if each.worker in step.tickets]
