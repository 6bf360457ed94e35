"""The supervised part that serves operators."""

from __future__ import annotations

import asyncio

from lentilpath_core.configuration import find_price_rule
from lentilpath_http import HttpServer, serve_http
from lentilpathd._authority import Leadership
from lentilpathd._cancellation import start_member
from lentilpathd._context import DaemonContext
from lentilpathd._operators._accountant import Accountant
from lentilpathd._operators._accounts import SealedUsageReader
from lentilpathd._operators._api import Api
from lentilpathd._operators._audit import AuditTrail
from lentilpathd._operators._burn import BurnRecorder, create_burn_recorder
from lentilpathd._operators._changes import Changes
from lentilpathd._operators._config_api import ConfigApi
from lentilpathd._operators._config_store import ConfigStore
from lentilpathd._operators._configuration import ConfigurationKeeper, create_configuration_keeper
from lentilpathd._operators._placing import ZoneChooser
from lentilpathd._operators._reads import ReadServices
from lentilpathd._operators._zone import ZoneAccess
from lentilpathd._operators._zones import ZoneQueryService
from lentilpathd._tls import create_server_tls


class Operators:
    """Serves the administration API and runs the background tasks behind it."""

    def __init__(
        self,
        context: DaemonContext,
        api: Api,
        trail: AuditTrail,
        accountant: Accountant,
        configuration: ConfigurationKeeper,
        burn: BurnRecorder,
    ) -> None:
        self._context = context
        self.trail = trail
        self.accountant = accountant
        self.configuration = configuration
        self.burn = burn
        self.api = api
        self._server: HttpServer | None = None

    def get_port(self) -> int:
        """Return the port that the API listens on; `run` must have started the server."""
        assert self._server is not None
        return self._server.get_port()

    async def run(self) -> None:
        """Serve until cancelled."""
        address = self._context.settings.operators
        tls = create_server_tls(self._context.settings.tls)
        self._server = await serve_http(self.api.handle, address.host, address.port, tls=tls)
        try:
            async with asyncio.TaskGroup() as group:
                start_member(group, self.trail.run, "audit trail")
                start_member(group, self.accountant.run, "usage")
                start_member(group, self.configuration.run, "configuration")
                start_member(group, self.burn.run, "burn")
        finally:
            await self._server.close(0)

    async def drain(self) -> None:
        """Stop accepting connections, finish requests in progress and flush buffered records."""
        if self._server is not None:
            await self._server.close(self._context.settings.drain_seconds)
        await self.trail.flush()
        await self.burn.flush()


def create_operators(
    context: DaemonContext,
    leadership: Leadership,
    zone: ZoneAccess | None,
    configuration: ConfigurationKeeper | None = None,
    burn: BurnRecorder | None = None,
) -> Operators:
    """Return the operators' part; `zone` is the zone's driver in this process, if there is one.

    `configuration` and `burn` may be shared with other parts of the process; this part runs them.
    """
    keeper = configuration or create_configuration_keeper(context)
    recorder = burn or create_burn_recorder(context, keeper)
    accountant = Accountant(
        context, zone, lambda customer: find_price_rule(keeper.get_current(), customer), recorder
    )
    zones = ZoneQueryService(context, leadership, zone, accountant)
    trail = AuditTrail(context, leadership, zones)
    reads = ReadServices(context, leadership, zones, trail, SealedUsageReader(context), keeper)
    config = ConfigApi(ConfigStore(context, keeper))
    api = Api(reads, Changes(context, zones, ZoneChooser(context, zones)), config, recorder)
    return Operators(context, api, trail, accountant, keeper, recorder)
