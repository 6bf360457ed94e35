"""Sharing of each runner's slots and connections among entry hosts, without per-request messages.

Each slot of a runner has one *home*: an entry host of the runner's zone, computed from the settings
alone. A home uses its slots without coordination, so a partitioned zone keeps them. It may lend
idle slots to another host under a lease. A borrower starts no request after the lease expires and
returns the slot explicitly. If the borrower fails, the home counts the slot as used until the
longest request that the borrower could have started has ended.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

import msgspec

from lentilpath_core.ids import HostId, Incarnation, Instant, UpstreamId

LENDABLE_DIVISOR = 2
"""A home lends at most its slots of a runner divided by this, so that its zone keeps some."""


@dataclass(frozen=True, slots=True)
class Share:
    """Slots and connections of one runner that a host may use."""

    slots: int
    connections: int


NO_SHARE = Share(0, 0)


def compute_home_share(
    runner: UpstreamId, slots: int, connections: int, hosts: tuple[HostId, ...], host: HostId
) -> Share:
    """Return the share of `runner` whose home is `host`; the shares of all `hosts` add up exactly.

    `hosts` are the entry hosts of the runner's zone, in the same order on every host.
    """
    if host not in hosts:
        return NO_SHARE
    offset = zlib.crc32(runner.encode())
    position = (hosts.index(host) + offset) % len(hosts)
    own_slots = _compute_part(slots, len(hosts), position)
    if own_slots == 0:
        return NO_SHARE
    # Each slot comes with a fixed number of connections, which are lent along with it.
    return Share(own_slots, own_slots * (connections // slots))


def _compute_part(amount: int, parts: int, position: int) -> int:
    return amount // parts + (1 if position < amount % parts else 0)


class LoanRequest(msgspec.Struct, frozen=True):
    """A request to a home for slots of its runner, or a return of slots."""

    runner: UpstreamId
    sequence: int
    """Counts the borrower's messages; an older one that arrives after a newer one is ignored."""
    held: int
    """Slots that the borrower keeps using, whatever the answer."""
    wanted: int
    """Total number of slots that the borrower would like to hold."""


class LoanReply(msgspec.Struct, frozen=True):
    """The slots that a borrower holds from now on."""

    slots: int
    lease_ms: int
    """The borrower counts it from before it sent the request."""


@dataclass(frozen=True, slots=True)
class Loan:
    """Slots of one runner lent to one process of another host."""

    slots: int
    sequence: int
    lease_ends_at: Instant
    """The borrower starts no request on them after this."""


@dataclass(slots=True)
class HomeLedger:
    """Loans of one runner's slots, as recorded by their home."""

    loans: dict[Incarnation, Loan] = field(default_factory=dict)

    def count_lent(self, now: Instant, max_run_ms: int) -> int:
        """Return the slots that borrowers may be using at `now`."""
        if not self.loans:
            return 0
        for borrower, loan in tuple(self.loans.items()):
            if now > loan.lease_ends_at + max_run_ms:
                del self.loans[borrower]
        return sum(loan.slots for loan in self.loans.values())


def lend_slots(
    ledger: HomeLedger,
    borrower: Incarnation,
    request: LoanRequest,
    idle: int,
    home_slots: int,
    now: Instant,
    lease_ms: int,
    max_run_ms: int,
) -> int:
    """Return how many slots `borrower` holds from now on, and record it in `ledger`.

    `idle` counts the home slots that are neither used nor lent and that the home can spare; it is
    negative if the home needs lent slots back.
    """
    lent = ledger.count_lent(now, max_run_ms)
    current = ledger.loans.get(borrower)
    current_slots = current.slots if current else 0
    if current is not None and request.sequence <= current.sequence:
        return 0
    # A borrower can hold only slots that were granted before, so a larger claim is capped.
    held = min(request.held, current_slots)
    limit = max(0, home_slots // LENDABLE_DIVISOR - (lent - current_slots))
    available = current_slots + idle
    granted = max(held, min(request.wanted, limit, available))
    ledger.loans[borrower] = Loan(granted, request.sequence, Instant(now + lease_ms))
    return granted


@dataclass(slots=True)
class BorrowedShare:
    """Slots of one runner that this host borrows from one home."""

    slots: int = 0
    lease_ends_at: Instant = Instant(0)
    sequence: int = 0
    in_use: int = 0
    request_pending: bool = False

    def count_free(self, now: Instant) -> int:
        """Return how many requests may start on the share at `now`."""
        if now >= self.lease_ends_at:
            return 0
        return max(0, self.slots - self.in_use)


def begin_loan_request(share: BorrowedShare, runner: UpstreamId, wanted: int) -> LoanRequest:
    """Return the message that renews, enlarges or returns `share`.

    Until the answer arrives, the share shrinks to the slots in use, because the home may already
    have reassigned the others.
    """
    share.sequence += 1
    share.slots = share.in_use
    share.request_pending = True
    return LoanRequest(runner, share.sequence, share.in_use, max(wanted, share.in_use))


def end_loan_request(
    share: BorrowedShare, request: LoanRequest, reply: LoanReply | None, asked_at: Instant
) -> None:
    """Apply the home's answer, or `None` if there was none, to `share`."""
    share.request_pending = False
    if reply is None or request.sequence != share.sequence:
        return
    share.slots = reply.slots
    share.lease_ends_at = Instant(asked_at + reply.lease_ms)
