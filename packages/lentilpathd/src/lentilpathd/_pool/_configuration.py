"""Follows the configuration. Versions only increase: an older one is ignored."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lentilpath_core.errors import InvalidSettings, OutcomeUnknown, Unavailable
from lentilpath_core.ids import Instant, RowVersion
from lentilpath_core.pool import (
    PauseWatch,
    PoolConfiguration,
    carry_customers,
    is_configuration_current,
)
from lentilpathd._cancellation import start_member
from lentilpathd._clock import read_instant
from lentilpathd._events import Event, log_event, log_warning_event
from lentilpathd._pool._ports import HistoryLost, Registry, UnusableConfiguration

LONG_POLL_SECONDS = 1.2
"""Duration of a long poll. It is so short that a change is in force within 2.5 s even if the
connection of the feed fails silently just before it."""
REQUEST_TIMEOUT_SECONDS = 0.8
"""Time until an answer begins, added to the long poll; together they stay under the 2.5 s in which
a version must be in force."""
PAUSE_CHECK_SECONDS = 0.25
"""Half of the time that counts as a pause, so that only a process that stood still is late."""
RETRY_SECONDS = 0.15
"""Allows several retries within the 2.5 s in which a version must be in force."""


class ConfigurationFollower:
    """Keeps the configuration in force on this host up to date."""

    def __init__(self, registry: Registry, on_change: Callable[[PoolConfiguration], None]) -> None:
        self._registry = registry
        self._on_change = on_change
        self._current: PoolConfiguration | None = None
        self._confirmed_at: Instant | None = None
        self._pauses = PauseWatch(read_instant())
        self._settled_at = Instant(0)
        """When the last request that has ended was sent."""
        self._first_received = asyncio.Event()
        self._is_newest_usable = True
        """Whether the newest version that was read could be used."""
        self._last_invalid = ""
        """The last reason for which a configuration could not be used; each is logged once."""

    def get_current(self) -> PoolConfiguration | None:
        """Return the configuration in force, or `None` before the first one was read."""
        return self._current

    def is_current(self, max_age_ms: int | None, now: Instant) -> bool:
        """Return whether the configuration was confirmed as the newest one recently enough."""
        return is_configuration_current(self._confirmed_at, max_age_ms, now)

    def is_settled(self, now: Instant) -> bool:
        """Return whether a request sent after the last pause of this process has ended.

        A key may have been withdrawn in the pause. A request that fails settles it too, because a
        host that is cut off from the table goes on with its version.
        """
        self._pauses.observe(now)
        return self._settled_at >= self._pauses.woken_at

    async def wait_for_first(self) -> None:
        """Wait until the first configuration was read."""
        await self._first_received.wait()

    async def run(self) -> None:
        """Follow changes until cancelled."""
        async with asyncio.TaskGroup() as group:
            start_member(group, self._watch_pauses, "pause watch")
            start_member(group, self._follow, "configuration feed")

    async def _watch_pauses(self) -> None:
        """Observe the time often enough that a gap shows a pause of this process."""
        while True:
            self._pauses.observe(read_instant())
            await asyncio.sleep(PAUSE_CHECK_SECONDS)

    async def _follow(self) -> None:
        version: RowVersion | None = None
        sent_at = self._settled_at
        while True:
            self._settled_at = sent_at
            sent_at = read_instant()
            wait_seconds = LONG_POLL_SECONDS if self.is_settled(sent_at) else 0.0
            try:
                if version is None:
                    found, version = await self._registry.read_configuration(
                        REQUEST_TIMEOUT_SECONDS
                    )
                else:
                    found, version = await self._registry.follow_configuration(
                        version, wait_seconds, wait_seconds + REQUEST_TIMEOUT_SECONDS
                    )
            except HistoryLost:
                version = None
                await asyncio.sleep(RETRY_SECONDS)
                continue
            except UnusableConfiguration as error:
                self._report_invalid(error)
                # It is not read again: it may be large, and the feed would return it at once.
                version = error.version
                self._is_newest_usable = False
                continue
            except (Unavailable, OutcomeUnknown) as error:
                log_event(
                    Event.CONFIG_NOT_READ,
                    error=str(error),
                    wait_seconds=wait_seconds,
                    elapsed_ms=read_instant() - sent_at,
                )
                await asyncio.sleep(RETRY_SECONDS)
                continue
            if found is not None or self._is_newest_usable:
                self._confirmed_at = sent_at
                self._is_newest_usable = True
            if found is not None:
                self._apply(found, read_instant() - sent_at)
            elif self._current is None and self._is_newest_usable:
                version = None
                await asyncio.sleep(RETRY_SECONDS)

    def _report_invalid(self, error: InvalidSettings) -> None:
        if str(error) != self._last_invalid:
            self._last_invalid = str(error)
            in_force = self._current.version if self._current is not None else None
            log_warning_event(Event.CONFIG_INVALID, error=str(error), in_force=in_force)

    def _apply(self, found: PoolConfiguration, read_ms: int) -> None:
        if self._current is not None and found.version <= self._current.version:
            return
        found = carry_customers(self._current, found)
        self._current = found
        self._last_invalid = ""
        self._first_received.set()
        log_event(
            Event.CONFIG_IN_FORCE,
            version=found.version,
            queues=len(found.queues),
            customers=len(found.customers),
            read_ms=read_ms,
        )
        self._on_change(found)
