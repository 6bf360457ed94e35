"""Prices and exact charges.

Prices are integers, in millionths of the currency for an hour of one processor, one GiB or one
accelerator. Charges use a finer unit in which every product of price, amount and milliseconds is an
integer, so that sums are exact and do not depend on order or rounding.
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


FREE_PRICE_RULE = PriceRule("free")
"""Rule of customers whose configuration names none."""


class ResourceTime(msgspec.Struct, frozen=True):
    """Resources multiplied by the time held, as exact integers; negative in corrections."""

    millicore_ms: int = 0
    memory_mib_ms: int = 0
    accelerator_ms: int = 0


def compute_charge_units(rule: PriceRule, amounts: ResourceTime) -> int:
    """Return the exact charge for `amounts`, in units of `1 / UNITS_PER_MICRO` micros."""
    return (
        amounts.millicore_ms * rule.per_core_hour_micros * MILLICORE_FACTOR
        + amounts.memory_mib_ms * rule.per_gib_hour_micros * MEBIBYTE_FACTOR
        + amounts.accelerator_ms * rule.per_accelerator_hour_micros * ACCELERATOR_FACTOR
    )


def format_charge(units: int) -> str:
    """Return the charge in millionths of the currency, exactly, as `123` or `123+45/460800000000`.

    Only the total of an invoice is to be rounded, not its lines.
    """
    micros, rest = divmod(units, UNITS_PER_MICRO)
    return f"{micros}+{rest}/{UNITS_PER_MICRO}" if rest else str(micros)
