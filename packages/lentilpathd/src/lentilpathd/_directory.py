"""Keeps the platform's host list in memory, also while the platform is unavailable."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from lentilpath_core.errors import LentilpathError, Unavailable
from lentilpath_core.ids import HostId, ServiceId, ZoneId
from lentilpath_core.peers import PeerRequest
from lentilpath_core.settings import HostSettings, PeerSettings
from lentilpathd._events import Event, log_warning_event
from lentilpathd._peers import PeerBus
from lentilpathd._ports import HostKind, HostList, ListedHost

REFRESH_INTERVAL_SECONDS = 1.0
LIST_TIMEOUT_SECONDS = 1.0
PEER_TIMEOUT_SECONDS = 1.0
TOPIC = "directory.list"


class HostsAnswer(msgspec.Struct, frozen=True):
    """The hosts that a peer knows."""

    hosts: tuple[ListedHost, ...]


class Directory:
    """The hosts of the cell as last listed by the platform. Reads never block."""

    def __init__(self, settings: HostSettings, bus: PeerBus, host_list: HostList) -> None:
        self._settings = settings
        self._bus = bus
        self._host_list = host_list
        self._hosts: tuple[ListedHost, ...] = ()
        self._listeners: list[Callable[[], None]] = []
        bus.set_peers(settings.entry_hosts)
        bus.handle(TOPIC, self._answer_peer)

    def add_listener(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change of the list."""
        self._listeners.append(callback)

    def list_hosts(self) -> tuple[ListedHost, ...]:
        """Return all known hosts."""
        return self._hosts

    def list_workers(self, zone: ZoneId) -> tuple[ListedHost, ...]:
        """Return the workers of `zone`."""
        return tuple(
            host for host in self._hosts if host.kind is HostKind.WORKER and host.zone == zone
        )

    def list_upstreams(self, service: ServiceId) -> tuple[ListedHost, ...]:
        """Return the upstreams of `service` in all zones."""
        return tuple(
            host
            for host in self._hosts
            if host.kind is HostKind.UPSTREAM and host.service == service
        )

    def list_entry_hosts(self, zone: ZoneId | None = None) -> tuple[PeerSettings, ...]:
        """Return the other entry hosts, of all zones or of one."""
        return tuple(
            peer for peer in self._settings.entry_hosts if zone is None or peer.zone == zone
        )

    def list_zones(self) -> tuple[ZoneId, ...]:
        """Return the zones that have entry hosts, sorted."""
        zones = {peer.zone for peer in self._settings.entry_hosts}
        zones.add(self._settings.zone)
        return tuple(sorted(zones))

    async def run(self) -> None:
        """Refresh the list until cancelled."""
        while True:
            await self._refresh()
            await asyncio.sleep(REFRESH_INTERVAL_SECONDS)

    async def _refresh(self) -> None:
        try:
            hosts = await self._host_list.list_hosts(LIST_TIMEOUT_SECONDS)
        except Unavailable as error:
            log_warning_event(Event.HOST_LIST_UNAVAILABLE, error=str(error))
            if self._hosts:
                return
            hosts = await self._fetch_from_zone_peers()
        if hosts and hosts != self._hosts:
            self._hosts = hosts
            for callback in self._listeners:
                callback()

    async def _fetch_from_zone_peers(self) -> tuple[ListedHost, ...]:
        # A host that starts while the platform is unavailable would know no worker and no
        # upstream. It uses the list of any peer of its zone, which may be out of date.
        for peer in self.list_entry_hosts(self._settings.zone):
            try:
                answer = await self._bus.ask(
                    HostId(peer.host), TOPIC, None, HostsAnswer, PEER_TIMEOUT_SECONDS
                )
            except LentilpathError:
                continue
            if answer.hosts:
                return answer.hosts
        return ()

    async def _answer_peer(self, request: PeerRequest) -> HostsAnswer:
        return HostsAnswer(self._hosts)
