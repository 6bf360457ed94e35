import asyncio

from lentilpath_core.ids import Instant
from lentilpath_core.settings import LeadershipSettings
from lentilpathd._clock import read_instant
from tests.common.leadership_hosts import (
    ZONE,
    ZoneHost,
    create_zone,
    restart_host,
    run_zone,
    wait_for,
    wait_for_leader,
)
from tests.common.platform import MemoryTable

ALL_RESPONSES = 10**9

SETTINGS = LeadershipSettings()
FAST = LeadershipSettings(
    lease_ms=1_000, renew_every_ms=200, newcomer_horizon_ms=3_000, promise_ms=1_000
)


def count_deciders(hosts: list[ZoneHost]) -> int:
    return sum(host.has_authority() for host in hosts)


def has_full_roster(host: ZoneHost, count: int) -> bool:
    row = host.read_row()
    return row is not None and len(row.roster) == count


def test_one_host_leads_and_all_know_it():
    async def scenario() -> None:
        table = MemoryTable()
        async with run_zone(create_zone(3, table, SETTINGS)) as hosts:
            leader = await wait_for_leader(hosts)
            name = leader.settings.host
            await wait_for(lambda: all(h.leadership.get_leader(ZONE) == name for h in hosts))
            await wait_for(lambda: has_full_roster(leader, 3))
            assert count_deciders(hosts) == 1

    asyncio.run(scenario())


def test_another_host_leads_after_a_kill():
    async def scenario() -> None:
        table = MemoryTable()
        async with run_zone(create_zone(3, table, FAST)) as hosts:
            leader = await wait_for_leader(hosts)
            await wait_for(lambda: has_full_roster(leader, 3))
            epoch = leader.expect_authority().epoch
            await leader.kill()
            others = [host for host in hosts if host is not leader]
            successor = await wait_for_leader(others)
            assert successor.expect_authority().epoch == epoch + 1

    asyncio.run(scenario())


def test_planned_stop_hands_over_at_once():
    async def scenario() -> None:
        table = MemoryTable()
        # With this lease, a takeover after its expiry would exceed the timeout of `wait_for`.
        slow = LeadershipSettings(lease_ms=100_000)
        async with run_zone(create_zone(3, table, slow)) as hosts:
            leader = await wait_for_leader(hosts)
            await wait_for(lambda: has_full_roster(leader, 3))
            await leader.leadership.release()
            assert leader.get_authority() is None
            successor = await wait_for_leader([host for host in hosts if host is not leader])
            assert successor is not leader

    asyncio.run(scenario())


def test_hand_over_waits_for_commands_of_unknown_outcome():
    async def scenario() -> None:
        table = MemoryTable()
        async with run_zone(create_zone(3, table, SETTINGS)) as hosts:
            leader = await wait_for_leader(hosts)
            await wait_for(lambda: has_full_roster(leader, 3))
            commands_end = Instant(read_instant() + 700)
            release = asyncio.create_task(leader.leadership.release(commands_end))
            others = [host for host in hosts if host is not leader]
            await wait_for_leader(others)
            assert read_instant() >= commands_end
            await release

    asyncio.run(scenario())


def test_outage_leaves_the_leader_in_place():
    async def scenario() -> None:
        table = MemoryTable()
        async with run_zone(create_zone(3, table, SETTINGS)) as hosts:
            leader = await wait_for_leader(hosts)
            await wait_for(lambda: has_full_roster(leader, 3))
            table.down = True
            await wait_for(lambda: leader.expect_authority().backed_by_table is False)
            await asyncio.sleep(3 * SETTINGS.lease_ms / 1_000)
            assert [host.has_authority() for host in hosts] == [host is leader for host in hosts]
            table.down = False
            await wait_for(lambda: leader.expect_authority().backed_by_table)

    asyncio.run(scenario())


def test_outage_with_a_missing_member_leaves_no_leader_until_the_table_is_back():
    async def scenario() -> None:
        table = MemoryTable()
        async with run_zone(create_zone(3, table, FAST)) as hosts:
            leader = await wait_for_leader(hosts)
            await wait_for(lambda: has_full_roster(leader, 3))
            table.down = True
            missing = next(host for host in hosts if host is not leader)
            await missing.kill()
            await wait_for(lambda: count_deciders(hosts) == 0)
            await asyncio.sleep(FAST.lease_ms / 1_000)
            assert count_deciders(hosts) == 0
            table.down = False
            await wait_for(lambda: count_deciders(hosts) == 1)

    asyncio.run(scenario())


def test_restart_of_every_host_at_once_does_not_wait_for_the_horizon():
    async def scenario() -> None:
        table = MemoryTable()
        async with run_zone(create_zone(3, table, SETTINGS)) as hosts:
            leader = await wait_for_leader(hosts)
            await wait_for(lambda: has_full_roster(leader, 3))
            for host in hosts:
                await host.kill()
        async with run_zone([restart_host(host, table) for host in hosts]) as restarted:
            successor = await wait_for_leader(restarted)
            assert successor.expect_authority().epoch == 2

    asyncio.run(scenario())


def test_table_slower_than_the_lease_still_leaves_a_leader():
    async def scenario() -> None:
        table = MemoryTable()
        async with run_zone(create_zone(3, table, SETTINGS)) as hosts:
            leader = await wait_for_leader(hosts)
            await wait_for(lambda: has_full_roster(leader, 3))
            table.answer_seconds = 1.2
            commits = table.commits
            while table.commits < commits + 4:
                assert leader.has_authority()
                await asyncio.sleep(0.02)
            await leader.kill()
            others = [host for host in hosts if host is not leader]
            await wait_for_leader(others)

    asyncio.run(scenario())


def test_lost_responses_do_not_end_the_leadership():
    async def scenario() -> None:
        table = MemoryTable()
        async with run_zone(create_zone(2, table, SETTINGS)) as hosts:
            leader = await wait_for_leader(hosts)
            await wait_for(lambda: has_full_roster(leader, 2))
            table.lose_answers = ALL_RESPONSES
            commits = table.commits
            await wait_for(lambda: table.commits >= commits + 10)
            assert leader.has_authority()

    asyncio.run(scenario())
