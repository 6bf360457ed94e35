"""Decides from the leadership rows whether a host may take over, and whether others may lead on."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from lentilpath_core.errors import OutcomeUnknown
from lentilpath_core.ids import Epoch, HostId, Incarnation, Instant, RowVersion
from lentilpath_core.settings import Address
from lentilpathd._pool._ports import PartitionRows
from lentilpathd._pool._records import EPOCH_KEY, LEASE_KEY, EpochRow, LeaseRow, decode_record

LEADER_TIMEOUT_MS = 950
"""Two renewals must be missed."""
TAKEOVER_MARGIN_MS = 100
"""Added to the lease: the clocks of two hosts drift apart by 4% of it at most."""
LONGEST_LEASE_MS = 2_000
"""The longest lease of any release whose rows do not say how long it is."""
MAX_LEASE_AHEAD_MS = 60_000
"""A lease that ends later than this after the time of the table service, or is longer, was not
written by a leader, whose leases last 2 s."""
MAX_EPOCH = 2**32
"""The workers' fencing tokens are 10^9 times as large and have 63 bits."""


@dataclass(frozen=True, slots=True)
class LeadershipSnapshot:
    """The leadership rows as they were read."""

    epoch: Epoch
    epoch_version: RowVersion
    lease: LeaseRow | None
    lease_version: RowVersion
    clock_ms: int
    unreadable: tuple[str, ...] = ()
    """Keys of the rows that cannot be used."""
    incarnation: Incarnation = Incarnation("")
    """The process that took over last; empty if it is not known."""


def decode_snapshot(read: PartitionRows) -> LeadershipSnapshot:
    """Decode the leadership rows; raises `OutcomeUnknown` if the epoch is not to be found in them.

    Both rows hold the epoch, since a takeover writes both.
    """
    rows = {row.key: row for row in read.rows}
    epoch_row = rows.get(EPOCH_KEY)
    lease_row = rows.get(LEASE_KEY)
    lease = _decode_lease(lease_row.value, read.clock_ms) if lease_row is not None else None
    epoch: Epoch | None = Epoch(0)
    incarnation = Incarnation("")
    unreadable = (LEASE_KEY,) if lease_row is not None and lease is None else ()
    if epoch_row is not None:
        leader = _decode_epoch(epoch_row.value)
        epoch = None if leader is None else leader.epoch
        incarnation = incarnation if leader is None else leader.incarnation
    if epoch is None:
        unreadable = (EPOCH_KEY, *unreadable)
        if lease is None:
            raise OutcomeUnknown(
                f"the rows {EPOCH_KEY} and {LEASE_KEY} cannot be read, so the leader's epoch is"
                " not known; correct one of them"
            )
        epoch = lease.epoch
    version = epoch_row.version if epoch_row is not None else RowVersion(0)
    lease_version = lease_row.version if lease_row is not None else RowVersion(0)
    return LeadershipSnapshot(
        epoch, version, lease, lease_version, read.clock_ms, unreadable, incarnation
    )


def _decode_epoch(value: bytes) -> EpochRow | None:
    try:
        row = decode_record(value, EpochRow)
    except msgspec.DecodeError:
        return None
    return row if 0 <= row.epoch <= MAX_EPOCH else None


def _decode_lease(value: bytes, clock_ms: int) -> LeaseRow | None:
    try:
        lease = decode_record(value, LeaseRow)
    except msgspec.DecodeError:
        return None
    is_usable = (
        0 <= lease.epoch <= MAX_EPOCH
        and lease.until_ms <= clock_ms + MAX_LEASE_AHEAD_MS
        and 0 <= lease.lease_ms <= MAX_LEASE_AHEAD_MS
    )
    return lease if is_usable else None


def find_takeover_wait(lease: LeaseRow | None) -> int:
    """Return how long, in ms, the row of a lease must be unchanged before it counts as expired."""
    lease_ms = (lease.lease_ms if lease is not None else 0) or LONGEST_LEASE_MS
    return lease_ms + TAKEOVER_MARGIN_MS


def may_take_over(
    snapshot: LeadershipSnapshot,
    host: HostId,
    address: Address,
    unchanged_ms: int,
    watched_ms: int,
    wait_ms: int = 0,
) -> bool:
    """Return whether the leadership is free for a process on `host`.

    It is free if the row of the lease was not written for the length of the lease: `unchanged_ms`
    since it was first read in its present version, on which the takeover depends. The end that the
    row shows does not count: a renewal that is done late, after newer ones, shows an older end.

    `watched_ms` is for how long this host has read the row without a failure and without a change.
    It must be enough for two renewals, since a leader cannot renew while the table is away.

    The leadership is also free if an earlier process of the same host holds it: that process has
    ended, since this one is bound to the host's addresses. After a planned stop a named successor
    has precedence. `wait_ms` is an extra delay for this host.
    """
    lease = snapshot.lease
    if lease is None and LEASE_KEY not in snapshot.unreadable:
        return True
    if lease is not None and lease.until_ms == 0:
        if not lease.successor:
            return watched_ms >= wait_ms
        return lease.successor == host or watched_ms >= LEADER_TIMEOUT_MS + wait_ms
    if lease is not None and (lease.host, lease.address) == (host, address):
        return True
    is_expired = unchanged_ms >= find_takeover_wait(lease) + wait_ms
    return is_expired and watched_ms >= LEADER_TIMEOUT_MS


def has_sole_leader_ended(snapshot: LeadershipSnapshot, host: HostId, address: Address) -> bool:
    """Return whether the last leader has ended for certain, and none before it can act any more.

    Also if there was none. It has ended if it has released its lease, or if it was an earlier
    process of this host. Any other silent leader may be cut off and still act.
    """
    lease = snapshot.lease
    if lease is None:
        return LEASE_KEY not in snapshot.unreadable
    is_own = (lease.host, lease.address) == (host, address)
    return lease.is_sole and (lease.until_ms == 0 or is_own)


@dataclass(frozen=True, slots=True)
class LeaderProcess:
    """A process that led."""

    host: HostId
    incarnation: Incarnation


def find_sole_leader(snapshot: LeadershipSnapshot) -> LeaderProcess | None:
    """Return the process that led last, if no leader before it can act any more."""
    lease = snapshot.lease
    if lease is None or not lease.is_sole:
        return None
    return LeaderProcess(lease.host, snapshot.incarnation)


def find_end_of_leader(
    former: LeaderProcess, sender: LeaderProcess, up_ms: int, now: Instant
) -> Instant | None:
    """Return when the former leader had ended, by what a follower of the present one has sent.

    `None` if the follower is another host. A process that follows leads no more, and another
    process on the former leader's host was started, `up_ms` ago, after that one had ended.
    """
    if sender.host != former.host:
        return None
    if sender.incarnation == former.incarnation:
        return now
    return Instant(now - max(0, up_ms))
