"""The workers that may be running tasks of a pool, stored in a number of shares.

Designed for pools of thousands of workers: a row of the table takes 64 KiB, the entries of about
800 workers, and when one worker restarts only its share is written. A changed share gets a new row,
`0workers/SHARE/EPOCH/SEQUENCE`, and its former row is deleted. A write that the table applies late
can therefore not hide a worker that was added since: of the rows of a share the latest counts.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

import msgspec

from lentilpath_core.errors import InvalidInput
from lentilpath_core.ids import Epoch, RackId, ServiceId, WorkerId, ZoneId
from lentilpath_core.pool import Life, ListedWorker, MachineId, WorkerCondition, check_worker
from lentilpath_core.resources import Resources
from lentilpath_core.settings import Address
from lentilpathd._pool._records import WORKERS_KEY, decode_record

WORKER_KEYS_END = "1"
"""End of the keys that begin with `WORKERS_KEY`; no other key lies between."""
WORKER_SHARES = 32
"""All shares fit in one transaction beside the records of a batch, and its 1 MB takes about 9,000
workers."""


class WorkerRow(msgspec.Struct, frozen=True, array_like=True):
    """A life (process incarnation) of a worker that may be running tasks."""

    worker: WorkerId
    life: Life
    service: ServiceId
    address: Address
    zone: ZoneId
    rack: RackId
    labels: tuple[str, ...]
    capacity: Resources
    runs_end_ms: int = 0
    """For a worker to which no commands are sent: when the runs on it have ended, on the table
    service's clock. 0 for all others. Not in rows of early releases, as the next field."""
    machine: MachineId = MachineId("")
    """New fields come last, so that earlier releases can read the row."""
    held_until_ms: int | None = 0
    """Until when a command for a former life may hold the runs on this one, on the table service's
    clock; `None` while such commands may still take effect, 0 if there can be none."""


class WorkerShares:
    """The rows that the leader of an epoch writes for the lists of workers that it uses."""

    def __init__(self, epoch: Epoch) -> None:
        self._epoch = epoch
        self._sequence = 0
        self._values: dict[int, bytes] = {}
        self._keys: dict[int, str] = {}
        self._former_keys: list[str] = []

    def add_former_rows(self, keys: Iterable[str]) -> None:
        """Add the keys of earlier leaders' rows. The first list supersedes all of them."""
        self._former_keys.extend(keys)

    def replace_workers(
        self,
        workers: tuple[ListedWorker, ...],
        runs_end_ms: Mapping[WorkerId, int],
        held_until_ms: Mapping[WorkerId, int | None] = MappingProxyType({}),
    ) -> tuple[dict[str, bytes], tuple[str, ...]]:
        """Return the rows to write for a new list, and the keys to delete with them or later.

        `runs_end_ms` holds the suspended workers, and when the runs on them have ended.
        `held_until_ms` holds those whose runs a command for a former life may hold, and until when.
        """
        self._sequence += 1
        puts: dict[str, bytes] = {}
        obsolete, self._former_keys = self._former_keys, []
        for share, value in enumerate(_make_values(workers, runs_end_ms, held_until_ms)):
            if self._values.get(share) == value:
                continue
            if share in self._keys:
                obsolete.append(self._keys[share])
            self._values[share] = value
            self._keys[share] = f"{WORKERS_KEY}/{share}/{self._epoch}/{self._sequence}"
            puts[self._keys[share]] = value
        return puts, tuple(obsolete)


def _make_values(
    workers: tuple[ListedWorker, ...],
    runs_end_ms: Mapping[WorkerId, int],
    held_until_ms: Mapping[WorkerId, int | None],
) -> tuple[bytes, ...]:
    """Return the row values of all shares, also of the empty ones."""
    shares: tuple[list[WorkerRow], ...] = tuple([] for _ in range(WORKER_SHARES))
    for each in workers:
        held_until = held_until_ms.get(each.worker, 0)
        row = _make_worker_row(each, runs_end_ms.get(each.worker, 0), held_until)
        shares[zlib.crc32(each.worker.encode()) % WORKER_SHARES].append(row)
    return tuple(msgspec.msgpack.encode(rows) for rows in shares)


@dataclass(frozen=True, slots=True)
class StoredWorkers:
    """The workers that earlier leaders have recorded."""

    workers: tuple[ListedWorker, ...]
    runs_end_ms: Mapping[WorkerId, int]
    """Those to which no commands were sent, and when the runs on them have ended, on the table
    service's clock."""
    held_until_ms: Mapping[WorkerId, int | None]
    """Those whose runs a command for a former life may hold, and until when, on the same clock;
    `None` while such commands may still take effect."""
    unusable: Mapping[str, Exception]
    """Keys of rows that cannot be used."""


def decode_workers(rows: Mapping[str, bytes], suspends_since: int = 0) -> StoredWorkers:
    """Decode the workers in the latest row of each share.

    `rows` has values by key. A single row of all workers, as earlier releases wrote it, counts too
    until it is deleted. Suspensions count in rows of the epoch `suspends_since` or later, 0 for
    none: a leader of an earlier release does not keep to them, and leaves the rows as they are.
    """
    latest: dict[str, tuple[int, int]] = {}
    current: dict[str, str] = {}
    unusable: dict[str, Exception] = {}
    for key in rows:
        try:
            share, order = _parse_key(key)
        except ValueError as error:
            unusable[key] = error
            continue
        if share not in latest or order > latest[share]:
            latest[share], current[share] = order, key
    workers: list[ListedWorker] = []
    runs_end_ms: dict[WorkerId, int] = {}
    held_until_ms: dict[WorkerId, int | None] = {}
    for key in current.values():
        try:
            share_rows = decode_record(rows[key], tuple[WorkerRow, ...])
            workers.extend(_make_listed_workers(share_rows))
        except (ValueError, InvalidInput) as error:
            unusable[key] = error
            continue
        held_until_ms.update(
            {row.worker: row.held_until_ms for row in share_rows if row.held_until_ms != 0}
        )
        epoch, _ = latest[_parse_key(key)[0]]
        if 0 < suspends_since <= epoch:
            ends = {row.worker: row.runs_end_ms for row in share_rows if row.runs_end_ms}
            runs_end_ms.update(ends)
    return StoredWorkers(tuple(workers), runs_end_ms, held_until_ms, unusable)


def _parse_key(key: str) -> tuple[str, tuple[int, int]]:
    if key == WORKERS_KEY:
        return key, (0, 0)
    _, share, epoch, sequence = key.split("/")
    return share, (int(epoch), int(sequence))


def _make_worker_row(
    listed: ListedWorker, runs_end_ms: int, held_until_ms: int | None
) -> WorkerRow:
    return WorkerRow(
        listed.worker,
        listed.life,
        listed.service,
        listed.address,
        listed.zone,
        listed.rack,
        tuple(sorted(listed.labels)),
        listed.capacity,
        runs_end_ms,
        listed.machine,
        held_until_ms,
    )


def _make_listed_workers(rows: tuple[WorkerRow, ...]) -> tuple[ListedWorker, ...]:
    workers = tuple(
        ListedWorker(
            row.worker,
            row.life,
            row.service,
            row.address,
            row.zone,
            row.rack,
            frozenset(row.labels),
            row.capacity,
            WorkerCondition.READY,
            machine=row.machine,
        )
        for row in rows
    )
    for each in workers:
        check_worker(each)
    return workers
