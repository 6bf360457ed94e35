"""Events that the zone's controller takes in, and the effects it asks for."""

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
    """The platform's list of the zone's workers, as far as it is known."""

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
    """A command that grants leases is about to leave; it has no effect after `deadline`."""

    worker: WorkerId
    deadline: Instant


@dataclass(frozen=True, slots=True)
class StartAnswered:
    """What came of a start command that has no effect after `deadline`."""

    worker: WorkerId
    task: TaskId
    attempt: int
    answer: StartAnswer
    deadline: Instant


@dataclass(frozen=True, slots=True)
class BatchApplied:
    """The batch that was taken last is durable."""


@dataclass(frozen=True, slots=True)
class AuthorityBasis:
    """Whether the table backs the authority now; without it only some tasks may start."""

    by_table: bool


@dataclass(frozen=True, slots=True)
class QuotasSet:
    """What each team is guaranteed in the zone now; teams that are not named get nothing."""

    quotas: tuple[QuotaSet, ...]


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Nothing happened; look for what is due."""


ControlEvent = (
    WorkersListed
    | InboxRead
    | WorkerSynced
    | RenewalSending
    | StartAnswered
    | BatchApplied
    | AuthorityBasis
    | QuotasSet
    | TimePassed
)


@dataclass(frozen=True, slots=True)
class SendStart:
    """Send the start of an attempt to a worker."""

    worker: WorkerId
    task: TaskId
    attempt: int
    room: Resources | None = None
    """What the attempt may use, if that is more than its job declares."""


@dataclass(frozen=True, slots=True)
class SendStop:
    """Stop, checkpoint or throttle an attempt."""

    worker: WorkerId
    task: TaskId
    attempt: int
    mode: StopMode
    millicores: int = 0
    """For `THROTTLE` only: what the attempt may use from now on."""


@dataclass(frozen=True, slots=True)
class ForgetAttempt:
    """The end of the attempt is durable, so its worker may forget it."""

    worker: WorkerId
    task: TaskId
    attempt: int


@dataclass(frozen=True, slots=True)
class AskForAllTasks:
    """The next sync of the worker has to ask for all of its tasks."""

    worker: WorkerId


@dataclass(frozen=True, slots=True)
class ConfirmWorker:
    """The worker's joining is durable. Carried out by the controller itself."""

    worker: WorkerId
    boot: str


ControlEffect = SendStart | SendStop | ForgetAttempt | AskForAllTasks | ConfirmWorker


@dataclass(frozen=True, slots=True)
class JournalWrite:
    """One transaction of the journal."""

    batch: JournalBatch
    absorbed_keys: tuple[str, ...]
    """Inbox rows to delete in the same transaction."""


class WorkerPhase(Enum):
    """What the controller knows of a worker."""

    UNHEARD = "unheard"
    """Has not answered this leader; its room counts as full."""
    JOINING = "joining"
    """Has answered; the journal does not name its boot yet."""
    SERVING = "serving"
    SILENT = "silent"
    """Does not answer; its leases may still run."""
