"""Prices and exact charges.

Prices are whole millionths of the currency for an hour of one processor, one GiB or one
accelerator. A charge is held in a finer unit in which every product of price, amount and
milliseconds is a whole number, so that sums never depend on the order or on rounding.
"""

from __future__ import annotations

import msgspec

MS_PER_HOUR = 3_600_000
UNITS_PER_MICRO = MS_PER_HOUR * 128_000
"""Charge units in one millionth of the currency; 128,000 is a multiple of 1,000 and of 1,024."""
MILLICORE_FACTOR = 128
MEBIBYTE_FACTOR = 125
ACCELERATOR_FACTOR = 128_000


class PriceRule(msgspec.Struct, frozen=True):
    """Prices in millionths of the currency."""

    name: str
    per_core_hour_micros: int = 0
    per_gib_hour_micros: int = 0
    per_accelerator_hour_micros: int = 0


FREE = PriceRule("free")
"""For customers whose configuration names no rule."""


class Holding(msgspec.Struct, frozen=True):
    """Resources held over a time, in exact integers; negative in corrections."""

    millicore_ms: int = 0
    memory_mib_ms: int = 0
    accelerator_ms: int = 0


def compute_charge_units(rule: PriceRule, holding: Holding) -> int:
    """Return the exact charge for `holding`, in units of `1 / UNITS_PER_MICRO` micros."""
    return (
        holding.millicore_ms * rule.per_core_hour_micros * MILLICORE_FACTOR
        + holding.memory_mib_ms * rule.per_gib_hour_micros * MEBIBYTE_FACTOR
        + holding.accelerator_ms * rule.per_accelerator_hour_micros * ACCELERATOR_FACTOR
    )


def format_charge(units: int) -> str:
    """Return the charge in millionths of the currency, exactly, as `123` or `123+45/460800000000`.

    Rounding belongs to the sum of an invoice, not to its lines.
    """
    micros, rest = divmod(units, UNITS_PER_MICRO)
    return f"{micros}+{rest}/{UNITS_PER_MICRO}" if rest else str(micros)
