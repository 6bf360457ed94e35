"""Admission checks that forbid a start regardless of free resources."""

from __future__ import annotations

from lentilpath_core.ids import WallTime
from lentilpath_core.placement._feasibility import describe_stale_input, is_input_stale
from lentilpath_core.placement._messages import RefuseJob, WaitRule
from lentilpath_core.placement._queues import clear_waiting, enqueue_job
from lentilpath_core.placement._records import Job, PlacementState


def is_allowed_to_start(state: PlacementState, job: Job, wall_now: WallTime | None) -> bool:
    """Return whether the age of the input allows a start.

    Refuses a job with a stale input. Sets the job aside if the wall time is unknown.
    """
    if job.spec.policy.input_max_age_ms is None:
        return True
    if wall_now is None:
        job.wait_rule = WaitRule.STALE_INPUT
        state.awaiting_wall_time[job.spec.job] = job
        return False
    if not is_input_stale(job.spec, wall_now):
        return True
    refuse_job(state, job, WaitRule.STALE_INPUT, describe_stale_input(job.spec, wall_now))
    return False


def requeue_awaiting_wall_time(state: PlacementState) -> None:
    """Requeue the jobs that waited because the wall time was unknown."""
    jobs, state.awaiting_wall_time = state.awaiting_wall_time, {}
    for job in jobs.values():
        enqueue_job(state, job)


def refuse_job(state: PlacementState, job: Job, rule: WaitRule, reason: str) -> None:
    """Refuse the job: remove its waiting tasks and add a `RefuseJob` decision with `reason`."""
    job.refused = True
    job.wait_rule = rule
    job.refusal_reason = reason
    clear_waiting(state, job)
    state.pending_decisions.append(RefuseJob(job.spec.job, reason))
