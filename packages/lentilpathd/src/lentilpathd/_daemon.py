"""Creates the parts of an entry host, runs them under supervision and stops them in order."""

from __future__ import annotations

import asyncio
import contextlib
import faulthandler
import signal
import uuid

from lentilpath_core.configuration import make_request_policy
from lentilpath_core.ids import CustomerId, Incarnation, ServiceId
from lentilpath_core.requests.policy import RequestPolicy
from lentilpath_core.settings import HostSettings
from lentilpathd._adapters.platform import create_platform
from lentilpathd._context import DaemonContext
from lentilpathd._directory import Directory
from lentilpathd._events import Event, log_event, log_warning_event
from lentilpathd._leadership import create_leadership
from lentilpathd._operators import (
    create_burn_recorder,
    create_configuration_keeper,
    create_operators,
)
from lentilpathd._peers import PeerBus
from lentilpathd._requests import create_requests
from lentilpathd._supervisor import Part, supervise_parts
from lentilpathd._zone import create_zone_service

INCARNATION_DIGITS = 8
RELEASE_TIMEOUT_SECONDS = 2.0
STOP_MARGIN_SECONDS = 8.0
"""How long a planned stop may take in addition to `drain_seconds`, the time for requests."""


async def run_daemon(settings: HostSettings) -> bool:
    """Run an entry host until SIGTERM or SIGINT; return whether it stopped as planned.

    A stop is planned if a signal requested it and no part was given up.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    daemon = Daemon(settings)
    log_event(
        Event.PROCESS_STARTED,
        host=settings.host,
        zone=settings.zone,
        run=daemon.context.incarnation,
    )
    running = asyncio.create_task(daemon.run())
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait((running, stopping), return_when=asyncio.FIRST_COMPLETED)
    planned = stop.is_set()
    if planned:
        # A planned stop that hangs is ended with a traceback of all threads. By then the load
        # balancer has removed the host, and the next process needs the address.
        limit_seconds = settings.drain_seconds + STOP_MARGIN_SECONDS
        faulthandler.dump_traceback_later(limit_seconds, exit=True)
        await daemon.drain()
    running.cancel()
    stopping.cancel()
    await asyncio.wait((running,))
    if not running.cancelled() and running.exception() is not None:
        log_warning_event(Event.PART_GIVEN_UP, error=repr(running.exception()))
        planned = False
    log_event(Event.PROCESS_STOPPED, host=settings.host, planned=planned)
    return planned


class Daemon:
    """All parts of one entry host."""

    def __init__(self, settings: HostSettings) -> None:
        incarnation = Incarnation(f"{settings.host}.{uuid.uuid4().hex[:INCARNATION_DIGITS]}")
        platform = create_platform(settings.platform, settings.zone)
        self.bus = PeerBus(settings.host, incarnation, settings.zone)
        self.directory = Directory(settings, self.bus, platform)
        self.context = DaemonContext(
            settings, incarnation, self.bus, platform, platform, self.directory
        )
        self.platform = platform
        self.leadership = create_leadership(self.context)
        self.configuration = create_configuration_keeper(self.context)
        self.zone = create_zone_service(self.context, self.leadership, self.configuration)
        self.burn = create_burn_recorder(self.context, self.configuration)
        self.requests = create_requests(
            self.context,
            self.leadership,
            find_policy=self._find_request_policy,
            observe=self.burn.record_request,
        )
        self.operators = create_operators(
            self.context, self.leadership, self.zone, self.configuration, self.burn
        )

    def _find_request_policy(
        self, service: ServiceId, customer: CustomerId | None
    ) -> RequestPolicy:
        return make_request_policy(self.configuration.get_current(), service, customer)

    async def run(self) -> None:
        """Run all parts until cancelled; raises `PartGivenUp` in an exception group."""
        try:
            await supervise_parts(
                (
                    Part("peers", lambda: self.bus.serve(self.context.settings.peers)),
                    Part("directory", self.directory.run),
                    Part("leadership", self.leadership.run),
                    Part("zone", self.zone.run),
                    Part("requests", self.requests.run),
                    Part("operators", self.operators.run),
                )
            )
        finally:
            self.bus.close()
            self.platform.close()

    async def drain(self) -> None:
        """Finish all work in progress: callers' requests first, the zone's leadership last."""
        log_event(Event.PROCESS_DRAINING, host=self.context.settings.host)
        await self.requests.drain(self.context.settings.drain_seconds)
        await self.operators.drain()
        commands_end = await self.zone.drain()
        # Without the table the leadership cannot be released; another host takes over when the
        # lease expires.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RELEASE_TIMEOUT_SECONDS):
                await self.leadership.release(commands_end)
