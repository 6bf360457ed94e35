"""Cuts the leader and some workers off from the table, the other hosts and the other workers."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from lentilpathd._pool._tokens import TOKENS_PER_EPOCH
from tests.common.fleet.workers import StandInWorker
from tests.soak.plans import WORKERS
from tests.soak.processes import PEERS_PORT, HostProcess
from tests.soak.proxies import Proxy

CUT_PHASE_SECONDS = 18.0
"""Time in which clients submit jobs: longer than the latest end of a cut."""
MAX_BEGIN_SECONDS = 3.0
MIN_CUT_SECONDS, MAX_CUT_SECONDS = 5.0, 13.0
"""From just over a lease to three of them."""


@dataclass(frozen=True, slots=True)
class LeaderCut:
    """When the leader is cut off, for how long, and with which workers."""

    at_seconds: float
    duration_seconds: float
    near_workers: tuple[int, ...]
    """Indexes of the workers that only this leader reaches; the others reach later ones only."""


def make_leader_cut(seed: int) -> LeaderCut:
    """Return the cut of a seed, with a quarter or a half of the workers."""
    rng = random.Random(f"{seed}-leader-cut")
    return LeaderCut(
        round(rng.uniform(1.0, MAX_BEGIN_SECONDS), 3),
        round(rng.uniform(MIN_CUT_SECONDS, MAX_CUT_SECONDS), 3),
        tuple(sorted(rng.sample(range(WORKERS), rng.choice((1, 1, 2))))),
    )


@dataclass
class PeerLinks:
    """Proxies on the way from each host to each other one."""

    proxies: dict[tuple[str, str], Proxy] = field(default_factory=dict)

    async def open(self, addresses: list[str]) -> None:
        """Open a proxy for each pair of addresses, in each direction."""
        for source in addresses:
            for target in addresses:
                if source != target:
                    proxy = self.proxies[source, target] = Proxy(target, PEERS_PORT)
                    await proxy.open()

    def list_proxies(self, source: str) -> dict[str, str]:
        """Return the address of the proxy to each peer of a host."""
        return {
            target: f"127.0.0.1:{proxy.own_port}"
            for (start, target), proxy in self.proxies.items()
            if start == source
        }

    def cut(self, address: str) -> None:
        """Forward nothing from and to a host any more."""
        for pair, proxy in self.proxies.items():
            if address in pair:
                proxy.to_server_open.clear()
                proxy.to_client_open.clear()

    def heal(self) -> None:
        """Forward everything again."""
        for proxy in self.proxies.values():
            proxy.heal()

    async def close(self) -> None:
        """Close all proxies."""
        for proxy in self.proxies.values():
            await proxy.close()


async def cut_leader(
    cut: LeaderCut,
    leader: HostProcess,
    table: Proxy,
    links: PeerLinks,
    workers: list[StandInWorker],
) -> None:
    """Cut a leader off for the time of the plan."""
    epoch = max(each.token for each in workers) // TOKENS_PER_EPOCH
    for index, worker in enumerate(workers):
        if index in cut.near_workers:
            worker.is_reached_by = lambda token: token // TOKENS_PER_EPOCH <= epoch
        else:
            worker.is_reached_by = lambda token: token // TOKENS_PER_EPOCH > epoch
    table.to_server_open.clear()
    table.to_client_open.clear()
    links.cut(leader.address)
    await asyncio.sleep(cut.duration_seconds)
    for worker in workers:
        worker.is_reached_by = None
    table.heal()
    links.heal()
