"""Interfaces of the external systems that the daemon uses; adapters implement them."""

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
    """A row of the platform's table; an absent row has version 0 and an empty value."""

    key: str
    version: RowVersion
    value: str


@dataclass(frozen=True, slots=True)
class Transaction:
    """A conditional write, applied atomically if each row in `checks` has the given version."""

    write_id: WriteId
    checks: tuple[tuple[str, RowVersion], ...] = ()
    puts: tuple[tuple[str, str], ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CommitResult:
    """The table's answer to a transaction."""

    applied: bool
    conflicts: tuple[Row, ...] = ()
    """The current state of the checked rows that had another version."""


class Table(Protocol):
    """The platform's transactional table.

    Calls raise `TableUnavailable` if the table did not process them; `commit` raises
    `OutcomeUnknown` if the write may have been applied. Timeouts are in seconds; that of a read
    bounds the time until its answer begins to arrive.
    """

    async def commit(self, transaction: Transaction, timeout: float) -> CommitResult:
        """Apply `transaction` atomically; a conflict is returned, not raised."""
        ...

    async def read(self, keys: tuple[str, ...], timeout: float) -> tuple[Row, ...]:
        """Return one row for each key, in order."""
        ...

    async def scan(self, prefix: str, after: str, limit: int, timeout: float) -> tuple[Row, ...]:
        """Return up to `limit` rows whose keys begin with `prefix` and sort after `after`."""
        ...


class ObjectStore(Protocol):
    """The platform's object store. Calls raise `Unavailable`; puts are idempotent.

    Timeouts are in seconds; that of a read bounds the time until its answer begins to arrive.
    """

    async def put_object(self, key: str, data: bytes, timeout: float) -> None:
        """Store `data` under `key`, replacing an existing object."""
        ...

    async def get_object(self, key: str, timeout: float) -> bytes | None:
        """Return the object, or `None` if there is none."""
        ...

    async def list_objects(self, prefix: str, timeout: float) -> tuple[str, ...]:
        """Return the keys that begin with `prefix`, sorted."""
        ...

    async def delete_object(self, key: str, timeout: float) -> None:
        """Delete the object if it exists."""
        ...


class HostKind(Enum):
    """The role of a listed host."""

    ENTRY = "entry"
    WORKER = "worker"
    UPSTREAM = "upstream"


@dataclass(frozen=True, slots=True)
class ListedHost:
    """One entry of the platform's host list, which lags behind the real state."""

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
    """Number of requests that an upstream handles concurrently."""
    connections: int = 0
    """Maximum number of connections that an upstream accepts."""
    capacity: Resources = Resources()
    """Resources of a worker."""

    def get_worker(self) -> WorkerId:
        """Return the name as the id of a worker."""
        return WorkerId(self.name)

    def get_upstream(self) -> UpstreamId:
        """Return the name as the id of an upstream."""
        return UpstreamId(self.name)


class HostList(Protocol):
    """The platform's list of live and leaving hosts, which lags behind the real state."""

    async def list_hosts(self, timeout: float) -> tuple[ListedHost, ...]:
        """Return all hosts; raises `Unavailable`."""
        ...


@dataclass(frozen=True, slots=True)
class StartCommand:
    """Command to start one attempt of a task."""

    task: TaskId
    attempt: int
    resources: Resources
    run_ms: int
    parameters: tuple[tuple[str, str], ...]
    lease_ms: int
    not_after: WorkerTime
    """The worker refuses the command if its own clock has passed this time."""


@dataclass(frozen=True, slots=True)
class SyncCommand:
    """Command to renew all leases, discard ended attempts and report changes."""

    since: int
    """Sequence number of the last report; later changes are reported, or all tasks with 0."""
    wait_ms: int
    """How long the worker may delay its answer while nothing changes (long polling)."""
    renew_ms: int
    """Length of the lease for all running tasks, counted from receipt; 0 renews nothing."""
    not_after: WorkerTime
    """The worker renews no lease if its own clock has passed this; 0 if its clock is unknown."""
    forget: tuple[tuple[TaskId, int], ...]


class Worker(Protocol):
    """One worker.

    Calls raise `WorkerUnavailable` if the command did not reach the worker and `OutcomeUnknown` if
    it may have.
    """

    async def start(self, command: StartCommand, timeout: float) -> StartAnswer:
        """Start a task."""
        ...

    async def sync(self, command: SyncCommand, timeout: float) -> WorkerReport:
        """Renew leases, discard ended attempts and return a report."""
        ...

    async def stop(
        self, task: TaskId, attempt: int, grace_ms: int, not_after: WorkerTime, timeout: float
    ) -> None:
        """Stop a task and kill it if it still runs after `grace_ms`."""
        ...

    async def checkpoint(
        self, task: TaskId, attempt: int, not_after: WorkerTime, timeout: float
    ) -> None:
        """Save the task's progress and stop it; a later attempt resumes from there."""
        ...

    async def throttle(
        self, task: TaskId, attempt: int, millicores: int, not_after: WorkerTime, timeout: float
    ) -> None:
        """Limit the task's processor time to `millicores`."""
        ...

    def close(self) -> None:
        """Close the connections."""
        ...
