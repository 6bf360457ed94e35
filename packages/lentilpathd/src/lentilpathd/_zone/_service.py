"""Runs a leadership term of the zone each time this process gains the authority."""

from __future__ import annotations

import asyncio
import contextlib
from functools import partial

from lentilpath_core.configuration import get_zone_quota
from lentilpath_core.errors import OutcomeUnknown, Unavailable
from lentilpath_core.ids import Instant
from lentilpath_core.peers import PeerRequest
from lentilpath_core.placement import PlacementState, QuotaSet
from lentilpath_core.zone.control import is_command_durable
from lentilpath_core.zone.journal import CommandAnswered
from lentilpath_core.zone.state import ZoneState
from lentilpathd._authority import NO_UNCONFIRMED_START, Authority, Leadership
from lentilpathd._cancellation import run_in_own_task
from lentilpathd._clock import read_instant
from lentilpathd._context import DaemonContext
from lentilpathd._events import Event, log_event, log_warning_event
from lentilpathd._operators import ConfigurationKeeper
from lentilpathd._zone._errors import Deposed, TermEnded
from lentilpathd._zone._leading import ZoneLeader
from lentilpathd._zone._recovery import check_epoch, recover_zone
from lentilpathd._zone._term import Term

AUTHORITY_POLL_SECONDS = 0.05
RETRY_SECONDS = 0.3
TOPIC_WAKE = "zone.wake"


class ZoneService:
    """Leads the availability zone while this process holds the authority."""

    def __init__(
        self, context: DaemonContext, leadership: Leadership, configuration: ConfigurationKeeper
    ) -> None:
        self._context = context
        self._configuration = configuration
        configuration.add_listener(self._update_quotas)
        self._leadership = leadership
        self._leader: ZoneLeader | None = None
        self._stopped = False
        context.bus.handle(TOPIC_WAKE, self._answer_wake)

    def get_state(self) -> ZoneState | None:
        """Return the zone's state if this process leads it and has rebuilt it, else `None`."""
        return self._leader.controller.zone if self._leader is not None else None

    def get_placement(self) -> PlacementState | None:
        """Return the zone's placement if this process leads it, else `None`."""
        return self._leader.controller.placement if self._leader is not None else None

    def get_answer(self, command: str) -> CommandAnswered | None:
        """Return the durable answer to a command, or `None` if there is none here yet."""
        if self._leader is None or not is_command_durable(self._leader.controller, command):
            return None
        return self._leader.controller.zone.answers[command]

    def wake(self) -> None:
        """Read the zone's inbox without waiting for the next poll."""
        if self._leader is not None:
            self._leader.wake()

    async def run(self) -> None:
        """Lead the zone whenever this process holds the authority, until cancelled."""
        while True:
            authority = self._leadership.get_authority()
            if authority is not None and authority.until > read_instant() and not self._stopped:
                await run_in_own_task(partial(self._lead, authority), "zone term")
            await asyncio.sleep(AUTHORITY_POLL_SECONDS)

    async def drain(self) -> Instant:
        """Make no more decisions and wait, a few seconds at most, until all of them are durable.

        Returns the latest time at which an unconfirmed start may take effect, or
        `NO_UNCONFIRMED_START`. The zone must not be released before that time.
        """
        self._stopped = True
        if self._leader is None:
            return NO_UNCONFIRMED_START
        # After a timeout the next leader learns unwritten events from the workers' reports, as
        # after a term that ended without a drain.
        with contextlib.suppress(TimeoutError):
            await self._leader.drain()
        return self._leader.get_commands_end()

    async def _lead(self, authority: Authority) -> None:
        zone = self._context.settings.zone
        epoch = authority.epoch
        started = read_instant()
        try:
            await check_epoch(self._context.table, zone, authority)
            recovered = await recover_zone(self._context.table, self._context.objects, zone)
        except (Unavailable, Deposed, OutcomeUnknown) as error:
            log_warning_event(Event.ZONE_RECOVERY_FAILED, zone=zone, error=str(error))
            await asyncio.sleep(RETRY_SECONDS)
            return
        term = Term(zone, epoch, authority.epoch_version, self._leadership)
        self._leader = ZoneLeader(self._context, term, recovered, self._list_quotas)
        log_event(
            Event.ZONE_RECOVERED,
            zone=zone,
            epoch=epoch,
            jobs=len(recovered.state.jobs),
            ms=read_instant() - started,
        )
        try:
            await self._leader.run()
        except* (TermEnded, Deposed) as ended:
            reasons = [str(error) for error in ended.exceptions]
            log_event(Event.ZONE_RELEASED, zone=zone, epoch=epoch, reasons=reasons)
        finally:
            self._leader = None

    def _list_quotas(self) -> tuple[QuotaSet, ...]:
        current = self._configuration.get_current()
        zone = self._context.settings.zone
        return tuple(
            QuotaSet(team, get_zone_quota(current, team, zone)) for team in sorted(current.teams)
        )

    def _update_quotas(self) -> None:
        if self._leader is not None:
            self._leader.update_quotas()

    async def _answer_wake(self, request: PeerRequest) -> None:
        self.wake()


def create_zone_service(
    context: DaemonContext, leadership: Leadership, configuration: ConfigurationKeeper
) -> ZoneService:
    """Return the service that leads the zone of `context` under the authority of `leadership`.

    `configuration` provides the teams' quotas; changes take effect at once.
    """
    return ZoneService(context, leadership, configuration)
