"""Borrows idle slots of other hosts' runners when requests wait, and lends this host's own."""

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
from lentilpathd._requests.roster import Roster
from lentilpathd._requests.runner import Runner
from lentilpathd._requests.service import Service

TOPIC = "requests.borrow"
PEER_TIMEOUT_SECONDS = 0.5
ROUNDS_PER_LEASE = 4
MS_PER_SECOND = 1_000
SILENT_PEER_MS = 2_000
"""How long a host that did not answer is not asked for new slots."""
DECLINED_MS = 1_000
"""How long a host that had none to lend is not asked for new slots."""


class LoanRequests(msgspec.Struct, frozen=True):
    """All that one host asks of another at once."""

    requests: tuple[LoanRequest, ...]


class LoanReplies(msgspec.Struct, frozen=True):
    """The answers, in the order of the requests."""

    replies: tuple[LoanReply, ...]


@dataclass(frozen=True, slots=True, eq=False)
class _Wish:
    runner: Runner
    share: BorrowedShare
    wanted: int


class LoanKeeper:
    """Asks for slots a few times in each lease, only while requests wait or loans are in use."""

    def __init__(
        self, roster: Roster, policy: RequestPolicy, bus: PeerBus, metrics: Metrics
    ) -> None:
        self._roster = roster
        self._policy = policy
        self._bus = bus
        self._metrics = metrics
        self._wake = asyncio.Event()
        self._silent_until: dict[HostId, Instant] = {}
        bus.handle(TOPIC, self._answer_peer)

    def wake(self) -> None:
        """Ask soon, because a request waits."""
        self._wake.set()

    async def run(self) -> None:
        """Borrow, renew and give back until cancelled."""
        round_seconds = self._policy.share_lease_ms / ROUNDS_PER_LEASE / MS_PER_SECOND
        while True:
            await self._ask_homes()
            await asyncio.sleep(round_seconds / 2)
            self._wake.clear()
            try:
                async with asyncio.timeout(round_seconds):
                    await self._wake.wait()
            except TimeoutError:
                pass

    async def give_back(self) -> None:
        """Give back all that is not in use; part of a planned stop."""
        wishes: dict[HostId, list[_Wish]] = {}
        for runner in self._roster.list_runners():
            for home, share in runner.borrowed.items():
                if not share.asking:
                    wishes.setdefault(home, []).append(_Wish(runner, share, 0))
        await asyncio.gather(*(self._ask_home(home, asked) for home, asked in wishes.items()))

    async def _ask_homes(self) -> None:
        now = read_instant()
        wishes: dict[HostId, list[_Wish]] = {}
        for service in self._roster.services.values():
            for home, wish in self._list_wishes(service, now):
                wishes.setdefault(home, []).append(wish)
        # A host that does not answer must not hold up the others, so each is asked by itself.
        await asyncio.gather(*(self._ask_home(home, asked) for home, asked in wishes.items()))

    def _list_wishes(self, service: Service, now: Instant) -> list[tuple[HostId, _Wish]]:
        missing = service.queue.count_waiting()
        expected_ms = service.estimate_next_wait(now)
        wishes: list[tuple[HostId, _Wish]] = []
        nearest_first = sorted(service.runners.values(), key=lambda r: r.health.distance)
        for runner in nearest_first:
            far = runner.health.distance is Distance.OTHER_REGION
            worth_it = not far or self._is_far_worth_it(expected_ms)
            usable = is_in_pool(runner.health, now) and worth_it
            for home in self._list_other_homes(runner):
                share = runner.borrowed.get(home)
                extra = self._count_extra(runner, home, missing, now) if usable else 0
                if share is None and extra == 0:
                    continue
                share = runner.borrowed.setdefault(home, BorrowedShare())
                if share.asking or (extra == 0 and share.slots == 0 and share.in_use == 0):
                    continue
                missing -= extra
                wishes.append((home, _Wish(runner, share, share.in_use + extra)))
        return wishes

    def _count_extra(self, runner: Runner, home: HostId, missing: int, now: Instant) -> int:
        if missing <= 0 or now < self._silent_until.get(home, 0):
            return 0
        most = self._count_home_slots(runner, home)
        return min(missing, most)

    def _is_far_worth_it(self, expected_ms: float) -> bool:
        allowed = self._policy.region_policy is RegionPolicy.ANY_REGION
        return allowed and expected_ms > self._policy.cross_region_wait_ms

    def _list_other_homes(self, runner: Runner) -> tuple[HostId, ...]:
        homes = self._roster.list_home_hosts(runner.listed)
        return tuple(home for home in homes if home != self._bus.host)

    def _count_home_slots(self, runner: Runner, home: HostId) -> int:
        homes = self._roster.list_home_hosts(runner.listed)
        listed = runner.listed
        return compute_home_share(
            listed.get_upstream(), listed.slots, listed.connections, homes, home
        ).slots

    async def _ask_home(self, home: HostId, wishes: list[_Wish]) -> None:
        asked_at = read_instant()
        requests = tuple(
            begin_loan_request(wish.share, wish.runner.listed.get_upstream(), wish.wanted)
            for wish in wishes
        )
        replies: tuple[LoanReply | None, ...] = (None,) * len(wishes)
        try:
            answer = await self._bus.ask(
                home, TOPIC, LoanRequests(requests), LoanReplies, PEER_TIMEOUT_SECONDS
            )
            if len(answer.replies) == len(wishes):
                replies = answer.replies
        except LentilpathError:
            self._silent_until[home] = Instant(read_instant() + SILENT_PEER_MS)
        else:
            self._note_declined(home, wishes, replies)
        for wish, request, reply in zip(wishes, requests, replies, strict=True):
            end_loan_request(wish.share, request, reply, asked_at)
            self._metrics.count(Metric.SLOTS_BORROWED, reply.slots if reply else 0)
        for service in self._roster.services.values():
            service.pump()

    def _note_declined(
        self, home: HostId, wishes: list[_Wish], replies: tuple[LoanReply | None, ...]
    ) -> None:
        # In overload nobody has slots to lend, and asking on and on would be paid by volume.
        wanted = sum(wish.wanted for wish in wishes)
        held = sum(wish.share.in_use for wish in wishes)
        granted = sum(reply.slots for reply in replies if reply is not None)
        if wanted > held >= granted:
            self._silent_until[home] = Instant(read_instant() + DECLINED_MS)

    async def _answer_peer(self, request: PeerRequest) -> LoanReplies:
        asked = msgspec.convert(request.body, LoanRequests)
        now = read_instant()
        return LoanReplies(tuple(self._lend(request, loan, now) for loan in asked.requests))

    def _lend(self, request: PeerRequest, loan: LoanRequest, now: Instant) -> LoanReply:
        for service in self._roster.services.values():
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
