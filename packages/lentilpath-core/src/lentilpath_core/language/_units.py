"""Parsing of the amounts and times in operators' commands."""

from __future__ import annotations

import re
from datetime import UTC, datetime, timedelta
from decimal import Decimal, InvalidOperation

from lentilpath_core.ids import WallTime

MS_PER_SECOND = 1_000
MS_PER_DAY = 86_400_000
MAX_AMOUNT = 10**12

DURATION_UNITS_MS = {"ms": 1, "s": 1_000, "m": 60_000, "h": 3_600_000, "d": MS_PER_DAY}
MEMORY_UNITS_MIB = {"MiB": 1, "M": 1, "GiB": 1_024, "G": 1_024, "TiB": 1_048_576, "T": 1_048_576}
PROCESSOR_UNITS_MILLICORES = {"": 1_000, "m": 1}

_AMOUNT_PATTERN = re.compile(r"(\d+(?:\.\d+)?)([A-Za-z]*)")
_CLOCK_TIME_PATTERN = re.compile(r"([01]\d|2[0-3]):([0-5]\d)(?::([0-5]\d))?")


class InvalidValue(ValueError):
    """A value cannot be parsed; the message names the accepted forms."""


def parse_duration_ms(text: str) -> int:
    """Return the milliseconds of `2s`, `500ms`, `5m`, `1h` or `2d`."""
    return _parse_amount(text, DURATION_UNITS_MS, "a duration such as 500ms, 2s, 5m, 1h or 2d")


def parse_memory_mib(text: str) -> int:
    """Return the mebibytes of `512MiB`, `4GiB` or `1TiB`."""
    return _parse_amount(text, MEMORY_UNITS_MIB, "an amount of memory such as 512MiB or 4GiB")


def parse_millicores(text: str) -> int:
    """Return the thousandths of a processor of `2`, `0.5` or `500m`."""
    expected = "a number of processors such as 2, 0.5 or 500m"
    return _parse_amount(text, PROCESSOR_UNITS_MILLICORES, expected)


def parse_count(text: str) -> int:
    """Return a whole number of 0 or more."""
    if not text.isascii() or not text.isdigit() or int(text) > MAX_AMOUNT:
        raise InvalidValue(f"{text!r} is not a whole number of 0 or more")
    return int(text)


def parse_flag(text: str) -> bool:
    """Return whether `text` is yes or no."""
    flags = {"yes": True, "true": True, "no": False, "false": False}
    if text.lower() not in flags:
        raise InvalidValue(f"{text!r} is neither yes nor no")
    return flags[text.lower()]


def parse_day_start(text: str, now: WallTime) -> WallTime:
    """Return the first millisecond (UTC) of `2026-12-01`, `today` or `yesterday`."""
    if text in ("today", "yesterday"):
        today = now - now % MS_PER_DAY
        return WallTime(today if text == "today" else today - MS_PER_DAY)
    try:
        day = datetime.strptime(text, "%Y-%m-%d").replace(tzinfo=UTC)
    except ValueError as error:
        raise InvalidValue(
            f"{text!r} is not a day; write 2026-12-01, today or yesterday"
        ) from error
    return _to_wall_time(day)


def parse_past_time(text: str, now: WallTime) -> WallTime:
    """Return the time given as `05:00` (the last one), `2h` (ago), a date or date and time."""
    clock = _CLOCK_TIME_PATTERN.fullmatch(text)
    if clock:
        moment = _find_clock_time(clock, now)
        return moment if moment <= now else WallTime(moment - MS_PER_DAY)
    if _AMOUNT_PATTERN.fullmatch(text):
        return WallTime(max(0, now - parse_duration_ms(text)))
    return _parse_absolute_time(text)


def parse_future_time(text: str, now: WallTime) -> WallTime:
    """Return the time given as `06:00` (the next one), `2h` (from now), a date or date and time."""
    clock = _CLOCK_TIME_PATTERN.fullmatch(text)
    if clock:
        moment = _find_clock_time(clock, now)
        return moment if moment > now else WallTime(moment + MS_PER_DAY)
    if _AMOUNT_PATTERN.fullmatch(text):
        return WallTime(now + parse_duration_ms(text))
    return _parse_absolute_time(text)


def format_time(at: int) -> str:
    """Return `at` (milliseconds since 1970) as `2026-12-01T05:00:00.000Z`; `-` for 0."""
    if at <= 0:
        return "-"
    moment = datetime.fromtimestamp(at // MS_PER_SECOND, UTC)
    return f"{moment:%Y-%m-%dT%H:%M:%S}.{at % MS_PER_SECOND:03d}Z"


def _parse_amount(text: str, units: dict[str, int], expected: str) -> int:
    match = _AMOUNT_PATTERN.fullmatch(text)
    if match is None or match[2] not in units:
        raise InvalidValue(f"{text!r} is not {expected}")
    try:
        amount = Decimal(match[1]) * units[match[2]]
    except InvalidOperation as error:
        raise InvalidValue(f"{text!r} is not {expected}") from error
    if amount != int(amount) or amount > MAX_AMOUNT:
        raise InvalidValue(f"{text!r} is finer or larger than can be counted; write {expected}")
    return int(amount)


def _find_clock_time(clock: re.Match[str], now: WallTime) -> WallTime:
    today = datetime.fromtimestamp(now // MS_PER_SECOND, UTC)
    moment = today.replace(hour=int(clock[1]), minute=int(clock[2]), second=int(clock[3] or 0))
    return _to_wall_time(moment)


def _parse_absolute_time(text: str) -> WallTime:
    try:
        moment = datetime.fromisoformat(text)
    except ValueError as error:
        raise InvalidValue(
            f"{text!r} is not a time; write 05:00, 2h, 2026-12-01 or 2026-12-01T05:00"
        ) from error
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=UTC)
    return _to_wall_time(moment)


def _to_wall_time(moment: datetime) -> WallTime:
    epoch = datetime(1970, 1, 1, tzinfo=UTC)
    elapsed = (moment - epoch) // timedelta(milliseconds=1)
    if elapsed < 0:
        raise InvalidValue(f"{moment.isoformat()} is before 1970")
    return WallTime(elapsed)
