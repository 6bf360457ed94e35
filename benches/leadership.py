"""Measures how long a zone has no leader after a kill and in a planned handover, and idle load.

Runs the real leadership drivers and peer connections of one zone on one event loop. The table is
in memory, so the figures include no round trips to it. `python -m benches.leadership [REPEATS]`.
"""

from __future__ import annotations

import asyncio
import os
import platform
import random
import statistics
import sys
import time

from lentilpath_core.settings import LeadershipSettings
from tests.common.leadership_hosts import (
    ZoneHost,
    create_zone,
    run_zone,
    wait_for,
    wait_for_leader,
)
from tests.common.platform import MemoryTable

HOST_COUNT = 3
SEED = 4
IDLE_SECONDS = 20.0
DEFAULT_REPEATS = 20
SETTINGS = LeadershipSettings()


async def wait_for_full_roster(leader: ZoneHost) -> None:
    """Wait until the roster in the leader's row holds all hosts."""
    await wait_for(lambda: (row := leader.read_row()) is not None and len(row.roster) == HOST_COUNT)


async def measure_kill(delay_seconds: float) -> float:
    """Return the seconds from a kill of the leader until another host has authority."""
    async with run_zone(create_zone(HOST_COUNT, MemoryTable(), SETTINGS)) as hosts:
        leader = await wait_for_leader(hosts)
        await wait_for_full_roster(leader)
        await asyncio.sleep(delay_seconds)
        started = time.perf_counter()
        await leader.kill()
        await wait_for_leader([host for host in hosts if host is not leader])
        return time.perf_counter() - started


async def measure_handover() -> float:
    """Return the seconds from the start of a planned release until another host has authority."""
    async with run_zone(create_zone(HOST_COUNT, MemoryTable(), SETTINGS)) as hosts:
        leader = await wait_for_leader(hosts)
        await wait_for_full_roster(leader)
        others = [host for host in hosts if host is not leader]
        started = time.perf_counter()
        release = asyncio.create_task(leader.leadership.release())
        await wait_for_leader(others)
        elapsed = time.perf_counter() - started
        await release
        return elapsed


async def measure_idle_rates() -> tuple[float, float, float, float]:
    """Return table writes, table reads, peer bytes sent and processor seconds, all per second."""
    table = MemoryTable()
    async with run_zone(create_zone(HOST_COUNT, table, SETTINGS)) as hosts:
        leader = await wait_for_leader(hosts)
        await wait_for_full_roster(leader)
        commits, reads, cpu_seconds = table.commits, table.reads, time.process_time()
        bytes_sent = sum(host.bus.bytes_sent for host in hosts)
        await asyncio.sleep(IDLE_SECONDS)
        bytes_sent = sum(host.bus.bytes_sent for host in hosts) - bytes_sent
        return (
            (table.commits - commits) / IDLE_SECONDS,
            (table.reads - reads) / IDLE_SECONDS,
            bytes_sent / IDLE_SECONDS,
            (time.process_time() - cpu_seconds) / IDLE_SECONDS,
        )


def print_times(name: str, seconds: list[float]) -> None:
    """Print minimum, median and maximum of `seconds` in milliseconds."""
    times = sorted(1_000 * value for value in seconds)
    print(
        f"{name}: {len(times)} runs, least {times[0]:.0f} ms, median "
        f"{statistics.median(times):.0f} ms, most {times[-1]:.0f} ms"
    )


def main() -> None:
    """Run all three measurements."""
    repeats = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_REPEATS
    rng = random.Random(SEED)
    print(f"{platform.machine()}, {os.cpu_count()} processors, Python {platform.python_version()}")
    print(f"load {os.getloadavg()[0]:.1f}; {HOST_COUNT} hosts; {SETTINGS}")
    renewal_seconds = SETTINGS.renew_every_ms / 1_000
    kills = [asyncio.run(measure_kill(rng.uniform(0, renewal_seconds))) for _ in range(repeats)]
    print_times("kill to next authority", kills)
    handovers = [asyncio.run(measure_handover()) for _ in range(repeats)]
    print_times("planned hand-over", handovers)
    write_rate, read_rate, bytes_sent, cpu_share = asyncio.run(measure_idle_rates())
    print(
        f"idle zone: {write_rate:.2f} table writes/s, {read_rate:.1f} table reads/s, "
        f"{bytes_sent / HOST_COUNT:.0f} peer bytes/s and "
        f"{100 * cpu_share / HOST_COUNT:.2f}% of a core for each host"
    )


if __name__ == "__main__":
    main()
