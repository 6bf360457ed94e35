"""Lines of usage, and what a ledger keeps of attempts and jobs."""

from __future__ import annotations

from enum import Enum

import msgspec

from lentilpath_core.ids import CustomerId, JobId, TaskId, TeamId, WallTime, WorkerId, ZoneId
from lentilpath_core.usage._prices import Holding, PriceRule


class LineKind(Enum):
    """What a usage line says."""

    HELD = "held"
    """A task held resources over an interval."""
    CORRECTION = "correction"
    """A line of an earlier period was found to be wrong by these amounts."""
    GAP = "gap"
    """The task ran before and after, but not in this interval; nothing is charged."""
    UNREPORTED = "unreported"
    """An attempt was made, but its worker gave no usable account; nothing is charged."""


class Basis(Enum):
    """What an interval rests on."""

    WORKER_REPORT = "worker report"
    PROVISIONAL = "provisional: still running; the worker's report will correct it"
    NONE = "no report"


class UsageLine(msgspec.Struct, frozen=True):
    """One line of a customer's usage. Never changed once its period is sealed."""

    line: str
    """Id: `ZONE:PERIOD:TASK:ATTEMPT@WORKER`, corrections and gaps with a further part."""
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
    """Why the task was placed there, as the placement said it."""
    cause: str
    """How the attempt ended, or why nothing is charged, or what a correction rests on."""
    basis: Basis
    price: PriceRule
    charge_units: int
    corrects: str = ""
    """What the ids of the lines that a correction corrects end with."""

    def get_holding(self) -> Holding:
        """Return the resources held times the milliseconds."""
        return Holding(
            self.held_ms * self.millicores,
            self.held_ms * self.memory_mib,
            self.held_ms * self.accelerators,
        )


class AttemptFact(msgspec.Struct, frozen=True):
    """What reports say of one attempt on one worker. Times of 0 are not known."""

    attempt: int
    worker: WorkerId
    decided_at: WallTime = WallTime(0)
    decision: str = ""
    outcome: str = ""
    """Empty while no end was reported."""
    started_at: WallTime = WallTime(0)
    ended_at: WallTime = WallTime(0)


class JobTerms(msgspec.Struct, frozen=True):
    """What the lines of a job's tasks need of its submission."""

    job: JobId
    customer: CustomerId
    team: TeamId
    millicores: int
    memory_mib: int
    accelerators: int


class BilledSpan(msgspec.Struct, frozen=True):
    """What sealed lines and their corrections sum up to for one attempt under one price rule."""

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
    """By `ATTEMPT@WORKER`; an empty list for an attempt whose line holds nothing."""
    gaps: dict[str, tuple[WallTime, WallTime]] = {}
    """Gaps that a sealed line shows, by the attempt after the gap."""
    floor_at: WallTime = WallTime(0)
    """End of the last interval that was dropped from `facts`."""
    changed: bool = True
    """Whether there may be something to seal: an attempt runs, or was reported since the last."""
