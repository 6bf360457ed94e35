"""No two processes lead at once, whatever becomes of writes that the table has not answered.

Such a write may be done seconds later, after newer ones of the same leader, or never.
"""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from lentilpath_core.errors import OutcomeUnknown, Unavailable
from lentilpath_core.ids import HostId, Incarnation, Instant
from lentilpathd._clock import MS_PER_SECOND
from lentilpathd._pool import _leadership, _settling
from lentilpathd._pool._leadership import PoolLeadership
from lentilpathd._pool._ports import Deposed, PartitionTransaction
from lentilpathd._pool._records import EPOCH_KEY, LEASE_KEY, POOL_PARTITION, POOL_TABLE
from lentilpathd._pool._settling import commit_repeatedly
from tests.common.late_writes import ANSWER_SECONDS, LateTable, LateWrites
from tests.common.tables import ADDRESS
from tests.common.virtual_time import run_in_virtual_time

HOSTS = 3
SECONDS = 240.0
SLOW_ANSWER_SECONDS = 0.4
"""Answers of a table that is becoming 100 times slower, less what its queue adds."""


class Rows(LateTable):
    """Notes takeovers from leaders that count on their leases; at times the table is slow."""

    def __init__(self, late: LateWrites, slow_share: float, chance: Random) -> None:
        super().__init__(late)
        self._slow_share = slow_share
        self._chance = chance
        self._is_slow = False
        self._next_change_at = 0.0
        self.leaders: dict[HostId, PoolLeadership] = {}
        self.violations: list[str] = []

    def find_answer_seconds(self, now: float) -> float:
        if now >= self._next_change_at:
            self._next_change_at = now + self._chance.uniform(2.0, 8.0)
            self._is_slow = self._chance.random() < self._slow_share
        return SLOW_ANSWER_SECONDS if self._is_slow else ANSWER_SECONDS

    def note_takeover(self, now: float) -> None:
        super().note_takeover(now)
        for host, leadership in self.leaders.items():
            if leadership.is_confirmed(Instant(int(now * MS_PER_SECOND))):
                self.violations.append(f"{now:.3f} {host} counts on its lease")


async def lead(rows: Rows, host: HostId, chance: Random) -> None:
    """Lead whenever possible, and write batches of records at times."""
    leadership = PoolLeadership(rows, host, Incarnation(host + ".1"), ADDRESS)

    async def write_batches(epoch) -> None:
        while True:
            await asyncio.sleep(chance.uniform(0.01, 1.0))
            try:
                with leadership.carry_renewal(epoch) as renewal:
                    transaction = PartitionTransaction(
                        POOL_TABLE,
                        POOL_PARTITION,
                        checks=((EPOCH_KEY, leadership.epoch_version),),
                        puts=(renewal.put,),
                    )
                    commit = await commit_repeatedly(rows, transaction, 3.0)
                    leadership.record_renewal(renewal, commit)
            except (Unavailable, OutcomeUnknown):
                continue
            if not commit.result.applied:
                raise Deposed("superseded")

    while True:
        epoch = await leadership.acquire()
        rows.leaders[host] = leadership
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(leadership.renew_forever(epoch))
                group.create_task(write_batches(epoch))
        except* Deposed:
            del rows.leaders[host]


def simulate(seed: int, lost_share: float, slow_share: float, patch: pytest.MonkeyPatch) -> Rows:
    chance = Random(seed)
    rows = Rows(LateWrites(chance, lost_share), slow_share, chance)

    async def scenario() -> None:
        hosts = [
            asyncio.create_task(lead(rows, HostId(f"h{number}"), chance)) for number in range(HOSTS)
        ]
        await asyncio.sleep(SECONDS)
        for host in hosts:
            host.cancel()
        await asyncio.gather(*hosts, return_exceptions=True)

    run_in_virtual_time(scenario(), patch, _leadership, _settling)
    return rows


@pytest.mark.parametrize("slow_share", [0.0, 0.4])
@pytest.mark.parametrize("lost_share", [0.35, 1.0])
@pytest.mark.parametrize("seed", range(6))
def test_nobody_takes_over_from_a_leader_that_counts_on_its_lease(
    seed, lost_share, slow_share, monkeypatch
):
    """A late copy of a renewal showed an older end of the lease (review/11)."""
    rows = simulate(seed, lost_share, slow_share, monkeypatch)
    assert LEASE_KEY in rows.rows
    assert not rows.violations
