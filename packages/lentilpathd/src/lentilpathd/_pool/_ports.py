"""What a pool's host needs of the platform, as narrow interfaces. Adapters implement them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from lentilpath_core.errors import LentilpathError
from lentilpath_core.ids import Epoch, RowVersion, WorkerId, WorkerTime
from lentilpath_core.pool import (
    Life,
    ListedWorker,
    Permission,
    PoolConfiguration,
    Run,
    StartAnswer,
    StepKey,
    TaskKey,
    WorkerReport,
)


class HistoryLost(LentilpathError):
    """The table no longer has the changes that were asked for; read the table again."""

    code = "history-lost"


class Deposed(LentilpathError):
    """Another process has taken over the leadership."""

    code = "deposed"


class OtherLife(LentilpathError):
    """Another life of the worker answered, so nothing was done."""

    code = "other-life"


class RefusedByFence(LentilpathError):
    """The worker has seen a later leader."""

    code = "refused-by-fence"


@dataclass(frozen=True, slots=True)
class PartRow:
    """A row of one part of a table. `value` is empty for a row that was dropped."""

    part: str
    key: str
    value: bytes
    version: RowVersion
    is_dropped: bool = False


@dataclass(frozen=True, slots=True)
class PartRows:
    """Rows as of one moment."""

    rows: tuple[PartRow, ...]
    version: RowVersion
    """The table service's newest version at that moment; changes are followed from here."""
    clock_ms: int
    """The table service's steady clock."""
    has_more: bool = False


@dataclass(frozen=True, slots=True)
class PartTransaction:
    """Conditional write to one part of one table."""

    table: str
    part: str
    checks: tuple[tuple[str, RowVersion], ...] = ()
    """Rows that must have this version; 0 for a row that must not exist."""
    puts: tuple[tuple[str, bytes], ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PartCommit:
    """The answer to a transaction that reached the table service."""

    applied: bool
    version: RowVersion
    clock_ms: int
    conflicts: tuple[PartRow, ...] = ()


class PartitionedTable(Protocol):
    """The platform's table service: rows in parts, transactions within a part, and changes.

    Calls raise `TableUnavailable` if they surely did nothing; `commit` raises `OutcomeUnknown` if
    the write may have been applied or may still be. Timeouts are in seconds.
    """

    async def commit(self, transaction: PartTransaction, timeout: float) -> PartCommit:
        """Apply all of the transaction or nothing."""
        ...

    async def read_part(
        self, table: str, part: str, first: str, end: str, timeout: float
    ) -> PartRows:
        """Return the rows from key `first` up to, but not with, `end`; empty for no bound."""
        ...

    async def follow(
        self, table: str, after: RowVersion, wait_seconds: float, timeout: float
    ) -> PartRows:
        """Return changes after a version as soon as there are any; raises `HistoryLost`."""
        ...


class SharedTable(PartitionedTable, Protocol):
    """The table service, which other hosts may be asked for."""

    async def commit(
        self, transaction: PartTransaction, timeout: float, through_other: bool = False
    ) -> PartCommit:
        """Apply all of the transaction or nothing; with `through_other` by another host first."""
        ...


class Registry(Protocol):
    """What others write about the deployment: its workers and its configuration."""

    async def read_workers(self, timeout: float) -> tuple[ListedWorker, ...]:
        """Return all registered workers that can be used or are leaving."""
        ...

    async def read_configuration(
        self, timeout: float
    ) -> tuple[PoolConfiguration | None, RowVersion]:
        """Return the newest configuration, and the version to follow changes from."""
        ...

    async def follow_configuration(
        self, after: RowVersion, wait_seconds: float, timeout: float
    ) -> tuple[PoolConfiguration | None, RowVersion]:
        """Return the next configuration, or `None` after the wait; raises `HistoryLost`."""
        ...


class PoolWorker(Protocol):
    """One life of a worker.

    Calls raise `WorkerUnavailable` if the command surely did not reach the worker,
    `OutcomeUnknown` if it may have, `OtherLife` and `RefusedByFence` as their names say.
    """

    async def start(
        self,
        task: TaskKey,
        run: Run,
        text: str,
        checkpoint: str,
        ticket: str,
        lease_until: WorkerTime,
        timeout: float,
    ) -> StartAnswer:
        """Start a run; an equal command changes nothing."""
        ...

    async def stop(self, task: TaskKey, run: Run, timeout: float) -> None:
        """Stop a run, or keep it from ever beginning."""
        ...

    async def pace(self, task: TaskKey, run: Run, percent: int, timeout: float) -> None:
        """Let a run work at this share only."""
        ...

    async def renew(
        self,
        taken_number: int,
        lease_until: WorkerTime | None,
        wait_ms: int,
        timeout: float,
    ) -> WorkerReport:
        """Extend the leases of all runs, let the worker forget ends, and return what it lists."""
        ...

    def close(self) -> None:
        """Close the connections."""
        ...


WorkerFactory = Callable[[ListedWorker, Epoch], PoolWorker]
"""Creates the client of a worker's life for a leader's epoch; it connects at its first command."""


@dataclass(frozen=True, slots=True)
class Advice:
    """The advice service's answer."""

    allowed: tuple[Permission, ...]
    valid_ms: int


class AdviceService(Protocol):
    """Knows which workers a queue's policy allows for a step."""

    async def ask(self, step: StepKey, workers: tuple[WorkerId, ...], timeout: float) -> Advice:
        """Return the permissions; raises `Unavailable` or `OutcomeUnknown`."""
        ...


LifeKey = tuple[WorkerId, Life]
