"""Hosts share each runner's slots and connections without exceeding either."""

import asyncio
from collections import Counter
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from lentilpath_core.ids import HostId, Incarnation, Instant, UpstreamId
from lentilpath_core.requests.shares import (
    BorrowedShare,
    HomeLedger,
    LoanReply,
    begin_loan_request,
    compute_home_share,
    end_loan_request,
    lend_slots,
)
from tests.common.requests import open_cell, wait_until

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


ACTIONS = st.sampled_from(("ask", "handle", "reply", "lose", "begin", "end", "die", "use_home"))


@given(st.lists(st.tuples(ACTIONS, st.integers(0, 1), st.integers(0, 90)), max_size=60))
def test_loans_never_exceed_the_home_however_messages_are_lost_late_or_reordered(steps):
    now = Instant(0)
    ledger = HomeLedger()
    shares = [BorrowedShare(), BorrowedShare()]
    ended_by_death: list[Any] = []  # (until, count) of requests whose host died
    home_in_use = 0
    boots = [0, 0]
    unhandled: list[Any] = []
    replies: list[Any] = []
    running: list[Any] = [[], []]
    for action, who, passed in steps:
        now = Instant(now + passed)
        for ends in running:
            for began in [b for b in ends if now > b + MAX_RUN_MS]:
                ends.remove(began)
        for index, share in enumerate(shares):
            share.in_use = len(running[index])
        ended_by_death = [(until, n) for until, n in ended_by_death if now <= until]
        share = shares[who]
        if action == "ask" and not share.asking:
            request = begin_loan_request(share, RUNNER, share.in_use + 2)
            unhandled.append((who, boots[who], request, now, share))
        elif action == "handle" and unhandled:
            sender, boot, request, asked_at, asker = unhandled.pop(-1 if who else 0)
            lent = ledger.count_lent(now, MAX_RUN_MS)
            idle = HOME_SLOTS - lent - home_in_use
            granted = lend_slots(
                ledger,
                Incarnation(f"{sender}/{boot}"),
                request,
                idle,
                HOME_SLOTS,
                now,
                LEASE_MS,
                MAX_RUN_MS,
            )
            replies.append((asker, request, LoanReply(granted, LEASE_MS), asked_at))
        elif action == "reply" and replies:
            asker, request, reply, asked_at = replies.pop(-1 if who else 0)
            end_loan_request(asker, request, reply, asked_at)
        elif action == "lose":
            share.asking = False
        elif action == "begin" and share.count_free(now):
            running[who].append(now)
            share.in_use += 1
        elif action == "end" and running[who]:
            running[who].pop()
            share.in_use -= 1
        elif action == "die":
            ended_by_death.extend((began + MAX_RUN_MS, 1) for began in running[who])
            boots[who] += 1
            shares[who], running[who] = BorrowedShare(), []
        elif action == "use_home":
            free = HOME_SLOTS - ledger.count_lent(now, MAX_RUN_MS)
            home_in_use = min(home_in_use + 1, free) if home_in_use < free else 0
        orphans = sum(count for _, count in ended_by_death)
        assert home_in_use + sum(map(len, running)) + orphans <= HOME_SLOTS


def test_a_busy_host_borrows_idle_slots_of_its_region_and_exceeds_nothing():
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


def test_nothing_is_exceeded_when_a_host_dies_with_a_loan_in_use():
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
