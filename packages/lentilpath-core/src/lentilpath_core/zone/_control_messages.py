"""Events that the zone's controller handles, and the effects that it returns."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lentilpath_core.ids import Instant, RackId, TaskId, WorkerId
from lentilpath_core.placement import QuotaSet, StopMode
from lentilpath_core.resources import Resources
from lentilpath_core.zone.inbox import InboxEntry
from lentilpath_core.zone.journal import JournalBatch
from lentilpath_core.zone.reports import StartAnswer, WorkerReport


@dataclass(frozen=True, slots=True)
class ListedWorker:
    """A worker of the zone as the platform lists it."""

    worker: WorkerId
    rack: RackId
    capacity: Resources
    leaving: bool


@dataclass(frozen=True, slots=True)
class WorkersListed:
    """The zone's workers as the platform last listed them; the list may lag."""

    workers: tuple[ListedWorker, ...]


@dataclass(frozen=True, slots=True)
class InboxRead:
    """Commands found in the zone's inbox, with the keys of their rows."""

    entries: tuple[tuple[str, InboxEntry], ...]


@dataclass(frozen=True, slots=True)
class WorkerSynced:
    """A worker answered a sync that was sent at `sent_at`."""

    worker: WorkerId
    sent_at: Instant
    report: WorkerReport


@dataclass(frozen=True, slots=True)
class RenewalSending:
    """A command that grants leases is about to be sent; it has no effect after `deadline`."""

    worker: WorkerId
    deadline: Instant


@dataclass(frozen=True, slots=True)
class StartAnswered:
    """The outcome of a start command that has no effect after `deadline`."""

    worker: WorkerId
    task: TaskId
    attempt: int
    answer: StartAnswer
    deadline: Instant


@dataclass(frozen=True, slots=True)
class BatchApplied:
    """The batch that `begin_journal_write` returned last is durable."""


@dataclass(frozen=True, slots=True)
class AuthorityBackingChanged:
    """Whether the leader's authority now rests on a write to the table.

    Otherwise only tasks of idempotent jobs may start.
    """

    backed_by_table: bool


@dataclass(frozen=True, slots=True)
class QuotasSet:
    """The quota that each team is guaranteed in the zone; teams not named have no guarantee."""

    quotas: tuple[QuotaSet, ...]


@dataclass(frozen=True, slots=True)
class TimePassed:
    """A timer tick: handle what has become due."""


ControlEvent = (
    WorkersListed
    | InboxRead
    | WorkerSynced
    | RenewalSending
    | StartAnswered
    | BatchApplied
    | AuthorityBackingChanged
    | QuotasSet
    | TimePassed
)


@dataclass(frozen=True, slots=True)
class SendStart:
    """Send the start command of an attempt to its worker."""

    worker: WorkerId
    task: TaskId
    attempt: int
    room: Resources | None = None
    """Resources that the attempt may use, if more than its job declares."""


@dataclass(frozen=True, slots=True)
class SendStop:
    """Stop, checkpoint or throttle an attempt."""

    worker: WorkerId
    task: TaskId
    attempt: int
    mode: StopMode
    millicores: int = 0
    """For `THROTTLE` only: the processor limit of the attempt from now on."""


@dataclass(frozen=True, slots=True)
class ForgetAttempt:
    """Let the worker discard an ended attempt, because its end is durable."""

    worker: WorkerId
    task: TaskId
    attempt: int


@dataclass(frozen=True, slots=True)
class RequestFullReport:
    """Request a complete report with the next sync of the worker."""

    worker: WorkerId


@dataclass(frozen=True, slots=True)
class ConfirmWorker:
    """The worker's `WorkerJoined` event is durable. The controller handles this effect itself."""

    worker: WorkerId
    boot: str


ControlEffect = SendStart | SendStop | ForgetAttempt | RequestFullReport | ConfirmWorker


@dataclass(frozen=True, slots=True)
class JournalWrite:
    """One transaction of the journal."""

    batch: JournalBatch
    inbox_keys: tuple[str, ...]
    """Keys of the inbox rows to delete in the same transaction."""


class WorkerPhase(Enum):
    """State of a worker as the controller sees it."""

    UNHEARD = "unheard"
    """Has not answered this leader yet; its capacity counts as fully used."""
    JOINING = "joining"
    """Has answered; its boot is not durable in the journal yet."""
    SERVING = "serving"
    SILENT = "silent"
    """Does not answer; its leases may still be valid."""
