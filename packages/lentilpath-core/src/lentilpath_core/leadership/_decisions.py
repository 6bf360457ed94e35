"""Leadership decisions of one process: event, state, now -> state, effects."""

from __future__ import annotations

from dataclasses import replace
from functools import singledispatch

from lentilpath_core.ids import Instant
from lentilpath_core.leadership._messages import (
    AnnounceRelease,
    AnswerPromise,
    AskPromises,
    ClockAdvanced,
    HelloReceived,
    LeadershipEvent,
    ListenerBound,
    PromiseAsked,
    PromiseGiven,
    ReadFailed,
    ReleaseAnnounced,
    ReleaseRequested,
    WriteAnswered,
    WriteOutcome,
    ZoneWasRead,
)
from lentilpath_core.leadership._rows import Member
from lentilpath_core.leadership._rules import (
    MEMBER_TIMEOUT_MS,
    find_promise_refusal,
    get_given_promise_deadline,
    get_promise_deadline,
    get_table_deadline,
    list_promisers,
    may_take_over,
    needs_promises,
)
from lentilpath_core.leadership._state import (
    Lead,
    LeadershipState,
    PendingWrite,
    PromiseRound,
    WriteKind,
)
from lentilpath_core.leadership._table import (
    TABLE_RETRY_DELAY_MS,
    Decision,
    get_next_poll_time,
    record_table_failure,
    send_next_request,
)


def decide(event: LeadershipEvent, state: LeadershipState, now: Instant) -> Decision:
    """Return the new state and the effects to carry out, in order.

    At most one read or write of the table is in flight at any time: a `ReadRows` is followed by a
    `ZoneWasRead` or a `ReadFailed`, a `WriteRows` by a `WriteAnswered`, before the next request.
    The caller passes events in the order in which they happen, with a `now` that never decreases.
    """
    return _decide(event, state, now)


@singledispatch
def _decide(event: LeadershipEvent, state: LeadershipState, now: Instant) -> Decision:
    raise TypeError(f"no decision for {event!r}")


@_decide.register
def _(event: ClockAdvanced, state: LeadershipState, now: Instant) -> Decision:
    state, table_effects = send_next_request(state, now)
    state, promise_effects = _ask_promises(state, now)
    return state, table_effects + promise_effects


@_decide.register
def _(event: ZoneWasRead, state: LeadershipState, now: Instant) -> Decision:
    previous = state.seen
    if previous is None or previous.version != event.read.version:
        state = replace(state, seen_since=now)
    state = replace(
        state,
        seen=event.read,
        table_busy=False,
        read_required=False,
        table_failing=False,
        next_request_at=now,
    )
    state = _resolve_pending_write(state)
    state = _drop_lead_if_superseded(state)
    if state.lead is None and not may_take_over(state, now):
        state = replace(state, next_request_at=get_next_poll_time(state, now))
    if state.pending is not None:
        state = replace(state, next_request_at=Instant(now + TABLE_RETRY_DELAY_MS))
    return send_next_request(state, now)


@_decide.register
def _(event: ReadFailed, state: LeadershipState, now: Instant) -> Decision:
    return record_table_failure(state, now), ()


@_decide.register
def _(event: WriteAnswered, state: LeadershipState, now: Instant) -> Decision:
    state = replace(state, table_busy=False)
    pending = state.pending
    if pending is None or pending.write.row.write_id != event.write_id:
        return state, ()
    if event.outcome in (WriteOutcome.APPLIED, WriteOutcome.REJECTED):
        # Only a read tells the row's new version, and whether a copy was rejected because an
        # earlier copy of the same write had applied.
        state = replace(state, read_required=True, next_request_at=now)
        return send_next_request(state, now)
    if event.outcome is WriteOutcome.UNKNOWN:
        state = replace(state, pending=replace(pending, unclear=True))
    elif not pending.unclear:
        state = replace(state, pending=None)
    return record_table_failure(state, now), ()


@_decide.register
def _(event: HelloReceived, state: LeadershipState, now: Instant) -> Decision:
    heard = {
        member: heard_at
        for member, heard_at in state.last_heard
        if now - heard_at <= MEMBER_TIMEOUT_MS and member.host != event.member.host
    }
    heard[event.member] = now
    return replace(state, last_heard=tuple(sorted(heard.items()))), ()


@_decide.register
def _(event: PromiseAsked, state: LeadershipState, now: Instant) -> Decision:
    refusal = find_promise_refusal(state, event)
    if refusal is not None:
        return state, (AnswerPromise(False, refusal),)
    end = get_given_promise_deadline(now, event.duration_ms, state.settings)
    state = replace(state, lead=None, promised_until=Instant(max(state.promised_until, end)))
    return state, (AnswerPromise(True, ""),)


@_decide.register
def _(event: PromiseGiven, state: LeadershipState, now: Instant) -> Decision:
    current = state.promise_round
    if current is None or current.number != event.round or state.lead is None:
        return state, ()
    unanswered = current.unanswered - {event.member}
    state = replace(state, promise_round=replace(current, unanswered=unanswered))
    return _extend_by_promises(state), ()


@_decide.register
def _(event: ListenerBound, state: LeadershipState, now: Instant) -> Decision:
    if state.listening_since is None:
        state = replace(state, listening_since=now)
    return state, ()


@_decide.register
def _(event: ReleaseRequested, state: LeadershipState, now: Instant) -> Decision:
    was_leading = state.lead is not None
    state = replace(state, stopping=True, lead=None, promise_round=None)
    if not was_leading and (state.pending is None or state.pending.kind is not WriteKind.TAKE_OVER):
        return replace(state, pending=None), ()
    return send_next_request(replace(state, next_request_at=now), now)


@_decide.register
def _(event: ReleaseAnnounced, state: LeadershipState, now: Instant) -> Decision:
    state = replace(state, read_required=True, next_request_at=now)
    return send_next_request(state, now)


def is_released(state: LeadershipState) -> bool:
    """Return whether a planned stop has nothing left to write."""
    row = state.seen.row if state.seen is not None else None
    holds_row = row is not None and row.holder == state.member and not row.released
    return state.stopping and state.pending is None and not holds_row


def _resolve_pending_write(state: LeadershipState) -> LeadershipState:
    """Resolve the pending write, whose outcome is unknown, by the row that was just read."""
    pending = state.pending
    seen = state.seen
    if pending is None or seen is None:
        return state
    if seen.row is not None and seen.row.write_id == pending.write.row.write_id:
        state = replace(state, pending=None)
        return _grant_by_table(state, pending)
    if seen.version != pending.write.version:
        # The row has another version, so no copy of the write can apply any more.
        return replace(state, pending=None)
    return state


def _grant_by_table(state: LeadershipState, pending: PendingWrite) -> LeadershipState:
    seen = state.seen
    assert seen is not None
    if state.stopping:
        return state
    until = get_table_deadline(pending.sent_at, state.settings)
    backed_by_table = True
    if state.lead is not None and state.lead.until > until:
        until = state.lead.until
        backed_by_table = state.lead.backed_by_table
    lead = Lead(
        pending.write.row.epoch, seen.epoch_version, pending.sent_at, until, backed_by_table
    )
    return replace(state, lead=lead, promise_round=None)


def _drop_lead_if_superseded(state: LeadershipState) -> LeadershipState:
    row = state.seen.row if state.seen is not None else None
    if state.lead is None or (row is not None and row.holder == state.member):
        return state
    return replace(state, lead=None, promise_round=None)


def _ask_promises(state: LeadershipState, now: Instant) -> Decision:
    """Begin a promise round if one is needed and the last began `renew_every_ms` ago or earlier."""
    lead = state.lead
    if lead is None or not needs_promises(state, lead, now):
        return state, ()
    last = state.promise_round
    if last is not None and now < last.asked_at + state.settings.renew_every_ms:
        return state, ()
    members = list_promisers(state)
    number = state.promise_round_count + 1
    state = replace(
        state, promise_round_count=number, promise_round=PromiseRound(number, now, members)
    )
    if not members:
        return _extend_by_promises(state), ()
    asked: tuple[Member, ...] = tuple(sorted(members))
    return state, (AskPromises(asked, lead.epoch, number, state.settings.promise_ms),)


def _extend_by_promises(state: LeadershipState) -> LeadershipState:
    lead = state.lead
    current = state.promise_round
    if lead is None or current is None or current.unanswered:
        return state
    until = get_promise_deadline(current.asked_at, lead, state.settings)
    if until <= lead.until:
        return state
    return replace(state, lead=replace(lead, until=until, backed_by_table=False))


def list_release_effects(state: LeadershipState) -> tuple[AnnounceRelease, ...]:
    """Return the announcement to the other members that the zone was released, if it was."""
    row = state.seen.row if state.seen is not None else None
    if row is None or not row.released:
        return ()
    others = tuple(member for member in row.roster if member != state.member)
    return (AnnounceRelease(others),) if others else ()
