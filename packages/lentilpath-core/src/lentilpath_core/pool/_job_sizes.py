"""How much memory the leader needs for a job, and how much it has for all of them."""

from __future__ import annotations

from lentilpath_core.pool._model import JobRecord

JOB_BYTES = 3_072
"""A job without its text and steps."""
STEP_BYTES = 2_560
"""A step with its place in the queues, and its decoded record."""
TASK_BYTES = 40
"""The number of a task that waits."""
MAX_HELD_BYTES = 67_108_864
"""A third of the smallest entry host's memory, 200 MB. It is enough for 6,900 jobs with one step
and the longest text, of 4,000 bytes."""


def estimate_occurrence_bytes(record: JobRecord) -> int:
    """Return the bytes that a leader needs for each occurrence of a job that has begun."""
    return sum(STEP_BYTES + TASK_BYTES * step.count for step in record.steps)


def estimate_job_bytes(record: JobRecord) -> int:
    """Return the bytes that a leader needs for a new job."""
    return JOB_BYTES + len(record.text) + estimate_occurrence_bytes(record)
