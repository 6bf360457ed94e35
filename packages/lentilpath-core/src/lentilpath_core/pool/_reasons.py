"""Why runs are stopped, lost or blamed, and why jobs fail."""

from __future__ import annotations

from enum import Enum


class StopReason(Enum):
    """Why a run is stopped."""

    JOB_OVER = "job-over"
    """The job has a final state: it was completed or cancelled, or it failed."""
    GANG_BROKEN = "gang-broken"
    """Another member of the gang's run has ended."""
    FROZEN = "frozen"
    """The run made no progress for too long."""
    DUPLICATE = "duplicate"
    """Another run of the task is in progress, or the task is done."""
    UNWANTED = "unwanted"
    """The run's job is not known."""
    EVACUATED = "evacuated"
    """The run's task is lasting and its worker is leaving; the task restarts on another worker."""
    UNCLEAR = "unclear"
    """Its start may have reached the former life of its worker or this one."""
    NO_ROOM = "no-room"
    """Its start was not answered, and the worker's capacity has shrunk since."""


class CrashEvidence(Enum):
    """How it was concluded that a worker's process is over."""

    LATER_PROCESS = "later-process"
    """The registry lists a later process of the worker."""
    MACHINE_TAKEN = "machine-taken"
    """The registry lists a later process on the worker's machine, which runs one at a time."""


class FailureCause(Enum):
    """Why a job has failed."""

    ATTEMPTS = "attempts"
    """Runs of one of its tasks have failed as often as its queue allows."""
    CRASHES = "crashes"
    """Workers have crashed right after they started one of its tasks."""


class LossReason(Enum):
    """How it is known that a run is over although its worker did not list its end."""

    LEASE_LAPSED = "lease-lapsed"
    NEW_LIFE = "new-life"
    """The worker's process has restarted."""
    NOT_LISTED = "not-listed"
    """The worker has answered a renewal without listing the run."""
    REFUSED = "refused"
    """The worker refused the start."""
    NOT_SENT = "not-sent"
    """The start was withdrawn before it was sent."""
