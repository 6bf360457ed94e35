"""Reloads the settings file on SIGHUP and periodically, as it may change without a signal."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lentilpath_core.errors import InvalidSettings
from lentilpathd._events import Event, log_event, log_warning_event
from lentilpathd._pool._settings import LIVE_SETTINGS, PoolHostSettings

CHECK_INTERVAL_SECONDS = 1.0
"""Under half of the 2.5 s in which a change of the configuration must be in force."""

LoadSettings = Callable[[], PoolHostSettings | None]
"""Returns the settings if they have changed since the last call; raises `InvalidSettings`."""


class SettingsWatcher:
    """Applies changed settings; a file that cannot be used changes nothing."""

    def __init__(
        self,
        load: LoadSettings,
        get_current: Callable[[], PoolHostSettings],
        on_change: Callable[[PoolHostSettings], None],
    ) -> None:
        self._load = load
        self._get_current = get_current
        self._on_change = on_change
        self._requested = asyncio.Event()

    def request(self) -> None:
        """Check the file at once."""
        self._requested.set()

    async def run(self) -> None:
        """Check the file on request and periodically until cancelled."""
        while True:
            try:
                async with asyncio.timeout(CHECK_INTERVAL_SECONDS):
                    await self._requested.wait()
            except TimeoutError:
                # No request arrived, so this is the periodic check.
                pass
            self._requested.clear()
            self.check()

    def check(self) -> None:
        """Load the file and apply its changes."""
        try:
            found = self._load()
        except InvalidSettings as error:
            log_warning_event(Event.SETTINGS_REFUSED, error=str(error))
            return
        if found is None:
            return
        current = self._get_current()
        changes = current.list_changes(found)
        live = sorted(changes & LIVE_SETTINGS)
        log_event(Event.SETTINGS_CHANGED, fields=live)
        if changes - LIVE_SETTINGS:
            log_warning_event(Event.SETTINGS_NEED_RESTART, fields=sorted(changes - LIVE_SETTINGS))
        if live:
            self._on_change(current.with_live_settings(found))
