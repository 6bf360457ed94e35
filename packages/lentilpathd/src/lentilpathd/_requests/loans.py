"""Borrows idle runner slots from other hosts while requests wait, and lends this host's slots.

Each slot of a runner has a home, the entry host that uses it without asking. Other hosts borrow
idle slots from the home under a lease.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import msgspec

from lentilpath_core.errors import LentilpathError
from lentilpath_core.ids import HostId, Instant
from lentilpath_core.peers import PeerRequest
from lentilpath_core.requests.policy import RegionPolicy, RequestPolicy
from lentilpath_core.requests.routing import Distance, is_in_pool
from lentilpath_core.requests.shares import (
    BorrowedShare,
    LoanReply,
    LoanRequest,
    begin_loan_request,
    compute_home_share,
    end_loan_request,
    lend_slots,
)
from lentilpathd._clock import read_instant
from lentilpathd._metrics import Metric, Metrics
from lentilpathd._peers import PeerBus
from lentilpathd._requests.roster import ServiceRegistry
from lentilpathd._requests.runner import Runner
from lentilpathd._requests.service import Service

TOPIC = "requests.borrow"
PEER_TIMEOUT_SECONDS = 0.5
ROUNDS_PER_LEASE = 4
MS_PER_SECOND = 1_000
SILENT_PEER_COOLDOWN_MS = 2_000
"""How long no new slots are requested from a host that did not answer."""
DECLINED_COOLDOWN_MS = 1_000
"""How long no new slots are requested from a host that had none to lend."""


class LoanRequests(msgspec.Struct, frozen=True):
    """All loan requests of one host to another in one message."""

    requests: tuple[LoanRequest, ...]


class LoanReplies(msgspec.Struct, frozen=True):
    """The replies, in the order of the requests."""

    replies: tuple[LoanReply, ...]


@dataclass(frozen=True, slots=True, eq=False)
class _SlotDemand:
    runner: Runner
    share: BorrowedShare
    wanted: int


class SlotLoans:
    """Borrows and lends slots.

    Slots are requested about `ROUNDS_PER_LEASE` times in each lease, or up to twice as often when
    requests start to wait, and only while requests wait or borrowed slots are in use.
    """

    def __init__(
        self, registry: ServiceRegistry, policy: RequestPolicy, bus: PeerBus, metrics: Metrics
    ) -> None:
        self._registry = registry
        self._policy = policy
        self._bus = bus
        self._metrics = metrics
        self._wake = asyncio.Event()
        self._cooldown_until: dict[HostId, Instant] = {}
        bus.handle(TOPIC, self._answer_peer)

    def wake(self) -> None:
        """Request slots without waiting for the next round, because a request waits."""
        self._wake.set()

    async def run(self) -> None:
        """Borrow, renew and return slots until cancelled."""
        round_seconds = self._policy.share_lease_ms / ROUNDS_PER_LEASE / MS_PER_SECOND
        while True:
            await self._request_slots()
            await asyncio.sleep(round_seconds / 2)
            self._wake.clear()
            try:
                async with asyncio.timeout(round_seconds):
                    await self._wake.wait()
            except TimeoutError:
                pass

    async def return_unused_slots(self) -> None:
        """Return all borrowed slots that are not in use; called in a planned stop."""
        demands: dict[HostId, list[_SlotDemand]] = {}
        for runner in self._registry.list_runners():
            for home, share in runner.borrowed.items():
                if not share.request_pending:
                    demands.setdefault(home, []).append(_SlotDemand(runner, share, 0))
        await asyncio.gather(
            *(self._request_slots_of(home, asked) for home, asked in demands.items())
        )

    async def _request_slots(self) -> None:
        now = read_instant()
        demands: dict[HostId, list[_SlotDemand]] = {}
        for service in self._registry.services.values():
            for home, demand in self._list_demands(service, now):
                demands.setdefault(home, []).append(demand)
        # Hosts are asked concurrently, so that one that does not answer delays no other.
        await asyncio.gather(
            *(self._request_slots_of(home, asked) for home, asked in demands.items())
        )

    def _list_demands(self, service: Service, now: Instant) -> list[tuple[HostId, _SlotDemand]]:
        unmet = service.queue.count_waiting()
        expected_ms = service.estimate_next_wait(now)
        demands: list[tuple[HostId, _SlotDemand]] = []
        nearest_first = sorted(service.runners.values(), key=lambda r: r.health.distance)
        for runner in nearest_first:
            other_region = runner.health.distance is Distance.OTHER_REGION
            region_allowed = not other_region or self._may_borrow_across_regions(expected_ms)
            usable = is_in_pool(runner.health, now) and region_allowed
            for home in self._list_other_homes(runner):
                share = runner.borrowed.get(home)
                additional = self._count_additional_slots(runner, home, unmet, now) if usable else 0
                if share is None and additional == 0:
                    continue
                share = runner.borrowed.setdefault(home, BorrowedShare())
                if share.request_pending or (
                    additional == 0 and share.slots == 0 and share.in_use == 0
                ):
                    continue
                unmet -= additional
                demands.append((home, _SlotDemand(runner, share, share.in_use + additional)))
        return demands

    def _count_additional_slots(
        self, runner: Runner, home: HostId, unmet: int, now: Instant
    ) -> int:
        if unmet <= 0 or now < self._cooldown_until.get(home, 0):
            return 0
        home_slots = self._count_home_slots(runner, home)
        return min(unmet, home_slots)

    def _may_borrow_across_regions(self, expected_ms: float) -> bool:
        allowed = self._policy.region_policy is RegionPolicy.ANY_REGION
        return allowed and expected_ms > self._policy.cross_region_wait_ms

    def _list_other_homes(self, runner: Runner) -> tuple[HostId, ...]:
        homes = self._registry.list_home_hosts(runner.listed)
        return tuple(home for home in homes if home != self._bus.host)

    def _count_home_slots(self, runner: Runner, home: HostId) -> int:
        homes = self._registry.list_home_hosts(runner.listed)
        listed = runner.listed
        return compute_home_share(
            listed.get_upstream(), listed.slots, listed.connections, homes, home
        ).slots

    async def _request_slots_of(self, home: HostId, demands: list[_SlotDemand]) -> None:
        asked_at = read_instant()
        requests = tuple(
            begin_loan_request(demand.share, demand.runner.listed.get_upstream(), demand.wanted)
            for demand in demands
        )
        replies: tuple[LoanReply | None, ...] = (None,) * len(demands)
        try:
            answer = await self._bus.ask(
                home, TOPIC, LoanRequests(requests), LoanReplies, PEER_TIMEOUT_SECONDS
            )
            if len(answer.replies) == len(demands):
                replies = answer.replies
        except LentilpathError:
            self._cooldown_until[home] = Instant(read_instant() + SILENT_PEER_COOLDOWN_MS)
        else:
            self._record_declined(home, demands, replies)
        for demand, request, reply in zip(demands, requests, replies, strict=True):
            end_loan_request(demand.share, request, reply, asked_at)
            self._metrics.count(Metric.SLOTS_BORROWED, reply.slots if reply else 0)
        for service in self._registry.services.values():
            service.dispatch_waiting()

    def _record_declined(
        self, home: HostId, demands: list[_SlotDemand], replies: tuple[LoanReply | None, ...]
    ) -> None:
        # In an overload no host has slots to lend, and repeated requests would only add traffic,
        # which is billed by volume.
        wanted = sum(demand.wanted for demand in demands)
        in_use = sum(demand.share.in_use for demand in demands)
        granted = sum(reply.slots for reply in replies if reply is not None)
        if wanted > in_use >= granted:
            self._cooldown_until[home] = Instant(read_instant() + DECLINED_COOLDOWN_MS)

    async def _answer_peer(self, request: PeerRequest) -> LoanReplies:
        asked = msgspec.convert(request.body, LoanRequests)
        now = read_instant()
        return LoanReplies(tuple(self._lend(request, loan, now) for loan in asked.requests))

    def _lend(self, request: PeerRequest, loan: LoanRequest, now: Instant) -> LoanReply:
        for service in self._registry.services.values():
            runner = service.runners.get(loan.runner)
            if runner is not None:
                slots = lend_slots(
                    runner.ledger,
                    request.incarnation,
                    loan,
                    self._count_idle(service, runner, now),
                    runner.home.slots,
                    now,
                    self._policy.share_lease_ms,
                    self._policy.max_run_ms,
                )
                return LoanReply(slots, self._policy.share_lease_ms)
        return LoanReply(0, 0)

    def _count_idle(self, service: Service, runner: Runner, now: Instant) -> int:
        waiting = service.queue.count_waiting()
        if waiting:
            return -waiting
        if not is_in_pool(runner.health, now):
            return 0
        return runner.count_home_slots(now) - runner.home_in_use
