"""The commands of the operators' language, as the parser returns them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lentilpath_core.ids import (
    CustomerId,
    JobId,
    ServiceId,
    TaskId,
    TeamId,
    WallTime,
    WorkerId,
)
from lentilpath_core.workloads import JobSpec


class Comparison(Enum):
    """How a condition compares a field with its values."""

    EQUAL = "="
    UNEQUAL = "!="
    LESS = "<"
    GREATER = ">"
    AT_MOST = "<="
    AT_LEAST = ">="
    CONTAINS = "~"


@dataclass(frozen=True, slots=True)
class Condition:
    """One comparison of a `where` clause; several values mean any of them (for `!=`, none)."""

    field: str
    comparison: Comparison
    values: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ListRows:
    """List rows of one table: `tasks where team = packing and state = waiting limit 20`."""

    table: str
    conditions: tuple[Condition, ...] = ()
    since: WallTime | None = None
    limit: int | None = None


@dataclass(frozen=True, slots=True)
class ExplainTask:
    """Explain why a task waits, or why it runs where it does: `why task T`."""

    task: TaskId


@dataclass(frozen=True, slots=True)
class ShowHistory:
    """Show the events of a job: `history job J since 05:00`."""

    job: JobId
    since: WallTime | None = None


@dataclass(frozen=True, slots=True)
class ShowUsage:
    """Show the usage lines of a customer on one day (UTC): `usage customer C on 2026-12-01`."""

    customer: CustomerId
    day_start: WallTime


@dataclass(frozen=True, slots=True)
class ExplainLine:
    """Show the records behind one usage line: `explain line L`."""

    line: str


@dataclass(frozen=True, slots=True)
class ShowHelp:
    """Show the syntax and examples: `help drain`."""

    topic: str | None = None


@dataclass(frozen=True, slots=True)
class Submit:
    """Accept a job: `submit batch J tasks=4 cpu=1 memory=1GiB run=2s team=T customer=C`."""

    spec: JobSpec


@dataclass(frozen=True, slots=True)
class Stop:
    """End a job: `stop job J`."""

    job: JobId


@dataclass(frozen=True, slots=True)
class Drain:
    """Stop placing new tasks on a worker: `drain worker W by 06:00`."""

    worker: WorkerId
    by: WallTime | None = None
    """Time by which the worker should be empty; `None` if none was given."""


@dataclass(frozen=True, slots=True)
class Undrain:
    """Resume placing new tasks on a worker: `undrain worker W`."""

    worker: WorkerId


@dataclass(frozen=True, slots=True)
class SetQuota:
    """Change a team's quota in the configuration: `set quota team T cpu=64 memory=256GiB`."""

    team: TeamId
    values: tuple[tuple[str, int], ...]
    """Keys of the configuration (`millicores`, `memory_mib`, `accelerators`) and their amounts."""


@dataclass(frozen=True, slots=True)
class SetPolicy:
    """Change a service's policy in the configuration: `set policy service S queue_wait_ms=500`."""

    service: ServiceId
    values: tuple[tuple[str, str], ...]


ReadCommand = ListRows | ExplainTask | ShowHistory | ShowUsage | ExplainLine | ShowHelp
ChangeCommand = Submit | Stop | Drain | Undrain | SetQuota | SetPolicy
Command = ReadCommand | ChangeCommand
CHANGE_COMMANDS = (Submit, Stop, Drain, Undrain, SetQuota, SetPolicy)
