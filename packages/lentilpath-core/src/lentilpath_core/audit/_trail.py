"""Records of commands as the table stores them.

An accepted command is stored as the row `command/ID`, by which a repetition is recognised, and as
the row `audit/TIME-ID` of the audit trail. Queries and refused commands are in the trail only.
"""

from __future__ import annotations

import msgspec

from lentilpath_core.ids import HostId, WallTime, ZoneId

TIME_DIGITS = 15


class CommandRecord(msgspec.Struct, frozen=True):
    """Who issued which command, when and with which outcome. Never holds an access key."""

    id: str
    operator: str
    role: str
    at: WallTime
    host: HostId
    """The entry host that received the command."""
    command: str
    outcome: str
    """`accepted`, `answered` for a query, or the code of an error."""
    message: str
    zone: ZoneId = ZoneId("")
    version: int = 0
    """Version of the changed subject after the command; 0 if it has none."""


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(tuple[CommandRecord, ...])


def encode_records(records: tuple[CommandRecord, ...]) -> str:
    """Return the row value of `records`."""
    return _encoder.encode(records).decode()


def decode_records(value: str) -> tuple[CommandRecord, ...]:
    """Return the records stored as `value`; raises `msgspec.DecodeError` if malformed."""
    return _decoder.decode(value)


def get_command_key(command: str) -> str:
    """Return the table key by which a repetition of the command is recognised."""
    return f"command/{command}"


def get_audit_prefix(at: WallTime) -> str:
    """Return the prefix of the trail's table keys at `at`; the keys sort by time."""
    return f"audit/{at:0{TIME_DIGITS}d}"


def parse_audit_time(key: str) -> WallTime:
    """Return the time in the key of a row of the trail; none of its records is older."""
    return WallTime(int(key.removeprefix("audit/")[:TIME_DIGITS]))


def get_audit_key(at: WallTime, name: str) -> str:
    """Return the table key of one row of the trail."""
    return f"{get_audit_prefix(at)}-{name}"
