"""Measures the delay until an accepted configuration is in force on all hosts, as real processes.

Run by `make config-delay`. Prints the time from sending a change to its response, which says how
many hosts have it in force, and the time that a host needs that was paused or killed meanwhile.
"""

from __future__ import annotations

import json
import os
import platform
import signal
import statistics
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from lentilpath_core.settings import HostSettings
from lentilpath_standins._control import send_request
from lentilpath_standins.deployment import Deployment
from tests.common.cells import run_cell, wait_until

ZONES = 3
HOSTS_PER_ZONE = 3
CHANGES = 60
PAUSES = 5
PAUSE_SECONDS = 3.0
POLL_SECONDS = 0.01
WAIT_SECONDS = 30.0


def change_quota(host: HostSettings, cores: int) -> dict[str, Any]:
    """Apply one quota change through `host` and return the decoded response."""
    body = json.dumps({"command": f"set quota team packing cpu={cores}"}).encode()
    answer = send_request(host.operators, "POST", "/v1/commands", body, {}, timeout=20.0)
    assert answer.status == 200, answer.body
    value: dict[str, Any] = answer.parse_json()
    return value


def read_version(asked_host: HostSettings, named_host: str) -> int | None:
    """Return the version in force on `named_host`, as `asked_host` reports it."""
    rows = send_request(asked_host.operators, "GET", "/v1/config/status", b"", {}).parse_json()[
        "table"
    ]["rows"]
    version: int | None = next(row[2] for row in rows if row[0] == named_host)
    return version


def time_until(condition: Callable[[], bool]) -> float:
    """Poll `condition` and return the milliseconds until it holds.

    Raises `TimeoutError` after `WAIT_SECONDS`.
    """
    started = time.monotonic()
    while time.monotonic() < started + WAIT_SECONDS:
        if condition():
            return (time.monotonic() - started) * 1_000
        time.sleep(POLL_SECONDS)
    raise TimeoutError("not in force in time")


def print_spread(label: str, times: list[float]) -> None:
    """Print count, median, 99th percentile and maximum of `times` in ms."""
    ordered = sorted(times)
    p99 = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
    median = statistics.median(ordered)
    print(f"{label:52}{len(times):5}{median:10.0f}{p99:10.0f}{ordered[-1]:10.0f}")


def measure(deployment: Deployment) -> None:
    """Measure and print the delays of changes, and of hosts after a pause or a kill."""
    hosts = deployment.cell.entry_hosts
    wait_until(lambda: change_quota(hosts[0], 1), "the first change is accepted")
    time.sleep(PAUSE_SECONDS)
    print(f"{platform.machine()}, {os.cpu_count()} processors, load {os.getloadavg()[0]:.1f}")
    print(f"{len(hosts)} hosts in {ZONES} zones; times in ms")
    print(f"{'':52}{'count':>5}{'median':>10}{'p99':>10}{'max':>10}")
    times = []
    for number in range(CHANGES):
        started = time.monotonic()
        answer = change_quota(hosts[number % len(hosts)], number + 2)
        times.append((time.monotonic() - started) * 1_000)
        assert f"{len(hosts)} of {len(hosts)} hosts" in answer["message"], answer
    print_spread("sent, until in force on all hosts", times)
    paused = hosts[-1]
    times = []
    for number in range(PAUSES):
        deployment.send_signal(paused.host, signal.SIGSTOP)
        version = change_quota(hosts[0], 1_000 + number)["version"]
        time.sleep(PAUSE_SECONDS)
        deployment.send_signal(paused.host, signal.SIGCONT)
        times.append(time_until(lambda v=version: read_version(hosts[0], paused.host) == v))
    print_spread("a host wakes that was paused during the change", times)
    times = []
    for number in range(PAUSES):
        deployment.kill(paused.host)
        version = change_quota(hosts[0], 2_000 + number)["version"]
        deployment.start_entry_host(paused)
        times.append(time_until(lambda v=version: read_version(hosts[0], paused.host) == v))
    print_spread("a killed host is started, until it has the version", times)


def main() -> None:
    """Run the measurement on a new cell in a temporary directory."""
    with (
        tempfile.TemporaryDirectory(prefix="lentilpath-bench-") as directory,
        run_cell(Path(directory), zones=ZONES, entry_hosts=HOSTS_PER_ZONE, workers=1) as deployment,
    ):
        measure(deployment)


if __name__ == "__main__":
    main()
