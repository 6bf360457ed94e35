"""Entry hosts as processes, each on a loopback address of its own."""

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

ROOT = Path(__file__).parents[2]
CALLERS_PORT, READY_PORT, PEERS_PORT = 8161, 8167, 7720
GRACE_SECONDS = 6
EXIT_LIMIT_SECONDS = GRACE_SECONDS + 4.0
"""The platform would kill the process after the grace; the rest is for a busy machine."""


@dataclass
class HostProcess:
    """One entry host. Only this process is ever signalled."""

    name: str
    address: str
    directory: Path
    settings: dict[str, object]
    process: asyncio.subprocess.Process | None = None
    stopped_at: list[tuple[float, float]] = field(default_factory=list)
    """From when to when planned stops took."""
    problems: list[str] = field(default_factory=list)
    is_ending: bool = False
    client: HttpClient = field(init=False)

    def __post_init__(self) -> None:
        self.client = create_client(self.address, CALLERS_PORT)

    async def start(self) -> None:
        """Start the process; its log goes to a file of the host's name."""
        path = self.directory / f"{self.name}.yaml"
        path.write_text(json.dumps(self.settings))
        environment = {
            **os.environ,
            "LENTILPATH_NODE_FILE": str(path),
            "PYTHONPATH": str(ROOT / "platform"),
        }
        with (self.directory / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lentilpath_platform.main",
                env=environment,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def is_running(self) -> bool:
        """Return whether the process lives."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it lives."""
        if self.process is not None and self.is_running():
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.is_ending = True
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def terminate(self) -> None:
        """Stop the process as the platform does, and note whether it stopped as planned."""
        if self.process is None or not self.is_running() or self.is_ending:
            return
        self.is_ending = True
        begun = time.monotonic()
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(EXIT_LIMIT_SECONDS):
                code = await self.process.wait()
        except TimeoutError:
            # The caller may have paused or killed it meanwhile, and judges by what else it did.
            self.problems.append(f"{self.name} had not ended {EXIT_LIMIT_SECONDS} s after SIGTERM")
            await self.kill()
            return
        self.stopped_at.append((begun, time.monotonic()))
        if code != 0:
            self.problems.append(f"{self.name} ended a planned stop with exit code {code}")

    def check_alive(self) -> None:
        """Note an end that nobody asked for."""
        if self.process is not None and not self.is_running() and not self.is_ending:
            self.problems.append(f"{self.name} ended by itself with {self.process.returncode}")
            self.is_ending = True


def make_settings(name: str, address: str, store_port: int, advice_port: int) -> dict[str, object]:
    """Return the settings file of a host, as the platform writes it."""
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
    """Return loopback addresses that no other run on this machine uses."""
    number = os.getpid() * 31 + run
    return [
        f"127.{1 + number // 250 % 250}.{1 + number % 250}.{10 + each}" for each in range(count)
    ]
