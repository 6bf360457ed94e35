"""An event loop whose time jumps to the next timer, so that waiting takes no real time."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from types import ModuleType
from typing import Any, TypeVar

import pytest

from lentilpath_core.ids import Instant

T = TypeVar("T")


class _JumpingSelector(selectors.DefaultSelector):
    """Returns at once and advances `now` by the time that it was asked to wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if not ready and timeout is not None:
            self.now += max(0.0, timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time, for code that waits for timers only."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now


def run_in_virtual_time(
    scenario: Coroutine[Any, Any, T], patch: pytest.MonkeyPatch, *modules: ModuleType
) -> T:
    """Run a scenario in virtual time, which is also what `modules` read as the present time."""
    loop = VirtualTimeLoop()
    for module in modules:
        patch.setattr(module, "read_instant", lambda: Instant(int(loop.time() * 1_000)))
    try:
        return loop.run_until_complete(scenario)
    finally:
        loop.close()
