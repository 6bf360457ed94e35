"""Measures the bytes per configuration change at the target's size, by kind of link.

Run by `make config-bytes`. Hosts are objects in one process. Their messages are encoded and counted
without TCP headers. The table's bytes are those of keys and values.
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from typing import Any

from tests.common.operators import Cell, create_cell

ZONES = 14
REGIONS = 6
HOSTS_PER_ZONE = 8
TEAMS = 240
CUSTOMERS = 200
SERVICES = 30
MEASURED_CHANGES = 50
CHANGES_PER_DAY = 3_300
SECONDS_PER_DAY = 86_400
POLL_INTERVAL_SECONDS = 2


def make_document() -> dict[str, Any]:
    """Return a configuration of the target's size."""
    quota = {"millicores": 64_000, "memory_mib": 262_144, "accelerators": 4}
    objective = {
        "kind": "request_time",
        "subject": "service-00",
        "target_per_million": 999_000,
        "threshold_ms": 300,
    }
    return {
        "teams": {f"team-{number:03}": {"quota": quota} for number in range(TEAMS)},
        "customers": {
            f"customer-{number:03}": {"price_rule": "standard", "requests_per_second": 50}
            for number in range(CUSTOMERS)
        },
        "services": {
            f"service-{number:02}": {"requests": {"queue_wait_ms": 500, "max_run_ms": 9_000}}
            for number in range(SERVICES)
        },
        "price_rules": {"standard": {"per_core_hour_micros": 40_000}},
        "objectives": {f"objective-{number:02}": objective for number in range(SERVICES)},
    }


def sum_traffic(cell: Cell) -> Counter[str]:
    """Return the bytes sent, by kind of link."""
    regions = {f"zone-{number:02}": number % REGIONS for number in range(ZONES)}
    totals: Counter[str] = Counter()
    for (sender, receiver), size in cell.traffic.items():
        if sender == receiver:
            totals["within a zone"] += size
        elif regions[sender] == regions[receiver]:
            totals["between zones of a region"] += size
        else:
            totals["between regions"] += size
    return totals


async def measure() -> None:
    """Apply changes and print the bytes per change, per day and per second and host."""
    zones = tuple(f"zone-{number:02}" for number in range(ZONES))
    cell = await create_cell(zones, HOSTS_PER_ZONE)
    hosts = list(cell.hosts.values())
    document = make_document()
    await hosts[0].post("/v1/config/apply", {"text": json.dumps(document)})
    cell.traffic.clear()
    cell.table.bytes_written = cell.table.bytes_read = 0
    for number in range(MEASURED_CHANGES):
        host = hosts[number * 7 % len(hosts)]
        status, answer = await host.run(f"set quota team team-{number:03} cpu={number + 1}")
        assert status == 200, answer
    in_force = {host.operators.configuration.get_version() for host in hosts}
    print(f"{len(hosts)} hosts in {ZONES} zones and {REGIONS} regions; the document has")
    print(
        f"{len(json.dumps(document))} bytes; {MEASURED_CHANGES} changes; versions in force:",
        *in_force,
    )
    bytes_by_link = dict(sum_traffic(cell))
    bytes_by_link["written to the table"] = cell.table.bytes_written
    bytes_by_link["read from the table"] = cell.table.bytes_read
    cell.table.bytes_read = 0
    for host in hosts:
        await host.operators.configuration.refresh()
    poll_bytes = cell.table.bytes_read / len(hosts)
    print(f"{'link':28}{'bytes per change':>16}{'MB per day':>12}{'bytes/s per host':>20}")
    for link, size in sorted(bytes_by_link.items()):
        bytes_per_change = size / MEASURED_CHANGES
        day_bytes = bytes_per_change * CHANGES_PER_DAY
        print(
            f"{link:28}{bytes_per_change:16.0f}{day_bytes / 1e6:12.1f}"
            f"{day_bytes / SECONDS_PER_DAY / len(hosts):20.1f}"
        )
    polled_bytes_per_day = SECONDS_PER_DAY / POLL_INTERVAL_SECONDS * poll_bytes
    total = polled_bytes_per_day * len(hosts) / 1e6
    print(
        f"{'polls of the head row':28}{'':16}{total:12.1f}"
        f"{poll_bytes / POLL_INTERVAL_SECONDS:20.1f}"
    )


if __name__ == "__main__":
    asyncio.run(measure())
