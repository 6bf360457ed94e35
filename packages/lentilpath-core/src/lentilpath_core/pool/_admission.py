"""When to refuse a job, and when its caller should come back.

Answers the load pattern of a burst of twice the traffic on a fleet that is nearly full: what could
only complete after its worth is gone is refused at once, with the time after which it would not be.
"""

from __future__ import annotations

import msgspec

from lentilpath_core.ids import Instant
from lentilpath_core.pool._model import JobRecord, QueuePolicy
from lentilpath_core.pool._state import PoolState


class QueueLoad(msgspec.Struct, frozen=True):
    """A queue's load as the leader sees it."""

    pending: int
    """Accepted jobs none of whose tasks has started."""
    wait_ms: int
    """Estimated time until a job that is accepted now starts."""


def measure_loads(state: PoolState, now: Instant) -> dict[str, QueueLoad]:
    """Return the load of each queue."""
    pending: dict[str, int] = dict.fromkeys(state.configuration.queues, 0)
    oldest: dict[str, Instant] = {}
    for job in state.jobs.values():
        if job.has_started or job.final is not None or job.record.repeats:
            continue
        queue = job.record.queue
        pending[queue] = pending.get(queue, 0) + 1
        oldest[queue] = min(oldest.get(queue, now), job.accepted_at)
    return {
        queue: QueueLoad(count, now - oldest.get(queue, now)) for queue, count in pending.items()
    }


def decide_admission(record: JobRecord, policy: QueuePolicy, load: QueueLoad | None) -> int | None:
    """Return `None` to accept the job, or in how many ms its caller should come back."""
    return None
