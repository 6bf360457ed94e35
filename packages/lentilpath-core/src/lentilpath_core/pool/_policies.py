"""The policy of a job's queue, which the job keeps if the queue is removed."""

from __future__ import annotations

import msgspec

from lentilpath_core.pool._model import (
    AcceptedPolicy,
    JobRecord,
    PoolConfiguration,
    QueuePolicy,
)


def keep_policy(record: JobRecord, policy: QueuePolicy) -> JobRecord:
    """Return the record of a job that is accepted under this policy, with what it needs of it."""
    kept = AcceptedPolicy(
        policy.service,
        policy.priority,
        policy.max_attempts,
        policy.slack_factor,
        policy.target_ms,
        policy.advice,
    )
    return msgspec.structs.replace(record, policy=kept)


def find_policy(configuration: PoolConfiguration, record: JobRecord) -> QueuePolicy | None:
    """Return the policy of a job's queue: the one in force, else the one it was accepted under.

    `None` if neither is known: an earlier release stored the job, and its queue is gone.
    """
    policy = configuration.queues.get(record.queue)
    if policy is not None or record.policy is None:
        return policy
    kept = record.policy
    return QueuePolicy(
        record.queue,
        # The queue takes no calls any more.
        host="",
        path_prefix="",
        timeout_ms=0,
        service=kept.service,
        priority=kept.priority,
        max_attempts=kept.max_attempts,
        slack_factor=kept.slack_factor,
        target_ms=kept.target_ms,
        advice=kept.advice,
    )
