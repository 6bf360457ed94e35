"""Runs the leadership drivers of a zone's hosts in one event loop.

The table is in memory; the peer connections are real.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any, cast

from lentilpath_core.ids import HostId, Incarnation, RegionId, ZoneId
from lentilpath_core.leadership import ZoneRow, decode_zone_row, get_zone_key
from lentilpath_core.settings import Address, HostSettings, LeadershipSettings, PeerSettings
from lentilpath_standins._free_ports import allocate_port
from lentilpathd._authority import Authority
from lentilpathd._clock import read_instant
from lentilpathd._context import DaemonContext
from lentilpathd._directory import Directory
from lentilpathd._leadership import create_leadership
from lentilpathd._peers import PeerBus
from lentilpathd._ports import HostList, ObjectStore

ZONE = ZoneId("z")
REGION = RegionId("r")
POLL_SECONDS = 0.005
WAIT_SECONDS = 15.0


class ZoneHost:
    """One entry host that runs only its peer bus and its leadership driver."""

    def __init__(self, settings: HostSettings, incarnation: str, table: Any) -> None:
        self.bus = PeerBus(settings.host, Incarnation(incarnation), settings.zone)
        directory = Directory(settings, self.bus, cast(HostList, None))
        context = DaemonContext(
            settings,
            Incarnation(incarnation),
            self.bus,
            table,
            cast(ObjectStore, None),
            directory,
        )
        self.settings = settings
        self.table = table
        self.leadership = create_leadership(context)
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        serve = asyncio.create_task(self.bus.serve(self.settings.peers))
        self._tasks = [serve, asyncio.create_task(self.leadership.run())]

    async def kill(self) -> None:
        for task in self._tasks:
            task.cancel()
        ends = await asyncio.gather(*self._tasks, return_exceptions=True)
        self.bus.close()
        failures = [end for end in ends if isinstance(end, Exception)]
        if failures:
            raise ExceptionGroup(f"parts of {self.settings.host} failed", failures)

    def has_authority(self) -> bool:
        authority = self.get_authority()
        return authority is not None and read_instant() < authority.until

    def expect_authority(self) -> Authority:
        authority = self.get_authority()
        assert authority is not None
        return authority

    def read_row(self) -> ZoneRow | None:
        value = self.table.get(get_zone_key(self.settings.zone)).value
        return decode_zone_row(value)

    def get_authority(self) -> Authority | None:
        return self.leadership.get_authority()


def create_zone(count: int, table: Any, leadership: LeadershipSettings) -> list[ZoneHost]:
    peers = tuple(
        PeerSettings(HostId(f"h{i}"), REGION, ZONE, Address("127.0.0.1", allocate_port()))
        for i in range(count)
    )
    unused = Address("127.0.0.1", 1)
    return [
        ZoneHost(
            HostSettings(
                host=peer.host,
                region=REGION,
                zone=ZONE,
                callers=unused,
                operators=unused,
                peers=peer.address,
                platform=unused,
                entry_hosts=tuple(other for other in peers if other != peer),
                leadership=leadership,
            ),
            f"{peer.host}#1",
            table,
        )
        for peer in peers
    ]


def restart_host(host: ZoneHost, table: Any) -> ZoneHost:
    number = int(host.bus.incarnation.rpartition("#")[2]) + 1
    return ZoneHost(host.settings, f"{host.settings.host}#{number}", table)


@asynccontextmanager
async def run_zone(hosts: list[ZoneHost]) -> AsyncIterator[list[ZoneHost]]:
    for host in hosts:
        host.start()
    try:
        yield hosts
    finally:
        for host in hosts:
            await host.kill()


async def wait_for(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(POLL_SECONDS)


async def wait_for_leader(hosts: list[ZoneHost]) -> ZoneHost:
    await wait_for(lambda: any(host.has_authority() for host in hosts))
    (leader,) = [host for host in hosts if host.has_authority()]
    return leader
