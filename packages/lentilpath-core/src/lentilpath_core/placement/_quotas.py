"""Fair-share order of teams, and limits on borrowing unused guarantees."""

from __future__ import annotations

from lentilpath_core.ids import TeamId
from lentilpath_core.placement._learning import estimate_run_ms
from lentilpath_core.placement._queues import is_preemptible
from lentilpath_core.placement._records import Job, PlacementState, Tier
from lentilpath_core.placement._rooms import compute_unused_guarantee
from lentilpath_core.resources import NO_RESOURCES, Resources
from lentilpath_core.workloads import WorkloadKind

LENDABLE_RUN_MS = 900_000
"""Tasks expected to run no longer than this may borrow resources guaranteed to other teams."""
MIN_WEIGHT = 0.02
"""Least weight of a team, as a share of the zone, if its guarantee is smaller or missing."""


def rank_team(state: PlacementState, name: TeamId, tier: Tier) -> tuple[bool, Tier, float]:
    """Return the sort key of a team's work in a tier.

    Teams within their guarantee go first, then the more urgent tier, then the smaller dominant
    share weighted by the guarantee.
    """
    team = state.teams[name]
    inputs = team.share_inputs
    if (
        inputs is None
        or inputs[0] is not team.allocated
        or inputs[1] is not team.guaranteed
        or inputs[2] is not state.total
    ):
        weight = max(MIN_WEIGHT, team.guaranteed.compute_dominant_share(state.total))
        team.weighted_share = team.allocated.compute_dominant_share(state.total) / weight
        team.share_inputs = (team.allocated, team.guaranteed, state.total)
    # A weighted share above 1 means that the team exceeds its guarantee.
    return (team.weighted_share > 1, tier, team.weighted_share)


def is_within_quota(state: PlacementState, job: Job, needed: Resources) -> bool:
    """Return whether the team may be allocated `needed` more, within its guarantee or borrowed.

    Preemptible and short tasks may borrow unused guarantees of other teams; other tasks may not.
    """
    team = job.team
    if state.unused_guarantees == NO_RESOURCES or (team.allocated + needed).fits_in(
        team.guaranteed
    ):
        return True
    if is_preemptible(job):
        return True
    if job.spec.kind is not WorkloadKind.SERVICE and estimate_run_ms(job) <= LENDABLE_RUN_MS:
        return True
    others_unused = state.unused_guarantees - compute_unused_guarantee(team)
    return (state.allocated + needed + others_unused).fits_in(state.total)
