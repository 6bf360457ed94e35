"""The table rows through which the entry hosts of a zone elect its leader."""

from __future__ import annotations

import msgspec

from lentilpath_core.ids import Epoch, HostId, Incarnation, RowVersion, WriteId, ZoneId


class Member(msgspec.Struct, frozen=True, order=True):
    """One process of an entry host. A restarted process is another member."""

    host: HostId
    incarnation: Incarnation


class ZoneRow(msgspec.Struct, frozen=True):
    """The value of `zone/ZONE`."""

    epoch: Epoch
    holder: Member
    roster: tuple[Member, ...]
    """Members that the holder had recently heard from when it wrote the row, and itself. Sorted."""
    write_id: WriteId
    """Identifies the write that stored the row, so that its writer recognises it."""
    released: bool = False
    """The holder has released the zone; any process may take it over at once."""
    lease_ms: int = 0
    promise_ms: int = 0
    newcomer_horizon_ms: int = 0
    """With the two above, the holder's own settings: no process that waits for the holder's
    authority to end may use shorter durations."""


class EpochRow(msgspec.Struct, frozen=True):
    """The value of `epoch/ZONE`, written only in the transaction of a take-over."""

    epoch: Epoch


class ReadZone(msgspec.Struct, frozen=True):
    """Both rows as one read returned them."""

    row: ZoneRow | None
    version: RowVersion
    epoch_version: RowVersion


_zone_decoder = msgspec.json.Decoder(ZoneRow)
_encoder = msgspec.json.Encoder()


def get_zone_key(zone: ZoneId) -> str:
    """Return the table key of the row that names the holder of `zone`."""
    return f"zone/{zone}"


def get_epoch_key(zone: ZoneId) -> str:
    """Return the table key of the row that every journal write of `zone` checks."""
    return f"epoch/{zone}"


def encode_row(row: ZoneRow | EpochRow) -> str:
    """Return the row value of `row`."""
    return _encoder.encode(row).decode()


def decode_zone_row(value: str) -> ZoneRow | None:
    """Return the row stored as `value`, `None` for an absent one.

    Raises `msgspec.DecodeError` if `value` is not a valid zone row.
    """
    return _zone_decoder.decode(value) if value else None
