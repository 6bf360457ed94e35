"""A small cell for tests of the request path: runners, a host list, a table and entry hosts."""

import asyncio
import json
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from typing import Any

from lentilpath_core.ids import (
    Epoch,
    HostId,
    Incarnation,
    Instant,
    RackId,
    RegionId,
    ServiceId,
    ZoneId,
)
from lentilpath_core.requests.policy import RequestPolicy
from lentilpath_core.settings import Address, HostSettings, PeerSettings
from lentilpath_http import HttpRequest, create_client
from lentilpath_standins._free_ports import allocate_port
from lentilpath_standins.runner import RunnerState, start_runner
from lentilpathd._authority import Authority
from lentilpathd._context import DaemonContext
from lentilpathd._peers import PeerBus
from lentilpathd._ports import HostKind, ListedHost
from lentilpathd._requests import create_requests
from tests.common.platform import MemoryTable

SERVICE = ServiceId("boxplanner")
LOOPBACK = "127.0.0.1"
TEST_POLICY = RequestPolicy(restart_quarantine_ms=0)


class FixedDirectory:
    """A directory whose host list changes only when the test calls `change`."""

    def __init__(self, settings):
        self._settings = settings
        self.hosts = ()
        self.watchers = []

    def add_listener(self, callback):
        self.watchers.append(callback)

    def list_hosts(self):
        return self.hosts

    def list_entry_hosts(self, zone=None):
        return tuple(p for p in self._settings.entry_hosts if zone is None or p.zone == zone)

    def list_zones(self):
        return tuple(sorted({self._settings.zone, *(p.zone for p in self._settings.entry_hosts)}))

    def change(self, hosts):
        self.hosts = tuple(hosts)
        for callback in self.watchers:
            callback()


class FixedLeadership:
    """Reports its own host as the leader, or no leader, as the test chooses."""

    def __init__(self, leads=True):
        self.leads = leads

    def get_authority(self):
        return Authority(Epoch(1), Instant(2**60), True) if self.leads else None

    def get_leader(self, zone):
        return None


@dataclass
class Cell:
    """Runners and entry hosts in one event loop."""

    runners: dict[str, RunnerState] = field(default_factory=dict)
    listed: dict[str, ListedHost] = field(default_factory=dict)
    servers: list[Any] = field(default_factory=list)
    hosts: dict[str, Any] = field(default_factory=dict)
    directories: dict[str, Any] = field(default_factory=dict)
    buses: dict[str, Any] = field(default_factory=dict)
    tasks: dict[str, Any] = field(default_factory=dict)
    table: MemoryTable = field(default_factory=MemoryTable)

    async def add_runner(self, name, zone="a", region="r", slots=8, service_ms=5.0):
        state = RunnerState(name, SERVICE, slots, slots * 8, service_ms)
        server = await start_runner(state, LOOPBACK, 0)
        address = Address(LOOPBACK, server.sockets[0].getsockname()[1])
        self.servers.append(server)
        self.runners[name] = state
        self.listed[name] = ListedHost(
            name,
            HostKind.UPSTREAM,
            RegionId(region),
            ZoneId(zone),
            RackId(""),
            address,
            False,
            SERVICE,
            slots,
            slots * 8,
        )
        self.publish()
        return state

    async def stop_runner(self, name):
        """Stop listening, abort the runner's connections and wait until no host has an idle one."""
        state = self.runners[name]
        self.servers[list(self.runners).index(name)].close()
        state.down = True
        for connection in tuple(state.open_connections):
            connection.abort()
        await wait_until(lambda: not state.open_connections and not self.count_idle_connections())

    async def restart_runner(self, name):
        """Make the runner listen again on its previous port."""
        state = self.runners[name]
        state.down = False
        port = self.listed[name].address.port
        server = await start_runner(state, LOOPBACK, port)
        self.servers[list(self.runners).index(name)] = server

    def count_idle_connections(self):
        return sum(
            len(runner.idle)
            for host in self.hosts.values()
            for runner in host.registry.list_runners()
        )

    def publish(self):
        for directory in self.directories.values():
            directory.change(self.listed.values())

    async def add_hosts(self, places, policy=TEST_POLICY):
        """Start the entry hosts in `places`, a map of name to zone or (zone, region)."""
        peers = []
        for name, place in places.items():
            zone, region = place if isinstance(place, tuple) else (place, "r")
            address = Address(LOOPBACK, allocate_port())
            peers.append(PeerSettings(HostId(name), RegionId(region), ZoneId(zone), address))
        for peer in peers:
            await self.start_host(peer, tuple(peers), policy)

    async def start_host(self, peer, peers, policy=TEST_POLICY, incarnation="1"):
        nowhere = Address(LOOPBACK, 0)
        others = tuple(other for other in peers if other.host != peer.host)
        settings = HostSettings(
            peer.host, peer.region, peer.zone, nowhere, nowhere, peer.address, nowhere, others
        )
        bus = PeerBus(peer.host, Incarnation(f"{peer.host}-{incarnation}"), peer.zone)
        bus.set_peers(others)
        directory: Any = FixedDirectory(settings)
        nothing: Any = None
        leadership: Any = FixedLeadership()
        directory.hosts = tuple(self.listed.values())
        context = DaemonContext(settings, bus.incarnation, bus, self.table, nothing, directory)
        part = create_requests(context, leadership, policy)
        self.hosts[peer.host] = part
        self.directories[peer.host] = directory
        self.buses[peer.host] = bus
        self.tasks[peer.host] = [
            asyncio.create_task(part.run()),
            asyncio.create_task(bus.serve(peer.address)),
        ]
        await wait_until(part.is_listening)
        return part

    async def kill_host(self, name):
        for task in self.tasks.pop(name):
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task
        self.buses.pop(name).close()
        del self.hosts[name], self.directories[name]

    async def call(self, host, target="/x", method="POST", body=b"", timeout=20.0, **headers):
        """Send one request through `host`; in header names, underscores stand for hyphens."""
        port = self.hosts[host].get_port()
        client = create_client(LOOPBACK, port)
        lines = {"x-customer": "harbor", **{k.replace("_", "-"): v for k, v in headers.items()}}
        path = target if target.startswith("/deferred/") else f"/services/{SERVICE}{target}"
        request = HttpRequest(method, path, tuple(lines.items()), body)
        try:
            return await client.send(request, timeout)
        finally:
            client.close()

    def list_runs(self):
        return [run for runner in self.runners.values() for run in runner.request_log]

    def count_excess(self):
        return sum(r.slot_excess + r.connection_excess for r in self.runners.values())

    async def close(self):
        for name in tuple(self.hosts):
            await self.kill_host(name)
        for server in self.servers:
            server.close()
        for runner in self.runners.values():
            for connection in tuple(runner.open_connections):
                connection.abort()


@asynccontextmanager
async def open_cell(runners=1, hosts=None, policy=TEST_POLICY, **options):
    """Yield a cell with `runners` in zone a and the entry hosts in `hosts`."""
    cell = Cell()
    try:
        for number in range(runners):
            await cell.add_runner(f"runner-{number}", **options)
        await cell.add_hosts(hosts or {"host-1": "a"}, policy)
        yield cell
    finally:
        await cell.close()


async def wait_until(condition, seconds=20.0):
    async with asyncio.timeout(seconds):
        while True:
            if condition():
                return
            await asyncio.sleep(0.005)


def read_failure(response):
    body = json.loads(response.body)
    return body["error"], body["outcome"]
