"""Measures what leaderships cost on a table that is slow, loses answers or refuses calls.

`python -m benches.leases` plays the real leadership of three hosts in virtual time, 20 seeds of
four minutes for each table. It prints how often living leaders were replaced, the share of the time
in which the leader was confirmed, and the time from a leader's loss to the next takeover.
"""

from __future__ import annotations

import asyncio
import logging
import statistics
from dataclasses import dataclass
from random import Random
from typing import Any

import pytest

from lentilpath_core.errors import TableUnavailable
from lentilpath_core.ids import HostId, Incarnation, Instant
from lentilpathd._clock import MS_PER_SECOND
from lentilpathd._pool import _leadership, _settling
from lentilpathd._pool._leadership import PoolLeadership
from lentilpathd._pool._ports import Deposed
from tests.common.late_writes import ANSWER_SECONDS, LateTable, LateWrites
from tests.common.tables import ADDRESS
from tests.common.virtual_time import run_in_virtual_time

SEEDS = 20
SECONDS = 240.0
HOSTS = 3
SAMPLE_SECONDS = 0.02


@dataclass(frozen=True)
class Table:
    """How the table behaves."""

    name: str
    answer_seconds: float = ANSWER_SECONDS
    lost_share: float = 0.0
    refused_share: float = 0.0
    """Share of spells of 0.3 to 2.4 s in which the table refuses all calls of one host."""


TABLES = (
    Table("calm"),
    Table("slow, 0.5 s", answer_seconds=0.5),
    Table("slow, 0.9 s", answer_seconds=0.9),
    Table("loses a third in spells", lost_share=0.35),
    Table("loses all in spells", lost_share=1.0),
    Table("slow, 0.5 s, and loses a third", answer_seconds=0.5, lost_share=0.35),
    Table("refuses hosts in spells", refused_share=0.5),
)


class Rows(LateTable):
    """Rows shared by all hosts, of a table that behaves as told."""

    def __init__(self, table: Table, chance: Random) -> None:
        super().__init__(LateWrites(chance, table.lost_share))
        self.table = table
        self._late.is_over = not table.lost_share

    def find_answer_seconds(self, now: float) -> float:
        """Return how long a call takes."""
        return self.table.answer_seconds


class Path:
    """One host's path to the rows, which are refused to it in spells."""

    def __init__(self, rows: Rows, chance: Random) -> None:
        self._rows = rows
        self._chance = chance
        self._ends_at = 0.0
        self._is_refused = False

    def _check(self) -> None:
        if read_time() >= self._ends_at:
            self._is_refused = self._chance.random() < self._rows.table.refused_share
            self._ends_at = read_time() + self._chance.uniform(0.3, 2.4)
        if self._is_refused:
            raise TableUnavailable("503")

    async def commit(self, *arguments, **options):
        """Do a write, unless this host is refused."""
        self._check()
        return await self._rows.commit(*arguments, **options)

    async def read_partition(self, *arguments):
        """Return the rows, unless this host is refused."""
        self._check()
        return await self._rows.read_partition(*arguments)

    def __getattr__(self, name: str) -> object:
        return getattr(self._rows, name)


def read_time() -> float:
    """Return the virtual time in seconds."""
    return asyncio.get_running_loop().time()


class Host:
    """A host that leads whenever it can."""

    def __init__(self, rows: Rows, name: str, chance: Random) -> None:
        self.path = Path(rows, chance)
        self.name = name
        self.leadership: PoolLeadership | None = None
        """Of the term that is in progress, if any."""

    async def run(self) -> None:
        """Lead whenever possible."""
        incarnation = Incarnation(f"{self.name}.{read_time()}")
        path: Any = self.path
        leadership = PoolLeadership(path, HostId(self.name), incarnation, ADDRESS)
        while True:
            epoch = await leadership.acquire()
            self.leadership = leadership
            try:
                await leadership.renew_forever(epoch)
            except Deposed:
                self.leadership = None


@dataclass
class Result:
    """Sums over the seeds of one table."""

    replaced: int = 0
    confirmed: int = 0
    samples: int = 0
    losses: list[float] | None = None


def play(table: Table, seed: int, loses_leaders: bool, result: Result) -> None:
    """Play one seed, and add what it shows to the result."""
    chance = Random(seed)
    rows = Rows(table, chance)

    async def scenario() -> None:
        hosts = [Host(rows, f"h{number}", chance) for number in range(HOSTS)]
        tasks = [asyncio.create_task(host.run()) for host in hosts]
        end = read_time() + SECONDS
        lose_at = read_time() + 10.0 if loses_leaders else end
        while read_time() < end:
            await asyncio.sleep(SAMPLE_SECONDS)
            now = Instant(int(read_time() * MS_PER_SECOND))
            leading = [host.leadership for host in hosts if host.leadership is not None]
            result.samples += 1
            result.confirmed += any(each.is_confirmed(now) for each in leading)
            if read_time() < lose_at or not leading:
                continue
            lost = next(n for n, host in enumerate(hosts) if host.leadership is not None)
            tasks[lost].cancel()
            hosts[lost].leadership = None
            count, lost_at = len(rows.takeovers), read_time()
            for _ in range(int((end - lost_at) / SAMPLE_SECONDS)):
                if len(rows.takeovers) > count:
                    break
                await asyncio.sleep(SAMPLE_SECONDS)
            if len(rows.takeovers) > count and result.losses is not None:
                result.losses.append(rows.takeovers[-1] - lost_at)
            tasks[lost] = asyncio.create_task(hosts[lost].run())
            lose_at = read_time() + chance.uniform(5.0, 10.0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    patch = pytest.MonkeyPatch()
    run_in_virtual_time(scenario(), patch, _leadership, _settling)
    patch.undo()
    result.replaced += 0 if loses_leaders else len(rows.takeovers) - 1


def main() -> None:
    """Print the table."""
    logging.disable(logging.CRITICAL)
    print("| table | living leaders replaced | confirmed | loss to takeover, median | 95% |")
    print("| --- | --- | --- | --- | --- |")
    for table in TABLES:
        living, dying = Result(), Result(losses=[])
        for seed in range(SEEDS):
            play(table, seed, False, living)
            play(table, seed, True, dying)
        losses = sorted(dying.losses or [0.0])
        late = losses[int(len(losses) * 0.95)]
        print(
            f"| {table.name} | {living.replaced} | {living.confirmed / living.samples:.3f} "
            f"| {statistics.median(losses):.2f} s | {late:.2f} s |",
            flush=True,
        )


if __name__ == "__main__":
    main()
