"""What one process does about the leadership of its zone: state, event, now -> state, effects."""

from __future__ import annotations

from dataclasses import replace
from functools import singledispatch

from lentilpath_core.ids import Epoch, Instant, WriteId
from lentilpath_core.leadership._messages import (
    AnnounceRelease,
    AnswerPromise,
    AskPromises,
    ClockAdvanced,
    Effects,
    HelloReceived,
    LeadershipEvent,
    ListenerBound,
    PromiseAsked,
    PromiseGiven,
    ReadFailed,
    ReadRows,
    ReleaseNoticed,
    ReleaseRequested,
    WriteAnswered,
    WriteOutcome,
    WriteRows,
    ZoneWasRead,
)
from lentilpath_core.leadership._rows import Member, ZoneRow
from lentilpath_core.leadership._rules import (
    MEMBER_FRESH_MS,
    find_promise_refusal,
    get_own_promise_end,
    get_promise_deadline,
    get_table_deadline,
    get_watch_ms,
    list_promisers,
    list_roster,
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

Decision = tuple[LeadershipState, Effects]

POLL_EVERY_MS = 400
"""How often a process that does not lead reads the zone row."""
RETRY_AFTER_MS = 200
"""How long a process waits before it asks a failing table again."""


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
    state, table_effects = _ask_table(state, now)
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
        state = replace(state, table_due_at=_get_next_poll(state, now))
    if state.pending is not None:
        state = replace(state, table_due_at=Instant(now + RETRY_AFTER_MS))
    return _ask_table(state, now)


@_decide.register
def _(event: ReadFailed, state: LeadershipState, now: Instant) -> Decision:
    return _note_failure(state, now), ()


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
        return _ask_table(state, now)
    if event.outcome is WriteOutcome.UNKNOWN:
        state = replace(state, pending=replace(pending, unclear=True))
    elif not pending.unclear:
        state = replace(state, pending=None)
    return _note_failure(state, now), ()


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
    return _ask_table(replace(state, table_due_at=now), now)


@_decide.register
def _(event: ReleaseNoticed, state: LeadershipState, now: Instant) -> Decision:
    state = replace(state, read_due=True, table_due_at=now)
    return _ask_table(state, now)


def is_released(state: LeadershipState) -> bool:
    """Return whether a planned stop has nothing left to write."""
    row = state.seen.row if state.seen is not None else None
    holds_row = row is not None and row.holder == state.member and not row.released
    return state.stopping and state.pending is None and not holds_row


def _ask_table(state: LeadershipState, now: Instant) -> Decision:
    """Send the next read or write to the table if one is due."""
    if state.table_busy or now < state.table_due_at:
        return state, ()
    if state.read_due or state.seen is None:
        return _read(state)
    if state.stopping:
        return _ask_table_while_stopping(state, now)
    if state.pending is not None:
        return _send(state, state.pending)
    if state.lead is not None:
        if now < state.lead.table_sent_at + state.settings.renew_every_ms:
            return state, ()
        return _start_write(state, now, WriteKind.RENEW)
    if may_take_over(state, now):
        return _start_write(state, now, WriteKind.TAKE_OVER)
    return _read(state)


def _ask_table_while_stopping(state: LeadershipState, now: Instant) -> Decision:
    row = state.seen.row if state.seen is not None else None
    pending = state.pending
    if pending is not None and pending.kind is not WriteKind.RENEW:
        return _send(state, pending)
    if row is not None and row.holder == state.member and not row.released:
        # An unclear renewal is given up: authority is over, and the release checks its version.
        return _start_write(state, now, WriteKind.RELEASE)
    return replace(state, pending=None), ()


def _read(state: LeadershipState) -> Decision:
    return replace(state, table_busy=True), (ReadRows(),)


def _start_write(state: LeadershipState, now: Instant, kind: WriteKind) -> Decision:
    pending = PendingWrite(kind, _make_write(state, now, kind), now)
    state = replace(state, writes=state.writes + 1, pending=pending)
    return _send(state, pending)


def _send(state: LeadershipState, pending: PendingWrite) -> Decision:
    return replace(state, table_busy=True), (pending.write,)


def _make_write(state: LeadershipState, now: Instant, kind: WriteKind) -> WriteRows:
    assert state.seen is not None
    row = state.seen.row
    epoch = Epoch(0) if row is None else row.epoch
    takes_over = kind is WriteKind.TAKE_OVER
    next_row = ZoneRow(
        epoch=Epoch(epoch + 1) if takes_over else epoch,
        holder=state.member,
        roster=list_roster(state, now),
        write_id=WriteId(f"{state.member.incarnation}/leadership/{state.writes + 1}"),
        released=kind is WriteKind.RELEASE,
        lease_ms=state.settings.lease_ms,
        promise_ms=state.settings.promise_ms,
        newcomer_horizon_ms=state.settings.newcomer_horizon_ms,
    )
    return WriteRows(next_row, state.seen.version, state.seen.epoch_version, takes_over)


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


def _get_next_poll(state: LeadershipState, now: Instant) -> Instant:
    # A take-over does not wait for the next poll, since its write checks the version anyway.
    next_poll = now + POLL_EVERY_MS
    row = state.seen.row if state.seen is not None else None
    if row is None:
        return Instant(next_poll)
    watch_end = state.seen_since + get_watch_ms(state.settings, row)
    return Instant(min(next_poll, watch_end) if watch_end > now else next_poll)


def _note_failure(state: LeadershipState, now: Instant) -> LeadershipState:
    idle = state.lead is None and state.pending is None
    delay_ms = POLL_EVERY_MS if idle else RETRY_AFTER_MS
    return replace(
        state, table_busy=False, table_failing=True, table_due_at=Instant(now + delay_ms)
    )


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
