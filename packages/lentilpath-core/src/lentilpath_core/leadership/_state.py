"""The state of one process in the leader election of its zone."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lentilpath_core.ids import Epoch, Instant, RowVersion
from lentilpath_core.leadership._messages import WriteRows
from lentilpath_core.leadership._rows import Member, ReadZone
from lentilpath_core.settings import LeadershipSettings


class WriteKind(Enum):
    """Why the zone row is written."""

    TAKE_OVER = "take-over"
    RENEW = "renew"
    RELEASE = "release"


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """A write that was sent and whose result has not been read back yet."""

    kind: WriteKind
    write: WriteRows
    sent_at: Instant
    """When its first copy was sent. Retries are copies of the same write and do not change it."""
    unclear: bool = False
    """Whether some copy of it may have applied or may still apply."""


@dataclass(frozen=True, slots=True)
class Lead:
    """Authority of a process that is the holder according to the last row that it read."""

    epoch: Epoch
    epoch_version: RowVersion
    table_sent_at: Instant
    """When the last write known to have applied was sent."""
    until: Instant
    backed_by_table: bool


@dataclass(frozen=True, slots=True)
class PromiseRound:
    """One attempt of a holder to collect the promises of all members."""

    number: int
    asked_at: Instant
    unanswered: frozenset[Member]


@dataclass(frozen=True, slots=True)
class LeadershipState:
    """All state that the decisions depend on. It is lost when the process ends."""

    member: Member
    settings: LeadershipSettings
    listening_since: Instant | None = None
    """When this process bound its host's address; `None` until it has."""
    seen: ReadZone | None = None
    """The rows as last read."""
    seen_since: Instant = Instant(0)
    """When `seen.version` was first read."""
    pending: PendingWrite | None = None
    lead: Lead | None = None
    promised_until: Instant = Instant(0)
    """This process has promised not to take over before this time."""
    last_heard: tuple[tuple[Member, Instant], ...] = ()
    """When this process last heard from each other process of the zone. Sorted by member."""
    promise_round: PromiseRound | None = None
    promise_round_count: int = 0
    write_count: int = 0
    table_busy: bool = False
    """Whether a read or write is in flight."""
    read_required: bool = True
    """Whether the next request to the table must be a read."""
    next_request_at: Instant = Instant(0)
    """Earliest time of the next request to the table."""
    table_failing: bool = False
    """Whether the last request to the table failed."""
    stopping: bool = False
    """A planned stop has begun; this process never takes over again."""


def create_state(member: Member, settings: LeadershipSettings) -> LeadershipState:
    """Return the state of a process that has just started."""
    return LeadershipState(member, settings)
