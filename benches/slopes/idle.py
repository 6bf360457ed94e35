"""Measures processor time and memory of an idle zone's daemons, as separate processes."""

from __future__ import annotations

import os
import tempfile
import time
from pathlib import Path

from benches.slopes.figures import fit_slope
from lentilpath_standins._control import read_log
from lentilpath_standins.cell import keep_zones, move_to_loopback, read_cell, reduce_cell
from lentilpath_standins.deployment import Deployment, create_deployment

EXAMPLE = Path("examples/harbor-spoon/deployment.json5")
WORKER_SIZES = (1, 2, 4, 8)
MEASURED_SECONDS = 15.0
WARM_UP_SECONDS = 4.0
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
KB_PER_MB = 1_000.0
OPERATIONS = ("POST /table/commit", "POST /table/read", "POST /table/scan", "GET /hosts")


def read_processor_seconds(pid: int) -> float:
    """Return the processor seconds that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def read_memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MB, or 0 if it has none."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KB_PER_MB
    return 0.0


def measure_daemons(deployment: Deployment) -> dict[str, tuple[float, float]]:
    """Return for each entry host its use of a core in percent and its memory in MB."""
    hosts = [host.host for host in deployment.cell.entry_hosts]
    pids = {host: deployment.get_process_id(host) for host in hosts}
    before = {host: read_processor_seconds(pid) for host, pid in pids.items()}
    time.sleep(MEASURED_SECONDS)
    return {
        host: (
            (read_processor_seconds(pid) - before[host]) / MEASURED_SECONDS * 100,
            read_memory_mb(pid),
        )
        for host, pid in pids.items()
    }


def print_idle_slopes() -> None:
    """Measure idle zones of four sizes and print the costs of their daemons."""
    print(
        "| workers | processor of the busiest daemon % | of the others % | memory MB |"
        " commits/s | reads/s | scans/s | host lists/s |"
    )
    print("|---|---|---|---|---|---|---|---|")
    busiest: list[float] = []
    for workers in WORKER_SIZES:
        cell = reduce_cell(keep_zones(read_cell(EXAMPLE), 1), 3, workers, 2)
        cell = move_to_loopback(cell)
        with tempfile.TemporaryDirectory() as directory:
            deployment = create_deployment(cell, Path(directory), lag_ms=200)
            try:
                deployment.start()
                time.sleep(WARM_UP_SECONDS)
                before = [count_operations(deployment, name) for name in OPERATIONS]
                costs = sorted(measure_daemons(deployment).values())
                after = [count_operations(deployment, name) for name in OPERATIONS]
            finally:
                deployment.stop()
        rates = [f"{(b - a) / MEASURED_SECONDS:.1f}" for a, b in zip(before, after, strict=True)]
        shares = [share for share, _ in costs]
        memory = max(mb for _, mb in costs)
        busiest.append(shares[-1])
        print(
            f"| {workers} | {shares[-1]:.1f} | {shares[0]:.1f} to {shares[-2]:.1f} | "
            f"{memory:.0f} | {' | '.join(rates)} |"
        )
    slope, intercept = fit_slope(list(WORKER_SIZES), busiest)
    print()
    print(f"- the leader: {intercept:.1f} % of a core and {slope:.2f} % more for each worker")


def count_operations(deployment: Deployment, *names: str) -> int:
    """Return the number of operations with these names that the platform has received so far."""
    operations = read_log(deployment.cell.platform)["operations"]
    return sum(operations.get(name, 0) for name in names)
