"""Usage lines, and the records of attempts and jobs in a ledger."""

from __future__ import annotations

from enum import Enum

import msgspec

from lentilpath_core.ids import CustomerId, JobId, TaskId, TeamId, WallTime, WorkerId, ZoneId
from lentilpath_core.usage._prices import PriceRule, ResourceTime


class LineKind(Enum):
    """Kind of a usage line."""

    HELD = "held"
    """A task held resources over an interval."""
    CORRECTION = "correction"
    """Amounts by which a line of an earlier period was wrong."""
    GAP = "gap"
    """The task ran before and after, but not in this interval; nothing is charged."""
    UNREPORTED = "unreported"
    """An attempt was made, but its worker sent no usable report; nothing is charged."""


class Basis(Enum):
    """Source of the start and end of an interval."""

    WORKER_REPORT = "worker report"
    PROVISIONAL = "provisional: still running; the worker's report will correct it"
    NONE = "no report"


class UsageLine(msgspec.Struct, frozen=True):
    """One line of a customer's usage. Never changed once its period is sealed."""

    line: str
    """Id: `ZONE:PERIOD:TASK:ATTEMPT@WORKER`, with a suffix for corrections and gaps."""
    kind: LineKind
    zone: ZoneId
    period: WallTime
    """Start of the period that the line is billed in."""
    customer: CustomerId
    team: TeamId
    job: JobId
    task: TaskId
    attempt: int
    worker: WorkerId
    started_at: WallTime
    ended_at: WallTime
    held_ms: int
    """Length of the interval, or of the difference in a correction."""
    millicores: int
    memory_mib: int
    accelerators: int
    decided_at: WallTime
    decision: str
    """Reason for placing the task on the worker, as given by the scheduler."""
    cause: str
    """How the attempt ended, why nothing is charged, or the reason for a correction."""
    basis: Basis
    price: PriceRule
    charge_units: int
    corrects: str = ""
    """For a correction, the part `TASK:ATTEMPT@WORKER` of the ids of the corrected lines."""

    def get_resource_time(self) -> ResourceTime:
        """Return the resources multiplied by the milliseconds for which they were held."""
        return ResourceTime(
            self.held_ms * self.millicores,
            self.held_ms * self.memory_mib,
            self.held_ms * self.accelerators,
        )


class AttemptFact(msgspec.Struct, frozen=True):
    """Merged reports of one attempt on one worker. A time of 0 is unknown."""

    attempt: int
    worker: WorkerId
    decided_at: WallTime = WallTime(0)
    decision: str = ""
    outcome: str = ""
    """Empty until an end is reported."""
    started_at: WallTime = WallTime(0)
    ended_at: WallTime = WallTime(0)


class JobTerms(msgspec.Struct, frozen=True):
    """Values from a job's submission that the usage lines of its tasks need."""

    job: JobId
    customer: CustomerId
    team: TeamId
    millicores: int
    memory_mib: int
    accelerators: int


class BilledSpan(msgspec.Struct, frozen=True):
    """Total of the sealed lines and corrections of one attempt under one price rule."""

    rule: PriceRule
    started_at: WallTime
    ended_at: WallTime
    held_ms: int


class TaskAccount(msgspec.Struct):
    """The attempts of one task, and what was billed for them."""

    task: TaskId
    facts: dict[str, AttemptFact] = {}
    """By `ATTEMPT@WORKER`."""
    billed: dict[str, list[BilledSpan]] = {}
    """By `ATTEMPT@WORKER`; an empty list for an attempt whose line has zero length."""
    gaps: dict[str, tuple[WallTime, WallTime]] = {}
    """Gaps for which a line was sealed, by the attempt after the gap."""
    floor_at: WallTime = WallTime(0)
    """End of the last interval that was dropped from `facts`."""
    changed: bool = True
    """Whether there may be lines to seal: an attempt runs, or was reported since the last seal."""
