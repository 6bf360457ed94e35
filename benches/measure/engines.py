"""The engines that are compared, behind one interface."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import lentilpath_core.placement as present
from benches.measure import first_fit
from benches.measure.earlier import load_earlier_placement
from lentilpath_core.ids import Instant, TaskId, WallTime
from lentilpath_core.placement import Decision, PlacementEvent, QuotaSet


@dataclass(frozen=True, slots=True)
class Engine:
    """One engine: its name and the module that decides."""

    name: str
    module: Any
    knows_quotas: bool = True

    def create(self) -> Any:
        """Return the placement of an empty zone."""
        return self.module.create_placement()

    def apply(self, state: Any, event: PlacementEvent, now: int) -> None:
        """Feed one event."""
        if self.knows_quotas or not isinstance(event, QuotaSet):
            self.module.apply_event(state, event, Instant(now))

    def decide(self, state: Any, now: int, limit: int) -> tuple[Decision, ...]:
        """Return decisions; virtual time is wall time too."""
        if not self.knows_quotas:
            return tuple(self.module.decide_placements(state, Instant(now), limit))
        decided = self.module.decide_placements(state, Instant(now), limit, WallTime(now))
        return tuple(decided)

    def explain(self, state: Any, task: str, now: int) -> Any:
        """Return why a task waits."""
        return self.module.explain_task(state, TaskId(task), Instant(now))


ENGINES = (
    Engine("first fit", first_fit, knows_quotas=False),
    Engine("previous", load_earlier_placement()),
    Engine("present", present),
)
