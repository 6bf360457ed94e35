"""Hosts share each runner's slots and connections without exceeding either."""

import asyncio
from collections import Counter
from dataclasses import replace
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from lentilpath_core.ids import HostId, Incarnation, Instant, UpstreamId
from lentilpath_core.requests.policy import RegionPolicy
from lentilpath_core.requests.shares import (
    BorrowedShare,
    HomeLedger,
    LoanReply,
    begin_loan_request,
    compute_home_share,
    end_loan_request,
    lend_slots,
)
from tests.common.requests import TEST_POLICY, open_cell, wait_until

LEASE_MS = 100
MAX_RUN_MS = 300
HOME_SLOTS = 4
RUNNER = UpstreamId("r")


@given(st.integers(1, 40), st.integers(1, 9), st.integers(0, 5), st.text(min_size=1))
def test_the_home_shares_of_all_hosts_add_up_to_the_runner(slots, hosts, spare, runner):
    names = tuple(HostId(f"h{i}") for i in range(hosts))
    connections = slots * 8 + spare
    shares = [
        compute_home_share(UpstreamId(runner), slots, connections, names, name) for name in names
    ]
    assert sum(share.slots for share in shares) == slots
    assert sum(share.connections for share in shares) <= connections


class LoanModel:
    """A home host and two borrowers whose messages may be lost, delayed or reordered."""

    def __init__(self):
        self.now = Instant(0)
        self.ledger = HomeLedger()
        self.shares = [BorrowedShare(), BorrowedShare()]
        self.incarnations = [0, 0]
        self.running: list[Any] = [[], []]
        self.orphans: list[Any] = []
        """Times by which the requests of crashed borrowers have ended."""
        self.home_in_use = 0
        self.unhandled: list[Any] = []
        self.replies: list[Any] = []

    def advance_clock(self, ms):
        self.now = Instant(self.now + ms)
        still_running = [[b for b in began if self.now <= b + MAX_RUN_MS] for began in self.running]
        self.running = still_running
        for share, began in zip(self.shares, still_running, strict=True):
            share.in_use = len(began)
        self.orphans = [until for until in self.orphans if self.now <= until]

    def request_loan(self, index, extra):
        share = self.shares[index]
        request = begin_loan_request(share, RUNNER, share.in_use + extra)
        borrower = Incarnation(f"{index}/{self.incarnations[index]}")
        self.unhandled.append((borrower, share, request, self.now))

    def handle_request(self, position, pressure):
        """Let the home answer the oldest request, or the `position`-th newest if not 0.

        `pressure` is the number of lent slots that the home needs back.
        """
        if not self.unhandled:
            return
        borrower, share, request, asked_at = self.unhandled.pop(-position)
        lent = self.ledger.count_lent(self.now, MAX_RUN_MS)
        idle = -pressure if pressure else HOME_SLOTS - lent - self.home_in_use
        granted = lend_slots(
            self.ledger, borrower, request, idle, HOME_SLOTS, self.now, LEASE_MS, MAX_RUN_MS
        )
        self.replies.append((share, request, LoanReply(granted, LEASE_MS), asked_at))

    def deliver_reply(self, position):
        """Hand over the oldest reply, or the `position`-th newest if not 0."""
        if self.replies:
            end_loan_request(*self.replies.pop(-position))

    def start_run(self, index):
        if self.shares[index].count_free(self.now):
            self.running[index].append(self.now)
            self.shares[index].in_use += 1

    def finish_run(self, index):
        if self.running[index]:
            self.running[index].pop()
            self.shares[index].in_use -= 1

    def crash(self, index):
        """Restart a borrower while its requests keep running on the runner."""
        self.orphans.extend(began + MAX_RUN_MS for began in self.running[index])
        self.incarnations[index] += 1
        self.shares[index], self.running[index] = BorrowedShare(), []

    def fill_home_slots(self):
        free = HOME_SLOTS - self.ledger.count_lent(self.now, MAX_RUN_MS) - self.home_in_use
        self.home_in_use += max(0, free)

    def free_home_slot(self):
        self.home_in_use = max(0, self.home_in_use - 1)

    def count_used(self):
        return self.home_in_use + sum(map(len, self.running)) + len(self.orphans)


BORROWER_INDEXES = st.integers(0, 1)
SMALL_NUMBERS = st.integers(0, 2)
STEPS = st.one_of(
    st.tuples(st.just("advance_clock"), st.sampled_from((1, 40, LEASE_MS, MAX_RUN_MS))),
    st.tuples(st.just("request_loan"), BORROWER_INDEXES, SMALL_NUMBERS),
    st.tuples(st.just("handle_request"), BORROWER_INDEXES, SMALL_NUMBERS),
    st.tuples(st.just("deliver_reply"), BORROWER_INDEXES),
    st.tuples(st.sampled_from(("start_run", "finish_run", "crash")), BORROWER_INDEXES),
    st.tuples(st.sampled_from(("fill_home_slots", "free_home_slot"))),
)


def check_loans(steps):
    model = LoanModel()
    for name, *arguments in steps:
        getattr(model, name)(*arguments)
        assert model.count_used() <= HOME_SLOTS


@settings(max_examples=400)
@given(st.lists(STEPS, max_size=30))
def test_slots_in_use_never_exceed_the_home_slots_if_messages_are_lost_late_or_reordered(steps):
    check_loans(steps)


LOAN_STEPS = [("request_loan", 0, 2), ("handle_request", 0, 0), ("deliver_reply", 0)]


def test_a_borrower_starts_no_request_on_slots_that_it_has_offered_back():
    check_loans(
        [
            *LOAN_STEPS,
            ("request_loan", 0, 0),
            ("handle_request", 0, 2),
            ("start_run", 0),
            ("fill_home_slots",),
        ]
    )


def test_a_stale_loan_request_that_arrives_late_returns_no_slots():
    late_request = ("request_loan", 0, 0)
    second_loan = [("request_loan", 0, 2), ("handle_request", 1, 0), ("deliver_reply", 1)]
    check_loans(
        [
            *LOAN_STEPS,
            late_request,
            *second_loan,
            ("handle_request", 0, 2),
            ("start_run", 0),
            ("fill_home_slots",),
        ]
    )


def test_a_home_counts_the_slots_of_a_dead_borrower_until_its_last_request_is_over():
    check_loans(
        [
            *LOAN_STEPS,
            ("start_run", 0),
            ("crash", 0),
            ("advance_clock", LEASE_MS + 1),
            ("fill_home_slots",),
        ]
    )


def test_a_borrower_starts_no_request_after_its_lease():
    check_loans(
        [
            *LOAN_STEPS,
            ("advance_clock", MAX_RUN_MS + LEASE_MS + 1),
            ("fill_home_slots",),
            ("start_run", 0),
        ]
    )


def test_a_busy_host_borrows_idle_slots_of_its_region_and_exceeds_no_runner_s_limits():
    async def scenario():
        hosts = {"a-1": "a", "a-2": "a", "b-1": "b"}
        async with open_cell(runners=1, hosts=hosts, service_ms=20.0) as cell:
            await cell.add_runner("far", zone="b", service_ms=20.0)
            calls = [cell.call("a-1", x_deadline_ms="5000") for _ in range(120)]
            statuses = Counter(r.status for r in await asyncio.gather(*calls))
            assert statuses[200] == 120
            assert cell.runners["runner-0"].most_running > 4
            assert cell.runners["far"].most_running > 0
            assert cell.count_excess() == 0

    asyncio.run(scenario())


def test_another_region_is_used_only_if_policy_allows_it_and_the_wait_is_long():
    async def scenario(policy):
        hosts = {"a-1": ("a", "r1"), "b-1": ("b", "r2")}
        async with open_cell(runners=1, hosts=hosts, region="r1", policy=policy) as cell:
            await cell.add_runner("far", zone="b", region="r2", service_ms=100.0)
            cell.runners["runner-0"].service_ms = 100.0
            calls = [cell.call("a-1", x_deadline_ms="5000") for _ in range(60)]
            assert {r.status for r in await asyncio.gather(*calls)} == {200}
            assert cell.count_excess() == 0
            return len(cell.runners["far"].request_log)

    assert asyncio.run(scenario(TEST_POLICY)) > 0
    own_region_policy = replace(TEST_POLICY, region_policy=RegionPolicy.OWN_REGION)
    assert asyncio.run(scenario(own_region_policy)) == 0
    long_wait_policy = replace(TEST_POLICY, cross_region_wait_ms=4_000)
    assert asyncio.run(scenario(long_wait_policy)) == 0


def test_no_runner_s_limits_are_exceeded_when_a_host_dies_with_a_loan_in_use():
    async def scenario():
        hosts = {"a-1": "a", "a-2": "a"}
        async with open_cell(runners=1, hosts=hosts, service_ms=300.0) as cell:
            runner = cell.runners["runner-0"]
            calls = [asyncio.create_task(cell.call("a-1")) for _ in range(12)]
            await wait_until(lambda: runner.running > 4)
            borrowed = runner.running - 4
            await cell.kill_host("a-1")
            await asyncio.gather(*calls, return_exceptions=True)
            await asyncio.gather(*(cell.call("a-2") for _ in range(12)))
            assert borrowed > 0
            assert cell.count_excess() == 0

    asyncio.run(scenario())


def test_a_zone_that_is_cut_off_serves_its_callers_from_its_own_runners():
    async def scenario():
        hosts = {"a-1": "a", "b-1": "b"}
        async with open_cell(runners=1, hosts=hosts) as cell:
            await cell.add_runner("far", zone="b")
            cell.table.down = True
            await cell.kill_host("b-1")
            cell.runners["far"].down = True
            calls = [cell.call("a-1", x_deadline_ms="5000") for _ in range(50)]
            assert {r.status for r in await asyncio.gather(*calls)} == {200}
            assert cell.count_excess() == 0

    asyncio.run(scenario())
