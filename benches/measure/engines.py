"""The placement engines to compare, behind a common interface."""

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
    """An engine: its name and the module that implements it."""

    name: str
    module: Any
    supports_quotas: bool = True

    def create_placement(self) -> Any:
        """Return the placement state of an empty zone."""
        return self.module.create_placement()

    def apply_event(self, state: Any, event: PlacementEvent, now: int) -> None:
        """Apply one event; quotas are left out for an engine without support for them."""
        if self.supports_quotas or not isinstance(event, QuotaSet):
            self.module.apply_event(state, event, Instant(now))

    def decide_placements(self, state: Any, now: int, limit: int) -> tuple[Decision, ...]:
        """Return decisions; the wall time that the engine gets is the virtual time."""
        if not self.supports_quotas:
            return tuple(self.module.decide_placements(state, Instant(now), limit))
        decided = self.module.decide_placements(state, Instant(now), limit, WallTime(now))
        return tuple(decided)

    def explain_task(self, state: Any, task: str, now: int) -> Any:
        """Return the engine's explanation of a task, or `None`."""
        return self.module.explain_task(state, TaskId(task), Instant(now))


ENGINES = (
    Engine("first fit", first_fit, supports_quotas=False),
    Engine("previous", load_earlier_placement()),
    Engine("present", present),
)
