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

    def count_in(self, room: Resources, most: int) -> int:
        """Return how many times this amount fits in `room`, at least 0 and at most `most`."""
        if self.millicores:
            most = min(most, room.millicores // self.millicores)
        if self.memory_mib:
            most = min(most, room.memory_mib // self.memory_mib)
        if self.accelerators:
            most = min(most, room.accelerators // self.accelerators)
        return max(0, most)

    def limit_to(self, most: Resources) -> Resources:
        """Return the smaller of both amounts, for each resource."""
        return Resources(
            min(self.millicores, most.millicores),
            min(self.memory_mib, most.memory_mib),
            min(self.accelerators, most.accelerators),
        )

    def compute_dominant_share(self, total: Resources) -> float:
        """Return the largest share of `total` that this is, over the resources that it has."""
        share = 0.0
        if total.millicores:
            share = self.millicores / total.millicores
        if total.memory_mib:
            share = max(share, self.memory_mib / total.memory_mib)
        if total.accelerators:
            share = max(share, self.accelerators / total.accelerators)
        return share


NO_RESOURCES = Resources()
