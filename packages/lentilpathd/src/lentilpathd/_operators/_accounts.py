"""Storage layout of a zone's sealed usage, and its reader.

Each sealed period has one object of lines per customer, a manifest that lists the digests of these
objects and links to the previous manifest in a hash chain, and a row `usage-period/ZONE/PERIOD`
with the manifest's digest. The row `usage/ZONE` holds the end of the chain and the key of the
stored ledger. All rows of one seal are written in one transaction, so an object that no row refers
to is ignored.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Sequence

import msgspec

from lentilpath_core.audit import FIRST_DIGEST, BrokenChain, SealedObject, verify_sealed_object
from lentilpath_core.ids import CustomerId, JournalSequence, WallTime, ZoneId
from lentilpath_core.usage import UsageLine
from lentilpathd._context import DaemonContext
from lentilpathd._ports import Row

TABLE_TIMEOUT_SECONDS = 2.0
OBJECT_TIMEOUT_SECONDS = 10.0
ROWS_PER_SCAN = 200
PARALLEL_READS = 16
DAY_NAME_LENGTH = len("2026-12-01")
_LINE_PERIOD = re.compile(r"^(.+?):(\d{4}-\d{2}-\d{2}T\d{4}):")


class UsageState(msgspec.Struct, frozen=True):
    """Row `usage/ZONE`. Usage no longer needs journal batches up to and including `sequence`."""

    sequence: JournalSequence
    period: WallTime
    """Start of the first unsealed period."""
    manifests: int = 0
    digest: str = FIRST_DIGEST
    ledger: str = ""
    """Object key of the stored ledger."""


class ManifestEntry(msgspec.Struct, frozen=True):
    """Digest and totals of one customer's lines in a sealed period."""

    customer: CustomerId
    digest: str
    lines: int
    held_ms: int
    charge_units: int


_line_decoder = msgspec.json.Decoder(UsageLine)
_entry_decoder = msgspec.json.Decoder(ManifestEntry)


def get_usage_state_key(zone: ZoneId) -> str:
    """Return the table key of the zone's usage state."""
    return f"usage/{zone}"


def get_period_key(zone: ZoneId, period_name: str) -> str:
    """Return the table key of a sealed period."""
    return f"usage-period/{zone}/{period_name}"


def get_manifest_object_key(zone: ZoneId, digest: str) -> str:
    """Return the object key of a manifest."""
    return f"usage/{zone}/manifest-{digest}"


def get_lines_object_key(zone: ZoneId, digest: str) -> str:
    """Return the object key of one customer's lines in one period."""
    return f"usage/{zone}/lines-{digest}"


def get_ledger_object_key(zone: ZoneId, digest: str) -> str:
    """Return the object key of a stored ledger."""
    return f"usage/{zone}/ledger-{digest}"


def decode_usage_state(row: Row) -> UsageState | None:
    """Return the usage state in `row`, or `None` if it is absent."""
    return msgspec.json.decode(row.value, type=UsageState) if row.value else None


def parse_line_period(line: str) -> tuple[ZoneId, str] | None:
    """Return the zone and period name of a line id, or `None` if the id is malformed."""
    match = _LINE_PERIOD.match(line)
    return (ZoneId(match[1]), match[2]) if match else None


class SealedUsageReader:
    """Reads sealed lines; raises `BrokenChain` if an object is missing or was changed."""

    def __init__(self, context: DaemonContext) -> None:
        self._context = context
        self._read_slots = asyncio.Semaphore(PARALLEL_READS)

    async def list_lines(
        self, zones: Sequence[ZoneId], customer: CustomerId, day_name: str
    ) -> list[UsageLine]:
        """Return all sealed lines of `customer` on one day in `zones`."""
        lines_by_zone = await asyncio.gather(
            *(self._list_zone_lines(zone, customer, day_name) for zone in zones)
        )
        return [line for lines in lines_by_zone for line in lines]

    async def find_line(self, line: str) -> tuple[UsageLine, SealedObject] | None:
        """Return the sealed line with this id and its manifest, or `None` if there is none."""
        zone_and_period = parse_line_period(line)
        if zone_and_period is None:
            return None
        zone = zone_and_period[0]
        (row,) = await self._context.table.read(
            (get_period_key(*zone_and_period),), TABLE_TIMEOUT_SECONDS
        )
        if not row.value:
            return None
        manifest = await self._read_object(get_manifest_object_key(zone, row.value), row.value)
        for entry in decode_entries(manifest):
            for found in await self._read_lines(zone, entry):
                if found.line == line:
                    return found, manifest
        return None

    async def verify_chain(self, zone: ZoneId) -> tuple[int, int]:
        """Verify the zone's hash chain from its end; return the numbers of manifests and lines.

        Raises `BrokenChain` at the first object that is missing or was changed, or if the chain has
        another number of manifests than were sealed.
        """
        (row,) = await self._context.table.read((get_usage_state_key(zone),), TABLE_TIMEOUT_SECONDS)
        state = decode_usage_state(row)
        digest = state.digest if state is not None else FIRST_DIGEST
        manifests = 0
        lines = 0
        while digest != FIRST_DIGEST:
            manifest = await self._read_object(get_manifest_object_key(zone, digest), digest)
            for entry in decode_entries(manifest):
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
        rows = await self._context.table.scan(prefix, "", ROWS_PER_SCAN, TABLE_TIMEOUT_SECONDS)
        lines_by_period = await asyncio.gather(
            *(self._list_period_lines(zone, row.value, customer) for row in rows)
        )
        return [line for lines in lines_by_period for line in lines]

    async def _list_period_lines(
        self, zone: ZoneId, digest: str, customer: CustomerId
    ) -> tuple[UsageLine, ...]:
        manifest = await self._read_object(get_manifest_object_key(zone, digest), digest)
        for entry in decode_entries(manifest):
            if entry.customer == customer:
                return await self._read_lines(zone, entry)
        return ()

    async def _read_lines(self, zone: ZoneId, entry: ManifestEntry) -> tuple[UsageLine, ...]:
        sealed = await self._read_object(get_lines_object_key(zone, entry.digest), entry.digest)
        return tuple(_line_decoder.decode(line) for line in sealed.lines)

    async def _read_object(self, key: str, digest: str) -> SealedObject:
        async with self._read_slots:
            data = await self._context.objects.get_object(key, OBJECT_TIMEOUT_SECONDS)
        if data is None:
            raise BrokenChain(f"the sealed object {key} is gone from the object store")
        return verify_sealed_object(data, digest)


def decode_entries(manifest: SealedObject) -> tuple[ManifestEntry, ...]:
    """Return the entries of a manifest; its first line, which names the period, is skipped."""
    return tuple(_entry_decoder.decode(line) for line in manifest.lines[1:])
