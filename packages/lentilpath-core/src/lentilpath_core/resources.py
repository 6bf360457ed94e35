"""Amounts of processor, memory and accelerators."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Resources:
    """An amount of each resource that a host has or a task holds."""

    millicores: int = 0
    """Thousandths of one processor."""
    memory_mib: int = 0
    """Mebibytes of memory."""
    accelerators: int = 0
    """Whole accelerators."""

    def __add__(self, other: Resources) -> Resources:
        """Return the sum of both amounts."""
        return Resources(
            self.millicores + other.millicores,
            self.memory_mib + other.memory_mib,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        """Return this amount less `other`; may be negative."""
        return Resources(
            self.millicores - other.millicores,
            self.memory_mib - other.memory_mib,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, room: Resources) -> bool:
        """Return whether `room` has at least this amount of every resource."""
        return (
            self.millicores <= room.millicores
            and self.memory_mib <= room.memory_mib
            and self.accelerators <= room.accelerators
        )

    def multiply(self, count: int) -> Resources:
        """Return `count` times this amount."""
        return Resources(
            self.millicores * count, self.memory_mib * count, self.accelerators * count
        )


NO_RESOURCES = Resources()
