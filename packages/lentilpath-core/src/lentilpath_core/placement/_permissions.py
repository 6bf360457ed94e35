"""Starts that are forbidden whatever room there is."""

from __future__ import annotations

from lentilpath_core.ids import WallTime
from lentilpath_core.placement._feasibility import describe_stale_input, is_input_stale
from lentilpath_core.placement._messages import RefuseJob, WaitRule
from lentilpath_core.placement._queues import clear_waiting, enqueue_job
from lentilpath_core.placement._records import Job, PlacementState


def is_allowed_to_start(state: PlacementState, job: Job, wall_now: WallTime | None) -> bool:
    """Return whether the age of the input allows a start; a job with a stale one is refused."""
    if job.spec.policy.input_max_age_ms is None:
        return True
    if wall_now is None:
        job.rule = WaitRule.STALE_INPUT
        state.undated[job.spec.job] = job
        return False
    if not is_input_stale(job.spec, wall_now):
        return True
    refuse_job(state, job, WaitRule.STALE_INPUT, describe_stale_input(job.spec, wall_now))
    return False


def queue_undated(state: PlacementState) -> None:
    """Let jobs be tried again that waited for a known wall time."""
    undated, state.undated = state.undated, {}
    for job in undated.values():
        enqueue_job(state, job)


def refuse_job(state: PlacementState, job: Job, rule: WaitRule, reason: str) -> None:
    """Let no task of the job start, and say why."""
    job.refused = True
    job.rule = rule
    job.refusal = reason
    clear_waiting(state, job)
    state.pending.append(RefuseJob(job.spec.job, reason))
