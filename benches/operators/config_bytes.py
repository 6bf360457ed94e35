"""Bytes that a change of the configuration costs at the target's size, by kind of link.

Run by `make config-bytes`. Hosts are objects in one process; their messages go through the codec
and are counted as encoded, without the headers of TCP. The table's bytes are keys and values.
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
CHANGES_A_DAY = 3_300
SECONDS_A_DAY = 86_400
LOOK_SECONDS = 2


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
    """Return the bytes sent by kind of link."""
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
    """Apply changes and print what each costs."""
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
    costs = dict(sum_traffic(cell))
    costs["written to the table"] = cell.table.bytes_written
    costs["read from the table"] = cell.table.bytes_read
    cell.table.bytes_read = 0
    for host in hosts:
        await host.operators.configuration.look()
    look_bytes = cell.table.bytes_read / len(hosts)
    print(f"{'link':28}{'bytes a change':>16}{'MB a day':>12}{'bytes/s and host':>20}")
    for link, size in sorted(costs.items()):
        each = size / MEASURED_CHANGES
        day = each * CHANGES_A_DAY
        print(f"{link:28}{each:16.0f}{day / 1e6:12.1f}{day / SECONDS_A_DAY / len(hosts):20.1f}")
    looks = SECONDS_A_DAY / LOOK_SECONDS * look_bytes
    total = looks * len(hosts) / 1e6
    print(f"{'looks at the head row':28}{'':16}{total:12.1f}{look_bytes / LOOK_SECONDS:20.1f}")


if __name__ == "__main__":
    asyncio.run(measure())
