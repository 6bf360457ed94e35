"""How the entry hosts share each runner's slots and connections without a message per request.

Each slot of a runner has one *home*: an entry host of the runner's zone, found by arithmetic on
the settings alone. A home uses its slots without asking anyone, so a zone that is cut off keeps
them. It may lend idle slots to another host under a lease. A borrower begins no request after the
lease, and gives the slot back explicitly; if it vanishes, the home counts the slot as used until
the longest request that the borrower could have begun is over.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

import msgspec

from lentilpath_core.ids import HostId, Incarnation, Instant, UpstreamId

LENDABLE_DIVISOR = 2
"""A home lends at most one in this many of its slots of a runner, so that its zone keeps some."""


@dataclass(frozen=True, slots=True)
class Share:
    """How much of one runner a host may use."""

    slots: int
    connections: int


NO_SHARE = Share(0, 0)


def compute_home_share(
    runner: UpstreamId, slots: int, connections: int, hosts: tuple[HostId, ...], host: HostId
) -> Share:
    """Return the part of `runner` whose home is `host`; the parts of all `hosts` add up exactly.

    `hosts` are the entry hosts of the runner's zone, in the same order on every host.
    """
    if host not in hosts:
        return NO_SHARE
    offset = zlib.crc32(runner.encode())
    position = (hosts.index(host) + offset) % len(hosts)
    own_slots = _split(slots, len(hosts), position)
    if own_slots == 0:
        return NO_SHARE
    # Connections go along with slots, so a lent slot takes its connections with it.
    return Share(own_slots, own_slots * (connections // slots))


def _split(amount: int, parts: int, position: int) -> int:
    return amount // parts + (1 if position < amount % parts else 0)


class LoanRequest(msgspec.Struct, frozen=True):
    """A host asks a home for slots of its runner, or gives some back."""

    runner: UpstreamId
    sequence: int
    """Counts the borrower's messages; an older one that arrives later is ignored."""
    held: int
    """Slots that the borrower goes on using, whatever the answer says."""
    wanted: int
    """Slots that it would like to hold in all."""


class LoanReply(msgspec.Struct, frozen=True):
    """The slots that a borrower holds from now on."""

    slots: int
    lease_ms: int
    """Counted by the borrower from before it asked."""


@dataclass(frozen=True, slots=True)
class Loan:
    """Slots of one runner lent to one process of another host."""

    slots: int
    sequence: int
    begin_until: Instant
    """The borrower begins nothing on them after this."""


@dataclass(slots=True)
class HomeLedger:
    """What a home has lent of one runner."""

    loans: dict[Incarnation, Loan] = field(default_factory=dict)

    def count_lent(self, now: Instant, max_run_ms: int) -> int:
        """Return the slots that borrowers may be using at `now`."""
        if not self.loans:
            return 0
        for borrower, loan in tuple(self.loans.items()):
            if now > loan.begin_until + max_run_ms:
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

    `idle` counts the home slots that are neither used nor lent and that the home can do without;
    it is negative if the home wants lent ones back.
    """
    lent = ledger.count_lent(now, max_run_ms)
    known = ledger.loans.get(borrower)
    known_slots = known.slots if known else 0
    if known is not None and request.sequence <= known.sequence:
        return 0
    # Only what was granted before can be held; anything else is a misunderstanding.
    held = min(request.held, known_slots)
    limit = max(0, home_slots // LENDABLE_DIVISOR - (lent - known_slots))
    room = known_slots + idle
    granted = max(held, min(request.wanted, limit, room))
    ledger.loans[borrower] = Loan(granted, request.sequence, Instant(now + lease_ms))
    return granted


@dataclass(slots=True)
class BorrowedShare:
    """Slots of one runner that this host borrows from one home."""

    slots: int = 0
    begin_until: Instant = Instant(0)
    sequence: int = 0
    in_use: int = 0
    asking: bool = False

    def count_free(self, now: Instant) -> int:
        """Return how many requests may begin on the share at `now`."""
        if now >= self.begin_until:
            return 0
        return max(0, self.slots - self.in_use)


def begin_loan_request(share: BorrowedShare, runner: UpstreamId, wanted: int) -> LoanRequest:
    """Return the message that renews, enlarges or gives back `share`.

    Until its answer is here, the share shrinks to what is in use: the home may already count on
    the rest.
    """
    share.sequence += 1
    share.slots = share.in_use
    share.asking = True
    return LoanRequest(runner, share.sequence, share.in_use, max(wanted, share.in_use))


def end_loan_request(
    share: BorrowedShare, request: LoanRequest, reply: LoanReply | None, asked_at: Instant
) -> None:
    """Take the home's answer, or `None` if there was none, into `share`."""
    share.asking = False
    if reply is None or request.sequence != share.sequence:
        return
    share.slots = reply.slots
    share.begin_until = Instant(asked_at + reply.lease_ms)
