"""Which read or write of the table comes next. At most one is on its way at any time."""

from __future__ import annotations

from dataclasses import replace

from lentilpath_core.ids import Epoch, Instant, WriteId
from lentilpath_core.leadership._messages import Effects, ReadRows, WriteRows
from lentilpath_core.leadership._rows import ZoneRow
from lentilpath_core.leadership._rules import get_watch_ms, list_roster, may_take_over
from lentilpath_core.leadership._state import LeadershipState, PendingWrite, WriteKind

Decision = tuple[LeadershipState, Effects]

POLL_EVERY_MS = 400
"""How often a process that does not lead reads the zone row."""
RETRY_AFTER_MS = 200
"""How long a process waits before it asks a failing table again."""


def ask_table(state: LeadershipState, now: Instant) -> Decision:
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


def get_next_poll(state: LeadershipState, now: Instant) -> Instant:
    """Return when a process that does not lead asks the table again."""
    # A take-over does not wait for the next poll, since its write checks the version anyway.
    next_poll = now + POLL_EVERY_MS
    row = state.seen.row if state.seen is not None else None
    if row is None:
        return Instant(next_poll)
    watch_end = state.seen_since + get_watch_ms(state.settings, row)
    return Instant(min(next_poll, watch_end) if watch_end > now else next_poll)


def note_failure(state: LeadershipState, now: Instant) -> LeadershipState:
    """Return the state after a request that the table did not answer."""
    idle = state.lead is None and state.pending is None
    delay_ms = POLL_EVERY_MS if idle else RETRY_AFTER_MS
    return replace(
        state, table_busy=False, table_failing=True, table_due_at=Instant(now + delay_ms)
    )


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
