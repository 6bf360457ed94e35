"""What a leader knows of the one before it."""

from __future__ import annotations

from dataclasses import dataclass

from lentilpath_core.ids import Instant, WorkerId
from lentilpath_core.pool._model import Life

WorkerLives = frozenset[tuple[WorkerId, Life]]
"""Incarnations of workers."""


@dataclass(frozen=True, slots=True)
class FormerLeader:
    """What is known of an earlier leader that may not have noticed that it was replaced."""

    lease_ms: int
    """Longest time, on this leader's clock, that a lease of it may last."""
    leases_end_at: Instant
    """When the last leases that it may grant have expired."""
    has_ended: bool = False
    """Whether it has released its lease, so that it grants no more leases."""
    bounds_leases: bool = True
    """Whether its leases without word from the table count from its last majority; not in releases
    before that rule."""
    identifies_processes: bool = True
    """Whether its commands reach no process of a worker but the one that they were made for; not
    in releases before that rule."""
    workers: WorkerLives = frozenset()
    """The workers that it recorded."""
    is_outnumbered: bool = True
    """Whether half of these workers refuse it or are over, so that it has no majority of them."""
