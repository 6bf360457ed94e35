"""Runs entry hosts as processes, each on its own loopback address."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from lentilpath_http import HttpClient, create_client
from lentilpathd._clock import MS_PER_SECOND
from lentilpathd._events import Event

ROOT = Path(__file__).parents[2]
CALLERS_PORT, READY_PORT, PEERS_PORT = 8161, 8167, 7720
GRACE_SECONDS = 6
EXIT_TIMEOUT_SECONDS = GRACE_SECONDS + 4.0
"""The platform kills the process after the grace period; the rest allows for a busy machine."""


@dataclass(frozen=True, slots=True)
class Leadership:
    """A leadership by the log of its host; times are in seconds of the wall clock."""

    host: str
    gained_at: float
    counted_until: float
    """Until when the host counted on its lease, as far as the log says."""


@dataclass
class HostProcess:
    """One entry host. Signals are sent to this process only, never to a group."""

    name: str
    address: str
    directory: Path
    settings: dict[str, object]
    peer_proxies: dict[str, str] = field(default_factory=dict)
    """Address of the proxy in front of each peer's; peers without one are dialled directly."""
    process: asyncio.subprocess.Process | None = None
    planned_stops: list[tuple[float, float]] = field(default_factory=list)
    """Start and end time of each planned stop."""
    problems: list[str] = field(default_factory=list)
    expects_exit: bool = False
    """Whether it is being stopped, or its exit has been handled; reset before a restart."""
    client: HttpClient = field(init=False)

    def __post_init__(self) -> None:
        self.client = create_client(self.address, CALLERS_PORT)

    async def start(self) -> None:
        """Start the process; its output is appended to `<name>.log` in the directory."""
        path = self.directory / f"{self.name}.yaml"
        path.write_text(json.dumps(self.settings))
        environment = {
            **os.environ,
            "LENTILPATH_NODE_FILE": str(path),
            "PYTHONPATH": os.pathsep.join(
                (str(ROOT / "platform"), str(ROOT), os.environ.get("PYTHONPATH", ""))
            ),
            "PEER_PROXIES": json.dumps(self.peer_proxies),
        }
        module = "tests.soak.proxied_host" if self.peer_proxies else "lentilpath_platform.main"
        with (self.directory / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                env=environment,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.is_running():
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.expects_exit = True
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def terminate(self) -> None:
        """Stop the process with SIGTERM, as the platform does, and record how it ended."""
        if self.process is None or not self.is_running() or self.expects_exit:
            return
        self.expects_exit = True
        started_at = time.monotonic()
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(EXIT_TIMEOUT_SECONDS):
                code = await self.process.wait()
        except TimeoutError:
            # The caller may have paused or killed the process meanwhile, and judges the problem by
            # its other faults.
            self.problems.append(
                f"{self.name} was still running {EXIT_TIMEOUT_SECONDS} s after SIGTERM"
            )
            await self.kill()
            return
        self.planned_stops.append((started_at, time.monotonic()))
        if code != 0:
            self.problems.append(f"{self.name} exited with code {code} after a planned stop")

    def check_running(self) -> None:
        """Record a problem if the process has exited unexpectedly."""
        if self.process is not None and not self.is_running() and not self.expects_exit:
            self.problems.append(
                f"{self.name} exited unexpectedly with code {self.process.returncode}"
            )
            self.expects_exit = True


def read_leaderships(hosts: list[HostProcess]) -> list[Leadership]:
    """Return the leaderships that the hosts' logs tell of."""
    found: list[Leadership] = []
    for host in hosts:
        gained_at: float | None = None
        for line in (host.directory / f"{host.name}.log").read_text().splitlines():
            with contextlib.suppress(ValueError, KeyError):
                fields = json.loads(line)
                if fields["event"] == Event.POOL_LEADERSHIP_GAINED.number:
                    gained_at = fields["at"]
                elif fields["event"] == Event.POOL_LEADERSHIP_LOST.number and gained_at is not None:
                    until = fields["at"] + fields["confirmed_ms"] / MS_PER_SECOND
                    found.append(Leadership(host.name, gained_at, until))
                    gained_at = None
        if gained_at is not None:
            # It leads still, or was killed: its log does not tell how long it counted on its lease.
            found.append(Leadership(host.name, gained_at, gained_at))
    return found


def check_hosts(hosts: list[HostProcess]) -> None:
    """Record a problem for each host that has exited by itself."""
    for host in hosts:
        host.check_running()


def make_settings(name: str, address: str, store_port: int, advice_port: int) -> dict[str, object]:
    """Return the content of a host's settings file in the platform's format."""
    return {
        "nodeName": name,
        "ip": address,
        "zone": "z1",
        "region": "r",
        "listenAddrs": {
            "frontend": f"{address}:{CALLERS_PORT}",
            "ready": f"{address}:{READY_PORT}",
        },
        "portRange": [PEERS_PORT, PEERS_PORT + 15],
        "platform": {"address": f"127.0.0.1:{store_port}"},
        "advice": f"127.0.0.1:{advice_port}",
        "bounds": {"graceS": GRACE_SECONDS, "holdMaxMs": 6_000, "status_s": 120},
    }


def choose_addresses(count: int, run: int) -> list[str]:
    """Return loopback addresses that differ from those of other runs on this machine."""
    number = os.getpid() * 31 + run
    return [
        f"127.{1 + number // 250 % 250}.{1 + number % 250}.{10 + each}" for each in range(count)
    ]
