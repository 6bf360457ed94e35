"""What one process does about the leadership of its zone: state, event, now -> state, effects."""

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
    ReleaseNoticed,
    ReleaseRequested,
    WriteAnswered,
    WriteOutcome,
    ZoneWasRead,
)
from lentilpath_core.leadership._rows import Member
from lentilpath_core.leadership._rules import (
    MEMBER_FRESH_MS,
    find_promise_refusal,
    get_own_promise_end,
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
    RETRY_AFTER_MS,
    Decision,
    ask_table,
    get_next_poll,
    note_failure,
)


def decide(event: LeadershipEvent, state: LeadershipState, now: Instant) -> Decision:
    """Return the new state and what has to be done, in order.

    At most one read or write of the table is on its way at any time: after a `ReadRows` comes a
    `ZoneWasRead` or a `ReadFailed`, after a `WriteRows` a `WriteAnswered`, before another is asked
    for. The caller passes events in the order in which they happen, with a `now` that never falls.
    """
    return _decide(event, state, now)


@singledispatch
def _decide(event: LeadershipEvent, state: LeadershipState, now: Instant) -> Decision:
    raise TypeError(f"no decision for {event!r}")


@_decide.register
def _(event: ClockAdvanced, state: LeadershipState, now: Instant) -> Decision:
    state, table_effects = ask_table(state, now)
    state, promise_effects = _ask_promises(state, now)
    return state, table_effects + promise_effects


@_decide.register
def _(event: ZoneWasRead, state: LeadershipState, now: Instant) -> Decision:
    known = state.seen
    if known is None or known.version != event.read.version:
        state = replace(state, seen_since=now)
    state = replace(
        state,
        seen=event.read,
        table_busy=False,
        read_due=False,
        table_failing=False,
        table_due_at=now,
    )
    state = _settle_pending(state)
    state = _notice_other_holder(state)
    if state.lead is None and not may_take_over(state, now):
        state = replace(state, table_due_at=get_next_poll(state, now))
    if state.pending is not None:
        state = replace(state, table_due_at=Instant(now + RETRY_AFTER_MS))
    return ask_table(state, now)


@_decide.register
def _(event: ReadFailed, state: LeadershipState, now: Instant) -> Decision:
    return note_failure(state, now), ()


@_decide.register
def _(event: WriteAnswered, state: LeadershipState, now: Instant) -> Decision:
    state = replace(state, table_busy=False)
    pending = state.pending
    if pending is None or pending.write.row.write_id != event.write_id:
        return state, ()
    if event.outcome in (WriteOutcome.APPLIED, WriteOutcome.REJECTED):
        # Only a read tells the row's new version, and whether a rejected copy came second to
        # an earlier copy of the same write.
        state = replace(state, read_due=True, table_due_at=now)
        return ask_table(state, now)
    if event.outcome is WriteOutcome.UNKNOWN:
        state = replace(state, pending=replace(pending, unclear=True))
    elif not pending.unclear:
        state = replace(state, pending=None)
    return note_failure(state, now), ()


@_decide.register
def _(event: HelloReceived, state: LeadershipState, now: Instant) -> Decision:
    heard = {
        member: heard_at
        for member, heard_at in state.heard
        if now - heard_at <= MEMBER_FRESH_MS and member.host != event.member.host
    }
    heard[event.member] = now
    return replace(state, heard=tuple(sorted(heard.items()))), ()


@_decide.register
def _(event: PromiseAsked, state: LeadershipState, now: Instant) -> Decision:
    refusal = find_promise_refusal(state, event)
    if refusal is not None:
        return state, (AnswerPromise(False, refusal),)
    end = get_own_promise_end(now, event.duration_ms, state.settings)
    state = replace(state, lead=None, promised_until=Instant(max(state.promised_until, end)))
    return state, (AnswerPromise(True, ""),)


@_decide.register
def _(event: PromiseGiven, state: LeadershipState, now: Instant) -> Decision:
    current = state.round
    if current is None or current.number != event.round or state.lead is None:
        return state, ()
    missing = current.missing - {event.member}
    state = replace(state, round=replace(current, missing=missing))
    return _extend_by_promises(state), ()


@_decide.register
def _(event: ListenerBound, state: LeadershipState, now: Instant) -> Decision:
    if state.listening_since is None:
        state = replace(state, listening_since=now)
    return state, ()


@_decide.register
def _(event: ReleaseRequested, state: LeadershipState, now: Instant) -> Decision:
    held = state.lead is not None
    state = replace(state, stopping=True, lead=None, round=None)
    if not held and (state.pending is None or state.pending.kind is not WriteKind.TAKE_OVER):
        return replace(state, pending=None), ()
    return ask_table(replace(state, table_due_at=now), now)


@_decide.register
def _(event: ReleaseNoticed, state: LeadershipState, now: Instant) -> Decision:
    state = replace(state, read_due=True, table_due_at=now)
    return ask_table(state, now)


def is_released(state: LeadershipState) -> bool:
    """Return whether a planned stop has nothing left to write."""
    row = state.seen.row if state.seen is not None else None
    holds_row = row is not None and row.holder == state.member and not row.released
    return state.stopping and state.pending is None and not holds_row


def _settle_pending(state: LeadershipState) -> LeadershipState:
    """Compare the row that was just read with the write whose outcome is not known."""
    pending = state.pending
    seen = state.seen
    if pending is None or seen is None:
        return state
    if seen.row is not None and seen.row.write_id == pending.write.row.write_id:
        state = replace(state, pending=None)
        return _grant_by_table(state, pending)
    if seen.version != pending.write.version:
        # The row has moved on, so no copy of the write can apply any more.
        return replace(state, pending=None)
    return state


def _grant_by_table(state: LeadershipState, pending: PendingWrite) -> LeadershipState:
    seen = state.seen
    assert seen is not None
    if state.stopping:
        return state
    until = get_table_deadline(pending.sent_at, state.settings)
    by_table = True
    if state.lead is not None and state.lead.until > until:
        until = state.lead.until
        by_table = state.lead.by_table
    lead = Lead(pending.write.row.epoch, seen.epoch_version, pending.sent_at, until, by_table)
    return replace(state, lead=lead, round=None)


def _notice_other_holder(state: LeadershipState) -> LeadershipState:
    row = state.seen.row if state.seen is not None else None
    if state.lead is None or (row is not None and row.holder == state.member):
        return state
    return replace(state, lead=None, round=None)


def _ask_promises(state: LeadershipState, now: Instant) -> Decision:
    """Begin a round of promises if they are needed and the last round is old enough."""
    lead = state.lead
    if lead is None or not needs_promises(state, lead, now):
        return state, ()
    last = state.round
    if last is not None and now < last.asked_at + state.settings.renew_every_ms:
        return state, ()
    members = list_promisers(state)
    number = state.rounds + 1
    state = replace(state, rounds=number, round=PromiseRound(number, now, members))
    if not members:
        return _extend_by_promises(state), ()
    asked: tuple[Member, ...] = tuple(sorted(members))
    return state, (AskPromises(asked, lead.epoch, number, state.settings.promise_ms),)


def _extend_by_promises(state: LeadershipState) -> LeadershipState:
    lead = state.lead
    current = state.round
    if lead is None or current is None or current.missing:
        return state
    until = get_promise_deadline(current.asked_at, lead, state.settings)
    if until <= lead.until:
        return state
    return replace(state, lead=replace(lead, until=until, by_table=False))


def list_release_effects(state: LeadershipState) -> tuple[AnnounceRelease, ...]:
    """Return whom to tell once the zone is free."""
    row = state.seen.row if state.seen is not None else None
    if row is None or not row.released:
        return ()
    others = tuple(member for member in row.roster if member != state.member)
    return (AnnounceRelease(others),) if others else ()
