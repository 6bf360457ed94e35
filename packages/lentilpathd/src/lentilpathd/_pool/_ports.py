"""Interfaces to the platform that a pool host needs. Platform adapters implement them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from lentilpath_core.errors import InvalidSettings, LentilpathError
from lentilpath_core.ids import FencingToken, Instant, RowVersion, WorkerId, WorkerTime
from lentilpath_core.pool import (
    Life,
    ListedWorker,
    Permission,
    PoolConfiguration,
    RunNumber,
    StartAnswer,
    StepKey,
    TaskKey,
    WorkerReport,
)


class HistoryLost(LentilpathError):
    """The table no longer has the requested changes; the caller must read the table again."""

    code = "history-lost"


class UnusableConfiguration(InvalidSettings):
    """The newest configuration cannot be used; changes are followed from `version`."""

    def __init__(self, reason: str, version: RowVersion) -> None:
        super().__init__(reason)
        self.version = version


class Deposed(LentilpathError):
    """Another process has taken over the leadership."""

    code = "deposed"


class OtherLife(LentilpathError):
    """Another life (process incarnation) of the worker answered, so nothing was done."""

    code = "other-life"

    def __init__(self, message: str, life: Life | None = None) -> None:
        super().__init__(message)
        self.life = life
        """The one that answered, if it has told."""


class RefusedByFence(LentilpathError):
    """The worker refused the fencing token: it has seen the token of a later leader."""

    code = "refused-by-fence"


@dataclass(frozen=True, slots=True)
class PartitionRow:
    """A row of one partition of a table. `value` is empty for a deleted row."""

    part: str
    key: str
    value: bytes
    version: RowVersion
    is_deleted: bool = False


@dataclass(frozen=True, slots=True)
class PartitionRows:
    """A consistent snapshot of rows."""

    rows: tuple[PartitionRow, ...]
    version: RowVersion
    """The table service's newest version in the snapshot; changes are followed from here."""
    clock_ms: int
    """The table service's monotonic clock, in ms."""
    has_more: bool = False


@dataclass(frozen=True, slots=True)
class PartitionTransaction:
    """Conditional write to one partition of a table."""

    table: str
    part: str
    checks: tuple[tuple[str, RowVersion], ...] = ()
    """Keys and the versions that their rows must have; 0 for a row that must not exist."""
    puts: tuple[tuple[str, bytes], ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PartitionCommitResult:
    """Result of a transaction that reached the table service."""

    applied: bool
    version: RowVersion
    clock_ms: int
    conflicts: tuple[PartitionRow, ...] = ()


class PartitionedTable(Protocol):
    """The platform's table service: partitioned rows, transactions within a partition, change feed.

    Calls raise `TableUnavailable` if they had no effect; `commit` raises `OutcomeUnknown` if the
    write may have been applied or may still be. Timeouts are in seconds. That of a read bounds the
    time until its answer begins to arrive, for each page of it: an answer of any size is read to
    its end while it keeps arriving.
    """

    async def commit(
        self, transaction: PartitionTransaction, timeout: float
    ) -> PartitionCommitResult:
        """Apply all of the transaction or nothing."""
        ...

    async def read_partition(
        self, table: str, partition: str, first: str, end: str, timeout: float
    ) -> PartitionRows:
        """Return the rows with keys from `first` up to `end`, exclusive; empty for no bound."""
        ...

    async def follow(
        self, table: str, after: RowVersion, wait_seconds: float, timeout: float
    ) -> PartitionRows:
        """Return changes after a version, waiting for at most `wait_seconds` until there are any.

        Raises `HistoryLost` if the table no longer has these changes.
        """
        ...


class AnswerProgress:
    """Tells a listener whenever a part of a successful answer of the table has arrived."""

    def __init__(self) -> None:
        self._listener: Callable[[], None] = lambda: None

    def listen(self, listener: Callable[[], None]) -> None:
        """Call `listener` from now on, in place of the one before."""
        self._listener = listener

    def report(self) -> None:
        """Tell the listener."""
        self._listener()


class SharedTable(PartitionedTable, Protocol):
    """The table service, reached directly or through a relay host."""

    async def commit(
        self, transaction: PartitionTransaction, timeout: float, prefer_relay: bool = False
    ) -> PartitionCommitResult:
        """Apply all of the transaction or nothing; with `prefer_relay` try a relay host first."""
        ...

    def get_commit_timeout(self) -> float:
        """Return the time in seconds after which an answer is later than usual."""
        ...

    def get_silence_seconds(self) -> float:
        """Return the time in seconds after which a missing answer shows that the path is silent."""
        ...

    def get_returned_at(self) -> Instant:
        """Return when the direct path last began to work again; 0 if it was never down."""
        ...


class Registry(Protocol):
    """The deployment's registered workers and its configuration, written by others.

    Timeouts are those of reads of the table; see `PartitionedTable`.
    """

    async def read_workers(self, timeout: float) -> tuple[ListedWorker, ...]:
        """Return all registered workers, ready or draining."""
        ...

    async def read_configuration(
        self, timeout: float
    ) -> tuple[PoolConfiguration | None, RowVersion]:
        """Return the newest configuration, and the version to follow changes from.

        Raises `UnusableConfiguration`.
        """
        ...

    async def follow_configuration(
        self, after: RowVersion, wait_seconds: float, timeout: float
    ) -> tuple[PoolConfiguration | None, RowVersion]:
        """Return the next configuration, or `None` after the wait.

        Raises `HistoryLost` or `UnusableConfiguration`.
        """
        ...


class PoolWorker(Protocol):
    """Client of one life (process incarnation) of a worker.

    Calls raise `WorkerUnavailable` if the command did not reach the worker, `OutcomeUnknown` if it
    may have, `OtherLife` if another life of the worker answered, and `RefusedByFence` if the worker
    has seen a later leader.
    """

    async def start(
        self,
        task: TaskKey,
        run: RunNumber,
        text: str,
        checkpoint: str,
        ticket: str,
        lease_until: WorkerTime,
        timeout: float,
    ) -> StartAnswer:
        """Start a run; idempotent."""
        ...

    async def stop(self, task: TaskKey, run: RunNumber, timeout: float) -> None:
        """Stop a run, or prevent it from starting later."""
        ...

    async def pace(self, task: TaskKey, run: RunNumber, percent: int, timeout: float) -> None:
        """Throttle a run to this percentage of its speed."""
        ...

    async def renew(
        self,
        last_end_number: int,
        lease_until: WorkerTime | None,
        wait_ms: int,
        timeout: float,
    ) -> WorkerReport:
        """Extend the leases of all runs, acknowledge ends up to a number, and return the report.

        No lease is extended if `lease_until` is `None`. The worker may delay its answer by up to
        `wait_ms` while no run ends.
        """
        ...

    def close(self) -> None:
        """Close the connections."""
        ...


WorkerFactory = Callable[[ListedWorker, FencingToken], PoolWorker]
"""Creates the client of a worker's life, whose commands all carry the token; it connects on its
first command."""


@dataclass(frozen=True, slots=True)
class Advice:
    """The advice service's answer, valid for `valid_ms`."""

    allowed: tuple[Permission, ...]
    valid_ms: int


class AdviceService(Protocol):
    """Decides which workers a queue's policy allows for a step."""

    async def ask(self, step: StepKey, workers: tuple[WorkerId, ...], timeout: float) -> Advice:
        """Return the permissions; raises `Unavailable` or `OutcomeUnknown`."""
        ...


LifeKey = tuple[WorkerId, Life]
