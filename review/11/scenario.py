"""Two leaders at once: a renewal of the leader's lease that is done late puts an older lease back.

`TROUBLE=0` leaves the store's answers alone.
"""

from __future__ import annotations

import asyncio
import os
import random
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins3"))

from world import QUEUE_PREFIX, World, call, make_job_id, now_ms

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = (("z1", "r1", 3), ("z2", "r2", 3), ("z3", "r3", 2))
"""Zones, their regions and the number of hosts, as SYSTEM.md has them for Harbor Spoon."""
RUNNERS_PER_ZONE = 4
DATA_ZONES = ("z2", "z3")
"""Where the data of the jobs is located."""
WAY_SECONDS = 0.02
"""One way between regions (SYSTEM.md)."""
TOKENS_PER_LEADER = 10**9
TASK_SECONDS = 30
ROUNDS = 2
"""The second only if the first broke nothing: it depends on which host polls the lease next."""
JOBS_PER_SECOND = float(os.environ.get("RATE", "100"))


class LosesAnswers:
    """Loses answers of the store for less than 4.5 s, and does these writes 1 to 6 s later.

    Of the writes that renew the leader's lease, three are lost: one at the beginning, and those
    that follow once this one has been done.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.begins_at = 0
        self.first: dict[str, Any] | None = None
        self.landed_at = 0
        self.lost = 0
        self.writes = 0
        self.is_over = False

    def begin(self) -> None:
        self.begins_at = now_ms()

    def intercept(self, host: str, message: dict[str, Any]) -> float | None:
        keys = {each["key"] for each in message["setKeys"]}
        if not self.begins_at or self.is_over:
            return None
        since = now_ms() - self.begins_at
        if since > 4_500:
            self.is_over = True
            self.world.note(f"the store answers again; {self.lost} of {self.writes} were lost")
            return None
        self.writes += 1
        if "0lease" not in keys or "0epoch" in keys:
            return None
        if self.first is None:
            self.first = message
            self.lost += 1
            self.world.note(f"a renewal from {host} gets no answer, to be done later")
            return 99.0
        if not self.landed_at:
            if since < 2_000:
                return None
            # This renewal is answered, and right after it the first one is done.
            self.landed_at = now_ms() + 15
            asyncio.get_running_loop().call_later(0.015, self.land)
            return None
        if now_ms() < self.landed_at:
            return None
        self.lost += 1
        self.world.note(f"a renewal from {host} gets no answer, to be done 3 s later")
        return 3.0

    def land(self) -> None:
        status, _ = self.world.store.apply(self.first)
        self.world.note(f"the renewal of {now_ms() - self.begins_at} ms ago is done: {status}")


async def main() -> int:
    world = World()
    world.configure(3)
    try:
        world.way_seconds = WAY_SECONDS
        regions: dict[int, str] = {}

        def make_delay(region: str) -> Any:
            def find_delay(message: dict[str, Any]) -> float:
                caller = regions.get(message["fencingToken"] // TOKENS_PER_LEADER, region)
                return WAY_SECONDS if caller != region else 0.0005

            return find_delay

        for zone, region, _ in ZONES:
            for _ in range(RUNNERS_PER_ZONE):
                await world.add_runner(zone=zone, labels=("a", f"rack-{zone}"), delay=make_delay(region))

        def note_takeover(host: str, message: dict[str, Any]) -> None:
            if any(each["key"] == "0epoch" for each in message["setKeys"]):
                region = next(each.region for each in world.hosts if each.name == host)
                regions[len(regions) + 1] = region
                world.note(f"{host} in {region} takes over")

        world.store.applied = note_takeover
        for zone, region, count in ZONES:
            for _ in range(count):
                await world.add_host(zone, region)
        if not await world.wait_ready():
            world.note("the hosts are not ready")
            return 2
        await asyncio.sleep(3.0)
        chance = random.Random(11)
        statuses: dict[int, int] = {}
        pending = set()

        async def submit(host: Any) -> None:
            job = make_job_id(chance)
            step = {"count": 1, "cpu": 100, "memMb": 16, "estRuntimeMs": TASK_SECONDS * 1_000,
                    "affinity": f"rack-{chance.choice(DATA_ZONES)}"}
            body = {"spec": str(TASK_SECONDS), "steps": [step]}
            status, _ = await call(host.ip, host.port, "POST", QUEUE_PREFIX + job, body)
            world.note(f"job {job} sent to {host.name}, answered {status}")
            statuses[status] = statuses.get(status, 0) + 1

        for number in range(ROUNDS):
            if number and world.find_overlaps():
                break
            loser = LosesAnswers(world)
            if TROUBLE:
                world.store.intercept = loser.intercept
            loser.begin()
            world.note(f"disruption {number + 1} begins" if TROUBLE else "no disruption")
            begun = now_ms()
            while now_ms() < begun + 6_000:
                task = asyncio.create_task(submit(chance.choice(world.hosts)))
                pending.add(task)
                task.add_done_callback(pending.discard)
                await asyncio.sleep(1 / JOBS_PER_SECOND)
            await asyncio.gather(*pending)
            await asyncio.sleep(5.0)
        world.note(f"answers to submissions, by status: {statuses}")
        overlaps = world.find_overlaps()
        for each in overlaps:
            world.note(f"TWICE: {each}")
        world.note(f"{len(overlaps)} tasks ran twice at the same time")
        if not statuses.get(200):
            return 2
        return 1 if overlaps else 0
    finally:
        await world.close()
        world.write_record(HERE / "record.txt")


sys.exit(asyncio.run(main()))
