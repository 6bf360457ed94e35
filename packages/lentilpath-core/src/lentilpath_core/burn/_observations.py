"""Good and bad events of task objectives, derived from journal events."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lentilpath_core.configuration import CellConfiguration, ObjectiveKind, ObjectiveSettings
from lentilpath_core.ids import JobId, WallTime, get_job_of_task
from lentilpath_core.states import AttemptOutcome
from lentilpath_core.zone.journal import AttemptEnded, AttemptStarting, JournalEvent
from lentilpath_core.zone.records import JobRecord

UNCOUNTED_OUTCOMES = frozenset({AttemptOutcome.STOPPED, AttemptOutcome.NOT_STARTED})
"""Attempts stopped on command and attempts that never started count as neither good nor bad."""


@dataclass(frozen=True, slots=True)
class Observation:
    """One good or bad event of an objective."""

    objective: str
    good: bool
    cause: str
    at: WallTime


def list_task_observations(
    event: JournalEvent,
    find_job: Callable[[JobId], JobRecord | None],
    configuration: CellConfiguration,
) -> tuple[Observation, ...]:
    """Return the observations that `event` gives for the objectives of `configuration`."""
    if not isinstance(event, AttemptStarting | AttemptEnded):
        return ()
    job = find_job(get_job_of_task(event.task))
    if job is None:
        return ()
    subject = job.spec.policy.priority.value
    observations = [
        _make_observation(event, name, objective, job)
        for name, objective in configuration.objectives.items()
        if objective.subject == subject
    ]
    return tuple(observation for observation in observations if observation is not None)


def _make_observation(
    event: AttemptStarting | AttemptEnded, name: str, objective: ObjectiveSettings, job: JobRecord
) -> Observation | None:
    if isinstance(event, AttemptStarting):
        if objective.kind is not ObjectiveKind.TASK_WAIT or event.attempt > 1:
            return None
        wait_ms = event.decided_at - job.accepted_at
        good = wait_ms <= (objective.threshold_ms or 0)
        cause = f"late starts of team {job.spec.team}"
        return Observation(name, good, cause, event.decided_at)
    if objective.kind is not ObjectiveKind.TASK_SUCCESS or event.outcome in UNCOUNTED_OUTCOMES:
        return None
    good = event.outcome is AttemptOutcome.SUCCEEDED
    return Observation(name, good, f"{event.outcome.value} on {event.worker}", event.ended_at)
