"""Where sealed usage lives: rows and objects of one zone, and reading them back.

For each sealed period: an object of lines for each customer, a manifest that names their digests
and is chained to the manifest before, and a row `usage-period/ZONE/PERIOD` with the manifest's
digest. The row `usage/ZONE` holds the end of the chain and the stored ledger. All rows of one seal
are written in one transaction, so objects that no row names count for nothing.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Sequence

import msgspec

from lentilpath_core.audit import FIRST_DIGEST, BrokenChain, SealedObject, read_sealed
from lentilpath_core.ids import CustomerId, JournalSequence, WallTime, ZoneId
from lentilpath_core.usage import UsageLine
from lentilpathd._context import DaemonContext
from lentilpathd._ports import Row

TABLE_SECONDS = 2.0
OBJECT_SECONDS = 10.0
ROWS_PER_SCAN = 200
PARALLEL_READS = 16
DAY_NAME_LENGTH = len("2026-12-01")
_LINE_PERIOD = re.compile(r"^(.+?):(\d{4}-\d{2}-\d{2}T\d{4}):")


class UsageState(msgspec.Struct, frozen=True):
    """Row `usage/ZONE`. Journal batches up to `sequence` are not needed by usage any more."""

    sequence: JournalSequence
    period: WallTime
    """Start of the first period that is not sealed."""
    manifests: int = 0
    digest: str = FIRST_DIGEST
    ledger: str = ""
    """Key of the object that holds the ledger."""


class ManifestEntry(msgspec.Struct, frozen=True):
    """One customer's lines in a sealed period."""

    customer: CustomerId
    digest: str
    lines: int
    held_ms: int
    charge_units: int


_line_decoder = msgspec.json.Decoder(UsageLine)
_entry_decoder = msgspec.json.Decoder(ManifestEntry)


def get_state_key(zone: ZoneId) -> str:
    """Return the table key of the zone's usage state."""
    return f"usage/{zone}"


def get_period_key(zone: ZoneId, period_name: str) -> str:
    """Return the table key of a sealed period."""
    return f"usage-period/{zone}/{period_name}"


def get_manifest_object(zone: ZoneId, digest: str) -> str:
    """Return the object key of a manifest."""
    return f"usage/{zone}/manifest-{digest}"


def get_lines_object(zone: ZoneId, digest: str) -> str:
    """Return the object key of one customer's lines in one period."""
    return f"usage/{zone}/lines-{digest}"


def get_ledger_object(zone: ZoneId, digest: str) -> str:
    """Return the object key of a stored ledger."""
    return f"usage/{zone}/ledger-{digest}"


def read_state(row: Row) -> UsageState | None:
    """Return the usage state in `row`, or `None` if it is absent."""
    return msgspec.json.decode(row.value, type=UsageState) if row.value else None


def parse_line_place(line: str) -> tuple[ZoneId, str] | None:
    """Return the zone and the name of the period in a line's id, or `None` if it is none."""
    match = _LINE_PERIOD.match(line)
    return (ZoneId(match[1]), match[2]) if match else None


class SealedUsage:
    """Reads sealed lines; raises `BrokenChain` if an object was changed."""

    def __init__(self, context: DaemonContext) -> None:
        self._context = context
        self._slots = asyncio.Semaphore(PARALLEL_READS)

    async def list_lines(
        self, zones: Sequence[ZoneId], customer: CustomerId, day_name: str
    ) -> list[UsageLine]:
        """Return all sealed lines of `customer` on one day, in all `zones`."""
        found = await asyncio.gather(
            *(self._list_zone_lines(zone, customer, day_name) for zone in zones)
        )
        return [line for lines in found for line in lines]

    async def find_line(self, line: str) -> tuple[UsageLine, SealedObject] | None:
        """Return a sealed line and the manifest it stands in, or `None`."""
        place = parse_line_place(line)
        if place is None:
            return None
        zone = place[0]
        (row,) = await self._context.table.read((get_period_key(*place),), TABLE_SECONDS)
        if not row.value:
            return None
        manifest = await self._read_object(get_manifest_object(zone, row.value), row.value)
        for entry in list_entries(manifest):
            for found in await self._read_lines(zone, entry):
                if found.line == line:
                    return found, manifest
        return None

    async def check_chain(self, zone: ZoneId) -> tuple[int, int]:
        """Read the zone's whole chain backwards; return how many manifests and lines are whole.

        Raises `BrokenChain` at the first object that is missing or was changed.
        """
        (row,) = await self._context.table.read((get_state_key(zone),), TABLE_SECONDS)
        state = read_state(row)
        digest = state.digest if state is not None else FIRST_DIGEST
        manifests = 0
        lines = 0
        while digest != FIRST_DIGEST:
            manifest = await self._read_object(get_manifest_object(zone, digest), digest)
            for entry in list_entries(manifest):
                lines += len(await self._read_lines(zone, entry))
            manifests += 1
            digest = manifest.previous
        if state is not None and manifests != state.manifests:
            raise BrokenChain(
                f"zone {zone}: {manifests} manifests are chained, {state.manifests} were sealed"
            )
        return manifests, lines

    async def _list_zone_lines(
        self, zone: ZoneId, customer: CustomerId, day_name: str
    ) -> list[UsageLine]:
        prefix = get_period_key(zone, day_name)
        rows = await self._context.table.scan(prefix, "", ROWS_PER_SCAN, TABLE_SECONDS)
        found = await asyncio.gather(
            *(self._list_period_lines(zone, row.value, customer) for row in rows)
        )
        return [line for lines in found for line in lines]

    async def _list_period_lines(
        self, zone: ZoneId, digest: str, customer: CustomerId
    ) -> tuple[UsageLine, ...]:
        manifest = await self._read_object(get_manifest_object(zone, digest), digest)
        for entry in list_entries(manifest):
            if entry.customer == customer:
                return await self._read_lines(zone, entry)
        return ()

    async def _read_lines(self, zone: ZoneId, entry: ManifestEntry) -> tuple[UsageLine, ...]:
        sealed = await self._read_object(get_lines_object(zone, entry.digest), entry.digest)
        return tuple(_line_decoder.decode(line) for line in sealed.lines)

    async def _read_object(self, key: str, digest: str) -> SealedObject:
        async with self._slots:
            data = await self._context.objects.get_object(key, OBJECT_SECONDS)
        if data is None:
            raise BrokenChain(f"the sealed object {key} is gone from the object store")
        return read_sealed(data, digest)


def list_entries(manifest: SealedObject) -> tuple[ManifestEntry, ...]:
    """Return the entries of a manifest; its first line names the period."""
    return tuple(_entry_decoder.decode(line) for line in manifest.lines[1:])
