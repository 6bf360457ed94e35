"""One entry host of the benchmark as a process: lentilpath's request path or a baseline."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from typing import Any

from baselines import serve_baseline

import lentilpathd._requests.runner as runner_module
from lentilpath_core.errors import PeerUnavailable
from lentilpath_core.ids import HostId, Incarnation, Instant
from lentilpath_core.settings import HostSettings, parse_settings
from lentilpath_http import HttpRequest, HttpResponse, json_response, serve_http
from lentilpathd._adapters.platform import create_platform
from lentilpathd._adapters.upstream import RunnerRefused, connect_runner
from lentilpathd._authority import Authority
from lentilpathd._context import DaemonContext
from lentilpathd._directory import Directory
from lentilpathd._peers import PeerBus
from lentilpathd._requests import create_requests

DRAIN_TIMEOUT_SECONDS = 10.0


class NoLeadership:
    """Leadership without a leader; the benchmark places no tasks."""

    def get_authority(self) -> Authority | None:
        """Return `None`, since this host never leads."""
        return None

    def get_leader(self, zone: str) -> HostId | None:
        """Return a host that does not exist, since no zone has a leader."""
        return HostId("nobody")

    async def run(self) -> None:
        """Wait until cancelled."""
        await asyncio.Event().wait()

    async def release(self, commands_end: Instant | None = None) -> None:
        """Do nothing, since this host never leads."""
        return


class Partition:
    """Simulates a network partition between one zone and all others.

    Replaces the functions that send to peers and connect to runners.
    """

    def __init__(self, settings: HostSettings, bus: PeerBus, directory: Directory) -> None:
        self._zone = settings.zone
        self._bus = bus
        self._directory = directory
        self._zones = {peer.host: peer.zone for peer in settings.entry_hosts}
        self._ask = bus.ask
        self._connect = connect_runner
        self.active = False
        bus.ask = self._ask_if_reachable
        setattr(runner_module, "connect_runner", self._connect_if_reachable)  # noqa: B010

    def switch(self, active: bool, cut_zone: str) -> None:
        """Start or end the partition of `cut_zone` from the other zones."""
        self.active = active
        self._cut_zone = cut_zone

    def is_cut(self, zone: str | None) -> bool:
        """Return whether the partition separates `zone` from this host's zone."""
        return self.active and (self._zone == self._cut_zone) != (zone == self._cut_zone)

    async def _ask_if_reachable(self, host: Any, topic: str, *rest: Any) -> Any:
        if self.is_cut(self._zones.get(host)):
            await asyncio.sleep(rest[-1])
            raise PeerUnavailable(f"{host} is cut off")
        return await self._ask(host, topic, *rest)

    async def _connect_if_reachable(self, address: Any, timeout: float, now: Any) -> Any:
        zone = next((h.zone for h in self._directory.list_hosts() if h.address == address), None)
        if self.is_cut(zone):
            await asyncio.sleep(timeout)
            raise RunnerRefused("cut off", reached=False)
        return await self._connect(address, timeout, now)


def drop_severed_connections(requests: Any, partition: Partition) -> None:
    """Close the connections to runners on the other side of the partition."""
    for runner in requests.registry.list_runners():
        if partition.is_cut(runner.zone):
            runner.close()


async def run_entry(subject: str, settings: HostSettings, control_port: int, boot: str) -> None:
    """Serve callers until SIGTERM, then drain."""
    platform = create_platform(settings.platform)
    bus = PeerBus(settings.host, Incarnation(f"{settings.host}-{boot}"), settings.zone)
    directory = Directory(settings, bus, platform)
    partition = Partition(settings, bus, directory)
    background_tasks = [asyncio.create_task(directory.run())]
    counters: dict[str, Any] = {}
    requests: Any = None
    if subject == "lentilpath":
        context = DaemonContext(settings, bus.incarnation, bus, platform, platform, directory)
        requests = create_requests(context, NoLeadership())
        background_tasks += [
            asyncio.create_task(requests.run()),
            asyncio.create_task(bus.serve(settings.peers)),
        ]
    else:
        server, baseline = await serve_baseline(
            subject, directory, settings.region, settings.callers
        )

    async def handle_control(request: HttpRequest) -> HttpResponse:
        if request.target == "/cut":
            message = json.loads(request.body)
            partition.switch(message["active"], message["zone"])
            if requests is not None:
                drop_severed_connections(requests, partition)
            return json_response(200, {})
        if requests is None:
            counters.update(here=baseline.bytes_here, far=baseline.bytes_far, peers=0)
        else:
            totals = [0, 0, 0]
            for service in requests.registry.services.values():
                for distance, amount in service.bytes_by_distance.items():
                    totals[distance] += amount
            counters.update(here=totals[0], far=totals[2], peers=bus.bytes_sent)
        return json_response(200, counters)

    await serve_http(handle_control, "127.0.0.1", control_port)
    terminated = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, terminated.set)
    print("ready", flush=True)
    await terminated.wait()
    if requests is not None:
        await requests.drain(DRAIN_TIMEOUT_SECONDS)
    else:
        await server.close(DRAIN_TIMEOUT_SECONDS)
    for task in background_tasks:
        task.cancel()
    await asyncio.gather(*background_tasks, return_exceptions=True)


if __name__ == "__main__":
    asyncio.run(
        run_entry(sys.argv[1], parse_settings(sys.argv[2], "bench"), int(sys.argv[3]), sys.argv[4])
    )
