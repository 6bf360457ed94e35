"""Chooses the next read or write of the table. At most one is in flight at any time."""

from __future__ import annotations

from dataclasses import replace

from lentilpath_core.ids import Epoch, Instant, WriteId
from lentilpath_core.leadership._messages import Effects, ReadRows, WriteRows
from lentilpath_core.leadership._rows import ZoneRow
from lentilpath_core.leadership._rules import build_roster, get_member_wait_ms, may_take_over
from lentilpath_core.leadership._state import LeadershipState, PendingWrite, WriteKind

Decision = tuple[LeadershipState, Effects]

POLL_INTERVAL_MS = 400
"""How often a process that does not lead reads the zone row."""
TABLE_RETRY_DELAY_MS = 200
"""Delay before a process sends the next request to a failing table."""


def send_next_request(state: LeadershipState, now: Instant) -> Decision:
    """Send the next read or write to the table if one is due."""
    if state.table_busy or now < state.next_request_at:
        return state, ()
    if state.read_required or state.seen is None:
        return _send_read(state)
    if state.stopping:
        return _send_next_request_while_stopping(state, now)
    if state.pending is not None:
        return _send_write(state, state.pending)
    if state.lead is not None:
        if now < state.lead.table_sent_at + state.settings.renew_every_ms:
            return state, ()
        return _start_write(state, now, WriteKind.RENEW)
    if may_take_over(state, now):
        return _start_write(state, now, WriteKind.TAKE_OVER)
    return _send_read(state)


def get_next_poll_time(state: LeadershipState, now: Instant) -> Instant:
    """Return when a process that does not lead sends its next request to the table."""
    # A take-over does not wait for the next poll, since its write checks the version anyway.
    next_poll = now + POLL_INTERVAL_MS
    row = state.seen.row if state.seen is not None else None
    if row is None:
        return Instant(next_poll)
    wait_end = state.seen_since + get_member_wait_ms(state.settings, row)
    return Instant(min(next_poll, wait_end) if wait_end > now else next_poll)


def record_table_failure(state: LeadershipState, now: Instant) -> LeadershipState:
    """Return the state after a request that the table did not answer."""
    idle = state.lead is None and state.pending is None
    delay_ms = POLL_INTERVAL_MS if idle else TABLE_RETRY_DELAY_MS
    return replace(
        state, table_busy=False, table_failing=True, next_request_at=Instant(now + delay_ms)
    )


def _send_next_request_while_stopping(state: LeadershipState, now: Instant) -> Decision:
    row = state.seen.row if state.seen is not None else None
    pending = state.pending
    if pending is not None and pending.kind is not WriteKind.RENEW:
        return _send_write(state, pending)
    if row is not None and row.holder == state.member and not row.released:
        # A renewal of unknown outcome is abandoned: the authority has ended, and the release checks
        # the row version.
        return _start_write(state, now, WriteKind.RELEASE)
    return replace(state, pending=None), ()


def _send_read(state: LeadershipState) -> Decision:
    return replace(state, table_busy=True), (ReadRows(),)


def _start_write(state: LeadershipState, now: Instant, kind: WriteKind) -> Decision:
    pending = PendingWrite(kind, _make_write(state, now, kind), now)
    state = replace(state, write_count=state.write_count + 1, pending=pending)
    return _send_write(state, pending)


def _send_write(state: LeadershipState, pending: PendingWrite) -> Decision:
    return replace(state, table_busy=True), (pending.write,)


def _make_write(state: LeadershipState, now: Instant, kind: WriteKind) -> WriteRows:
    assert state.seen is not None
    row = state.seen.row
    epoch = Epoch(0) if row is None else row.epoch
    takes_over = kind is WriteKind.TAKE_OVER
    next_row = ZoneRow(
        epoch=Epoch(epoch + 1) if takes_over else epoch,
        holder=state.member,
        roster=build_roster(state, now),
        write_id=WriteId(f"{state.member.incarnation}/leadership/{state.write_count + 1}"),
        released=kind is WriteKind.RELEASE,
        lease_ms=state.settings.lease_ms,
        promise_ms=state.settings.promise_ms,
        newcomer_horizon_ms=state.settings.newcomer_horizon_ms,
    )
    return WriteRows(next_row, state.seen.version, state.seen.epoch_version, takes_over)
