"""The conditions on which the safety of the leadership protocol depends, one function for each."""

from __future__ import annotations

from lentilpath_core.ids import Instant
from lentilpath_core.leadership._messages import PromiseAsked
from lentilpath_core.leadership._rows import Member, ZoneRow
from lentilpath_core.leadership._state import Lead, LeadershipState, PendingWrite, WriteKind
from lentilpath_core.settings import LeadershipSettings

MEMBER_TIMEOUT_MS = 5_000
"""A process that the holder has not heard from for this long is dropped from the roster."""

DRIFT_MARGIN_DIVISOR = 200
"""For long durations the margin is the duration divided by this, because clocks differ in rate,
not by a fixed amount. It covers two clocks that each run up to 0.5% too fast or too slow."""


def get_margin_ms(duration_ms: int, settings: LeadershipSettings) -> int:
    """Return the margin for clock drift over `duration_ms`, in milliseconds.

    A holder subtracts it from the duration, and a process that waits for the holder adds it.
    """
    return max(settings.drift_margin_ms, duration_ms // DRIFT_MARGIN_DIVISOR)


def get_table_deadline(sent_at: Instant, settings: LeadershipSettings) -> Instant:
    """Return when the authority gained by a table write that was sent at `sent_at` ends."""
    margin_ms = get_margin_ms(settings.lease_ms, settings)
    return Instant(sent_at + settings.lease_ms - margin_ms)


def get_promise_deadline(asked_at: Instant, lead: Lead, settings: LeadershipSettings) -> Instant:
    """Return when the authority gained by promises requested at `asked_at` ends.

    It ends before a newcomer may take over, however many rounds succeed.
    """
    promise_ms = settings.promise_ms
    horizon_ms = settings.newcomer_horizon_ms
    by_promise = asked_at + promise_ms - get_margin_ms(promise_ms, settings)
    by_horizon = lead.table_sent_at + horizon_ms - get_margin_ms(horizon_ms, settings)
    return Instant(min(by_promise, by_horizon))


def get_given_promise_deadline(
    now: Instant, duration_ms: int, settings: LeadershipSettings
) -> Instant:
    """Return until when a promise given at `now` binds the process that gives it."""
    return Instant(now + duration_ms + get_margin_ms(duration_ms, settings))


def list_promisers(state: LeadershipState) -> frozenset[Member]:
    """Return every other member of every roster that the holder may have written.

    A renewal of unknown outcome may have applied, so its roster counts besides the one last read.
    """
    rosters: set[Member] = set()
    if state.seen is not None and state.seen.row is not None:
        rosters.update(state.seen.row.roster)
    if state.pending is not None:
        rosters.update(state.pending.write.row.roster)
    return frozenset(rosters - {state.member})


def find_promise_refusal(state: LeadershipState, event: PromiseAsked) -> str | None:
    """Return why this process must not promise, or `None` if it may."""
    if event.asked != state.member:
        return f"{event.asked.incarnation} has ended; {state.member.incarnation} answers"
    if is_take_over_pending(state.pending):
        return "a take-over of this process may still apply"
    if state.lead is not None and state.lead.epoch >= event.epoch:
        return f"this process leads epoch {state.lead.epoch}"
    row = state.seen.row if state.seen is not None else None
    if row is not None and row.epoch > event.epoch:
        return f"epoch {row.epoch} has begun"
    return None


def is_take_over_pending(pending: PendingWrite | None) -> bool:
    """Return whether a take-over was sent whose outcome is not yet known for certain."""
    return pending is not None and pending.kind is WriteKind.TAKE_OVER


def may_take_over(state: LeadershipState, now: Instant) -> bool:
    """Return whether no other process can hold authority, provided the row is still unchanged."""
    if state.stopping or state.seen is None or state.pending is not None:
        return False
    row = state.seen.row
    if row is None or row.released:
        return True
    if now < state.promised_until:
        return False
    unchanged_ms = now - state.seen_since
    if unchanged_ms < get_member_wait_ms(state.settings, row):
        return False
    if state.member in row.roster:
        return True
    if has_predecessor_in_roster(state, row):
        return have_predecessor_promises_expired(state, row, now)
    return unchanged_ms >= get_newcomer_wait_ms(state.settings, row)


def get_member_wait_ms(settings: LeadershipSettings, row: ZoneRow) -> int:
    """Return how long a member must see the row version unchanged before it takes over, in ms."""
    lease_ms = max(settings.lease_ms, row.lease_ms)
    return lease_ms + get_margin_ms(lease_ms, settings)


def get_newcomer_wait_ms(settings: LeadershipSettings, row: ZoneRow) -> int:
    """Return how long a host outside the roster must see the row version unchanged, in ms."""
    horizon_ms = max(settings.newcomer_horizon_ms, row.newcomer_horizon_ms)
    return horizon_ms + get_margin_ms(horizon_ms, settings)


def has_predecessor_in_roster(state: LeadershipState, row: ZoneRow) -> bool:
    """Return whether an earlier process of this host is in the roster.

    This process now has its address, so the earlier one can give no further promise, and without
    that promise the holder cannot extend its authority.
    """
    return any(member.host == state.member.host for member in row.roster)


def have_predecessor_promises_expired(state: LeadershipState, row: ZoneRow, now: Instant) -> bool:
    """Return whether every promise of this host's earlier process has expired."""
    if state.listening_since is None:
        return False
    promise_ms = max(state.settings.promise_ms, row.promise_ms)
    return now >= get_given_promise_deadline(state.listening_since, promise_ms, state.settings)


def needs_promises(state: LeadershipState, lead: Lead, now: Instant) -> bool:
    """Return whether the table fails or may answer only after the lease has expired."""
    late_ms = state.settings.renew_every_ms * 3 // 2
    return state.table_failing or now >= lead.table_sent_at + late_ms


def build_roster(state: LeadershipState, now: Instant) -> tuple[Member, ...]:
    """Return the roster for the next write: this process and all it heard from recently."""
    recent = {
        member for member, heard_at in state.last_heard if now - heard_at <= MEMBER_TIMEOUT_MS
    }
    return tuple(sorted(recent | {state.member}))
