"""What one process knows about who decides for its zone."""

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
    """A write that has been sent and not been read back."""

    kind: WriteKind
    write: WriteRows
    sent_at: Instant
    """When its first copy was sent. Repetitions are the same write and do not move it."""
    unclear: bool = False
    """Whether some copy of it may have applied or may still apply."""


@dataclass(frozen=True, slots=True)
class Lead:
    """The process is the holder by the last row that it read."""

    epoch: Epoch
    epoch_version: RowVersion
    table_sent_at: Instant
    """When the last write known to have applied was sent."""
    until: Instant
    by_table: bool


@dataclass(frozen=True, slots=True)
class PromiseRound:
    """One attempt of a holder to collect the promises of all members."""

    number: int
    asked_at: Instant
    missing: frozenset[Member]


@dataclass(frozen=True, slots=True)
class LeadershipState:
    """The whole memory of the decisions; nothing of it outlives the process."""

    member: Member
    settings: LeadershipSettings
    listening_since: Instant | None = None
    """Since when this process holds its host's address; `None` while it does not."""
    seen: ReadZone | None = None
    """The rows as last read."""
    seen_since: Instant = Instant(0)
    """When `seen.version` was first read."""
    pending: PendingWrite | None = None
    lead: Lead | None = None
    promised_until: Instant = Instant(0)
    """This process takes over nothing before this."""
    heard: tuple[tuple[Member, Instant], ...] = ()
    """When each other process of the zone last spoke to this one. Sorted by member."""
    round: PromiseRound | None = None
    rounds: int = 0
    writes: int = 0
    table_busy: bool = False
    """Whether a read or write is on its way."""
    read_due: bool = True
    """Whether a read has to come before anything else."""
    table_due_at: Instant = Instant(0)
    """When the table may next be asked."""
    table_failing: bool = False
    """Whether the last request to the table failed."""
    stopping: bool = False
    """A planned stop has begun; the zone is never sought again."""


def create_state(member: Member, settings: LeadershipSettings) -> LeadershipState:
    """Return the state of a process that has just started and knows nothing."""
    return LeadershipState(member, settings)
