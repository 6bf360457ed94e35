"""What the daemon needs of the outside, as narrow interfaces. Adapters implement them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from lentilpath_core.ids import (
    RackId,
    RegionId,
    RowVersion,
    ServiceId,
    TaskId,
    UpstreamId,
    WorkerId,
    WorkerTime,
    WriteId,
    ZoneId,
)
from lentilpath_core.resources import Resources
from lentilpath_core.settings import Address
from lentilpath_core.zone.reports import StartAnswer, WorkerReport

ABSENT = RowVersion(0)


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the platform's table; version 0 and an empty value for an absent one."""

    key: str
    version: RowVersion
    value: str


@dataclass(frozen=True, slots=True)
class Transaction:
    """Conditional write: all of it applies, if each checked row has its version, or nothing."""

    write_id: WriteId
    checks: tuple[tuple[str, RowVersion], ...] = ()
    puts: tuple[tuple[str, str], ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CommitResult:
    """The table's answer to a transaction that reached it."""

    applied: bool
    conflicts: tuple[Row, ...] = ()
    """The checked rows that had another version, as they are now."""


class Table(Protocol):
    """The platform's transactional table.

    Every call raises `TableUnavailable` if the table surely did nothing; `commit` raises
    `OutcomeUnknown` if the write may have been applied. Timeouts are in seconds.
    """

    async def commit(self, transaction: Transaction, timeout: float) -> CommitResult:
        """Apply `transaction` as a whole or not at all."""
        ...

    async def read(self, keys: tuple[str, ...], timeout: float) -> tuple[Row, ...]:
        """Return one row for each key, in order."""
        ...

    async def scan(self, prefix: str, after: str, limit: int, timeout: float) -> tuple[Row, ...]:
        """Return up to `limit` rows whose keys begin with `prefix` and sort after `after`."""
        ...


class ObjectStore(Protocol):
    """The platform's object store. Calls raise `Unavailable`; puts may be repeated."""

    async def put_object(self, key: str, data: bytes, timeout: float) -> None:
        """Store `data` under `key`, whatever was there before."""
        ...

    async def get_object(self, key: str, timeout: float) -> bytes | None:
        """Return the object, or `None` if there is none."""
        ...

    async def list_objects(self, prefix: str, timeout: float) -> tuple[str, ...]:
        """Return the keys that begin with `prefix`, sorted."""
        ...

    async def delete_object(self, key: str, timeout: float) -> None:
        """Remove the object; removing none is no error."""
        ...


class HostKind(Enum):
    """What a listed host is."""

    ENTRY = "entry"
    WORKER = "worker"
    UPSTREAM = "upstream"


@dataclass(frozen=True, slots=True)
class ListedHost:
    """One row of the platform's list of hosts. The list lags behind the truth."""

    name: str
    kind: HostKind
    region: RegionId
    zone: ZoneId
    rack: RackId
    address: Address
    leaving: bool
    service: ServiceId | None = None
    """The service of an upstream."""
    slots: int = 0
    """Requests that an upstream handles at once."""
    connections: int = 0
    """Connections that an upstream takes at most."""
    capacity: Resources = Resources()
    """Room of a worker."""

    def get_worker(self) -> WorkerId:
        """Return the name as the id of a worker."""
        return WorkerId(self.name)

    def get_upstream(self) -> UpstreamId:
        """Return the name as the id of an upstream."""
        return UpstreamId(self.name)


class HostList(Protocol):
    """The platform's lagging list of live and leaving hosts."""

    async def list_hosts(self, timeout: float) -> tuple[ListedHost, ...]:
        """Return all hosts; raises `Unavailable`."""
        ...


@dataclass(frozen=True, slots=True)
class StartCommand:
    """Start one attempt of a task."""

    task: TaskId
    attempt: int
    resources: Resources
    run_ms: int
    parameters: tuple[tuple[str, str], ...]
    lease_ms: int
    not_after: WorkerTime
    """The worker refuses the command when its own clock has passed this."""


@dataclass(frozen=True, slots=True)
class SyncCommand:
    """Renew all leases, forget recorded tasks and ask what changed."""

    since: int
    """0 asks for all tasks."""
    wait_ms: int
    """The worker may hold the answer this long while nothing changes."""
    renew_ms: int
    """Lease from receipt on for all running tasks; 0 renews nothing."""
    not_after: WorkerTime
    """The worker renews nothing when its own clock has passed this; 0 when no clock is known."""
    forget: tuple[tuple[TaskId, int], ...]


class Worker(Protocol):
    """One worker.

    Calls raise `WorkerUnavailable` if the command surely did not reach the worker and
    `OutcomeUnknown` if it may have.
    """

    async def start(self, command: StartCommand, timeout: float) -> StartAnswer:
        """Start a task."""
        ...

    async def sync(self, command: SyncCommand, timeout: float) -> WorkerReport:
        """Renew, forget and report."""
        ...

    async def stop(
        self, task: TaskId, attempt: int, grace_ms: int, not_after: WorkerTime, timeout: float
    ) -> None:
        """Stop a task, after `grace_ms` by force."""
        ...

    async def checkpoint(
        self, task: TaskId, attempt: int, not_after: WorkerTime, timeout: float
    ) -> None:
        """Save the task's progress and stop it; a later attempt goes on from there."""
        ...

    async def throttle(
        self, task: TaskId, attempt: int, millicores: int, not_after: WorkerTime, timeout: float
    ) -> None:
        """Hold the task to `millicores`."""
        ...

    def close(self) -> None:
        """Close the connections."""
        ...
