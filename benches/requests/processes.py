"""Starts and stops the benchmark's processes and reads their counters."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from lentilpath_http import HttpRequest, create_client

FOLDER = Path(__file__).parent
LOOPBACK = "127.0.0.1"
FIRST_PORT = 23_100
RUNNERS = 24
RUN_MS = 1_000.0
ZONES = ("portland-dock", "holyoke-mill", "pawtucket-yard")
ENTRY_HOSTS_BY_ZONE = (3, 2, 2)
PROCESS_TIMEOUT_SECONDS = 20.0
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


@dataclass(slots=True)
class Entry:
    """One entry host and its process."""

    name: str
    zone: str
    number: int
    start_count: int = 0
    process: Any = None
    accepts_callers: bool = True

    @property
    def callers_port(self) -> int:
        """Port on which the entry host serves callers."""
        return FIRST_PORT + 100 + self.number

    @property
    def peers_port(self) -> int:
        """Port on which the entry host serves its peers."""
        return FIRST_PORT + 120 + self.number

    @property
    def control_port(self) -> int:
        """Port of the benchmark's control endpoint in the entry host."""
        return FIRST_PORT + 140 + self.number


@dataclass(slots=True)
class BenchCell:
    """All processes that measure one subject: entry hosts, runners and platform."""

    subject: str
    entries: list[Entry] = field(default_factory=list)
    runners_process: Any = None
    stopped_cpu_seconds: float = 0.0
    platform_port: int = FIRST_PORT + 50
    control_port: int = FIRST_PORT + 51

    async def start(self) -> None:
        """Start all processes and wait until they are ready."""
        plan = {
            "zones": ZONES,
            "runner_ports": [FIRST_PORT + i for i in range(RUNNERS)],
            "run_ms": RUN_MS,
            "platform_port": self.platform_port,
            "control_port": self.control_port,
        }
        self.runners_process = await start_process("cell.py", json.dumps(plan))
        for zone, count in zip(ZONES, ENTRY_HOSTS_BY_ZONE, strict=True):
            for _ in range(count):
                number = len(self.entries)
                self.entries.append(Entry(f"entry-{number}", zone, number))
        for entry in self.entries:
            await self.start_entry(entry)
        # Waits out the quarantine of new processes and the first read of the host list.
        await asyncio.sleep(3.0)

    async def start_entry(self, entry: Entry) -> None:
        """Start one entry host."""
        entry.start_count += 1
        settings = self._make_settings(entry)
        entry.process = await start_process(
            "entry.py", self.subject, settings, str(entry.control_port), str(entry.start_count)
        )

    async def stop_entry(self, entry: Entry) -> None:
        """Stop one entry host with SIGTERM and wait until it exits."""
        self.stopped_cpu_seconds += read_cpu_seconds(entry.process.pid)
        entry.process.send_signal(signal.SIGTERM)
        await wait_for_exit(entry.process)

    async def close(self) -> None:
        """Stop all processes."""
        self.entries = [entry for entry in self.entries if entry.process is not None]
        for entry in self.entries:
            entry.process.terminate()
        await asyncio.gather(*(wait_for_exit(entry.process) for entry in self.entries))
        self.runners_process.terminate()
        await self.runners_process.wait()

    def read_entry_cpu(self) -> float:
        """Return the processor seconds of all entry hosts so far."""
        running = sum(read_cpu_seconds(entry.process.pid) for entry in self.entries)
        return self.stopped_cpu_seconds + running

    async def read_bytes(self) -> dict[str, int]:
        """Return the bytes by kind of link, summed over the entry hosts."""
        totals: dict[str, int] = {}
        for entry in self.entries:
            for name, amount in (await ask(entry.control_port, "/counters", {})).items():
                totals[name] = totals.get(name, 0) + amount
        return totals

    async def control(self, target: str, message: dict[str, Any]) -> Any:
        """Send a control request to the process of the runners and the platform."""
        return await ask(self.control_port, target, message)

    async def set_leaving(self, names: set[str]) -> None:
        """Make the platform list exactly these runners as leaving, after its list lag."""
        client = create_client(LOOPBACK, self.platform_port)
        listed = (await client.send(HttpRequest("GET", "/hosts"), 5.0)).parse_json()["hosts"]
        for host in listed:
            host["leaving"] = host["name"] in names
        body = json.dumps({"hosts": listed}).encode()
        await client.send(HttpRequest("POST", "/hosts", body=body), 5.0)
        client.close()

    async def cut_zone(self, zone: str, active: bool) -> None:
        """Start or end a simulated partition of `zone` in every entry host."""
        for entry in self.entries:
            await ask(entry.control_port, "/cut", {"active": active, "zone": zone})

    def _make_settings(self, entry: Entry) -> str:
        def address(port: int) -> dict[str, Any]:
            return {"host": LOOPBACK, "port": port}

        peers = [
            {
                "host": other.name,
                "region": f"region-{other.zone}",
                "zone": other.zone,
                "address": address(other.peers_port),
            }
            for other in self.entries
            if other is not entry
        ]
        settings = {
            "host": entry.name,
            "region": f"region-{entry.zone}",
            "zone": entry.zone,
            "callers": address(entry.callers_port),
            "operators": address(1),
            "peers": address(entry.peers_port),
            "platform": address(self.platform_port),
            "entry_hosts": peers,
        }
        return json.dumps(settings)


async def start_process(script: str, *arguments: str) -> Any:
    """Start one of the benchmark's scripts and wait until it prints that it is ready."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(FOLDER / script),
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )
    assert process.stdout is not None
    async with asyncio.timeout(PROCESS_TIMEOUT_SECONDS):
        line = await process.stdout.readline()
    if line.strip() != b"ready":
        raise RuntimeError(f"{script} did not start")
    return process


async def wait_for_exit(process: Any) -> None:
    """Wait until a terminated process exits; kill it after `PROCESS_TIMEOUT_SECONDS`."""
    try:
        async with asyncio.timeout(PROCESS_TIMEOUT_SECONDS):
            await process.wait()
    except TimeoutError:
        print(f"process {process.pid} did not exit after SIGTERM; killing it", flush=True)
        process.kill()


async def ask(port: int, target: str, message: dict[str, Any]) -> Any:
    """Send one control request and return the decoded JSON response."""
    client = create_client(LOOPBACK, port, max_response_bytes=1 << 28)
    body = json.dumps(message).encode()
    response = await client.send(HttpRequest("POST", target, body=body), 30.0)
    client.close()
    return response.parse_json()


def read_cpu_seconds(pid: int) -> float:
    """Return the processor seconds that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
