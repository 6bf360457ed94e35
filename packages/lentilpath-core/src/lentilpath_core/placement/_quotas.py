"""Whose turn it is, and what a team may borrow."""

from __future__ import annotations

from lentilpath_core.ids import TeamId
from lentilpath_core.placement._learning import estimate_run_ms
from lentilpath_core.placement._queues import can_make_room
from lentilpath_core.placement._records import Job, PlacementState, Tier
from lentilpath_core.placement._rooms import take_unused
from lentilpath_core.resources import NO_RESOURCES, Resources
from lentilpath_core.workloads import WorkloadKind

LENDABLE_RUN_MS = 900_000
"""Tasks no longer than this may borrow room that is guaranteed to others."""
MIN_WEIGHT = 0.02
"""Weight of a team with no guarantee, as a share of the zone."""


def rank_team(state: PlacementState, name: TeamId, tier: Tier) -> tuple[bool, Tier, float]:
    """Return the order of a team's work: what is guaranteed first, then class, then share."""
    team = state.teams[name]
    known = team.share_of
    if (
        known is None
        or known[0] is not team.used
        or known[1] is not team.guaranteed
        or known[2] is not state.total
    ):
        weight = max(MIN_WEIGHT, _find_share(team.guaranteed, state.total))
        team.share = _find_share(team.used, state.total) / weight
        team.share_of = (team.used, team.guaranteed, state.total)
    # A team that holds more than its guarantee has a weighted share above 1.
    return (team.share > 1, tier, team.share)


def _find_share(amount: Resources, total: Resources) -> float:
    share = 0.0
    if total.millicores:
        share = amount.millicores / total.millicores
    if total.memory_mib:
        share = max(share, amount.memory_mib / total.memory_mib)
    if total.accelerators:
        share = max(share, amount.accelerators / total.accelerators)
    return share


def is_within_quota(state: PlacementState, job: Job, needed: Resources) -> bool:
    """Return whether the team may hold `needed` more, of its own or borrowed."""
    team = job.team
    if state.unused_guarantees == NO_RESOURCES or (team.used + needed).fits_in(team.guaranteed):
        return True
    if can_make_room(job):
        return True
    if job.spec.kind is not WorkloadKind.SERVICE and estimate_run_ms(job) <= LENDABLE_RUN_MS:
        return True
    kept_for_others = state.unused_guarantees - take_unused(team)
    return (state.used + needed + kept_for_others).fits_in(state.total)
