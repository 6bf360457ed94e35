"""Several entry hosts on the stand-in platform: every accepted job is done once, whatever fails."""

from __future__ import annotations

import asyncio
import json

from lentilpath_core.ids import JobId
from lentilpath_core.pool import QueueId
from lentilpathd._clock import MS_PER_SECOND, read_instant
from lentilpathd._pool._leadership import LEASE_MS
from tests.common.fleet.deployment import Fleet, make_step, run_fleet
from tests.common.requests import wait_until


def play(scenario, **sizes) -> None:
    async def run() -> None:
        async with run_fleet(**sizes) as fleet:
            await scenario(fleet)
            fleet.check_truth()

    asyncio.run(run())


async def submit_many(fleet: Fleet, count: int, *steps: dict[str, object]) -> list[str]:
    jobs = []
    alive = [each for each in fleet.hosts if not each.task.done()]
    for number in range(count):
        job, status = await fleet.submit(alive[number % len(alive)], *steps)
        assert status == 200
        jobs.append(job)
    return jobs


def have_own_way(fleet: Fleet) -> list[bool]:
    return [each.host.table.is_own_way_open() for each in fleet.hosts if not each.task.done()]


async def expect_all_completed(fleet: Fleet, jobs: list[str]) -> None:
    asked = next(each for each in fleet.hosts if not each.task.done())
    for job in jobs:
        assert await fleet.wait_for_end(asked, job) == "completed"


def test_jobs_with_steps_and_gangs_complete_on_a_calm_day():
    async def scenario(fleet: Fleet) -> None:
        steps = (make_step(2), make_step(3, after=[0], gangScheduled=True))
        await expect_all_completed(fleet, await submit_many(fleet, 10, *steps))

    play(scenario)


def test_the_same_job_submitted_again_through_another_host_is_one_job():
    async def scenario(fleet: Fleet) -> None:
        first, second, _ = fleet.hosts
        job, status = await fleet.submit(first)
        assert status == 200
        assert (await fleet.submit(second, job=job))[1] == 200
        await expect_all_completed(fleet, [job])
        assert len(fleet.log) == 1

    play(scenario)


def test_unknown_jobs_queues_and_methods_are_told_apart():
    async def scenario(fleet: Fleet) -> None:
        host = fleet.hosts[0]
        assert (await host.call("GET", "/checks/00000000000000ff")).status == 410
        assert (await host.call("DELETE", "/checks/00000000000000ff")).status == 410
        assert (await host.call("GET", "/other/00000000000000ff")).status == 404
        assert (await host.call("POST", "/checks/00000000000000ff", {"steps": []})).status == 400
        await wait_until(lambda: host.host.jobs.count_pending(QueueId("r-checks")) is not None)
        assert json.loads((await host.call("GET", "/checks/")).body) == {"pending": 0}

    play(scenario)


def test_a_killed_leader_loses_and_doubles_nothing():
    async def scenario(fleet: Fleet) -> None:
        jobs = await submit_many(fleet, 12, make_step(2))
        leader = await fleet.wait_for_leader()
        await leader.kill()
        jobs += await submit_many(fleet, 6)
        await expect_all_completed(fleet, jobs)

    play(scenario, run_seconds=0.3)


def test_a_leader_that_the_table_turns_away_goes_on_through_another_host():
    async def scenario(fleet: Fleet) -> None:
        leader = await fleet.wait_for_leader()
        await wait_until(lambda: len(leader.host.members.list_helpers(read_instant())) == 2)
        leader.faults.refuses = True
        await wait_until(lambda: not leader.host.table.is_own_way_open())
        await expect_all_completed(fleet, await submit_many(fleet, 6))

    play(scenario)


def test_a_job_is_refused_at_once_with_a_time_to_come_back_while_the_table_is_away():
    async def scenario(fleet: Fleet) -> None:
        for host in fleet.hosts:
            host.faults.refuses = True
        response = await fleet.hosts[0].call("POST", "/checks/00000000000000aa", {"steps": [{}]})
        assert response.status == 503
        assert response.get_header("retry-after") == "1"
        await wait_until(lambda: not any(have_own_way(fleet)))
        for host in fleet.hosts:
            host.faults.refuses = False
        assert fleet.log == []
        await wait_until(lambda: all(have_own_way(fleet)))
        await expect_all_completed(fleet, await submit_many(fleet, 3))

    play(scenario)


def test_lost_answers_of_the_table_lose_and_double_nothing():
    async def scenario(fleet: Fleet) -> None:
        for host in fleet.hosts:
            host.faults.loses_answers = 4
        jobs = []
        for _ in range(12):
            job, status = await fleet.submit(fleet.hosts[0])
            while status == 504:
                job, status = await fleet.submit(fleet.hosts[1], job=job)
            assert status == 200
            jobs.append(job)
        await expect_all_completed(fleet, jobs)

    play(scenario)


def test_lost_answers_of_workers_double_nothing():
    async def scenario(fleet: Fleet) -> None:
        for worker in fleet.workers:
            worker.loses_answers = 3
        await expect_all_completed(fleet, await submit_many(fleet, 12))

    play(scenario)


def test_a_history_of_changes_that_is_lost_hides_no_job():
    async def scenario(fleet: Fleet) -> None:
        for host in fleet.hosts:
            host.faults.forgets = True
        await expect_all_completed(fleet, await submit_many(fleet, 6))

    play(scenario)


def test_a_cancelled_job_is_shown_as_such_and_its_run_ends():
    async def scenario(fleet: Fleet) -> None:
        host = fleet.hosts[0]
        job, _ = await fleet.submit(host)
        await wait_until(lambda: bool(fleet.log))
        assert (await host.call("DELETE", f"/checks/{job}")).status == 200
        assert await fleet.wait_for_end(fleet.hosts[1], job) == "cancelled"
        await wait_until(lambda: fleet.log[0].ended is not None)
        assert fleet.log[0].how == "stopped"

    play(scenario, run_seconds=30.0)


def test_an_unreadable_entry_of_the_registry_stops_nothing():
    async def scenario(fleet: Fleet) -> None:
        fleet.store.put("servers", "", "stranger", b"\xff no entry")
        fleet.store.put("servers", "", "half", b'{"service":"planner","state":"odd"}')
        await asyncio.sleep(0.8)
        await expect_all_completed(fleet, await submit_many(fleet, 3))

    play(scenario)


def test_a_host_that_knows_of_no_leader_does_not_say_that_nothing_waits():
    async def scenario(fleet: Fleet) -> None:
        leader = await fleet.wait_for_leader()
        others = [each for each in fleet.hosts if each is not leader]
        for host in fleet.hosts:
            host.faults.refuses = True
        await leader.kill()
        await asyncio.sleep(2.5)
        for host in others:
            assert (await host.call("GET", "/checks/")).status == 503

    play(scenario)


def test_a_job_that_was_accepted_is_never_said_not_to_run_while_the_table_is_away():
    async def scenario(fleet: Fleet) -> None:
        leader = await fleet.wait_for_leader()
        other = next(each for each in fleet.hosts if each is not leader)
        (job,) = await submit_many(fleet, 1)
        await expect_all_completed(fleet, [job])
        for host in fleet.hosts:
            host.faults.refuses = True
        await wait_until(lambda: not any(have_own_way(fleet)))
        for host in (leader, other):
            assert (await fleet.submit(host, job=job))[1] == 200
            assert (await fleet.submit(host, job="00000000000000ee"))[1] == 503
        await leader.kill()
        assert (await fleet.submit(other, job="00000000000000ef"))[1] == 504

    play(scenario)


def test_a_job_whose_storing_is_unclear_is_not_said_not_to_run_by_another_host():
    async def scenario(fleet: Fleet) -> None:
        leader = await fleet.wait_for_leader()
        first, second = (each for each in fleet.hosts if each is not leader)
        await wait_until(lambda: second.host.greeter.get_leader() == leader.host.settings.host)
        await wait_until(lambda: first.host.greeter.get_leader() == leader.host.settings.host)
        job = JobId("00000000000000dd")
        first.host.jobs.note_unclear(job)
        await wait_until(lambda: leader.host.unclear.has(job, read_instant()))
        for host in fleet.hosts:
            host.faults.refuses = True
        await wait_until(lambda: not any(have_own_way(fleet)))
        assert (await fleet.submit(second, job=job))[1] == 504
        assert (await fleet.submit(second, job="00000000000000de"))[1] == 503

    play(scenario)


def test_a_much_faster_host_is_given_the_leadership_and_nothing_is_lost_or_doubled():
    async def scenario(fleet: Fleet) -> None:
        slow = await fleet.wait_for_leader()
        jobs = await submit_many(fleet, 6, make_step(2))
        fast = await fleet.add_host(cores=4.0)
        await wait_until(lambda: fleet.find_leader() is fast)
        jobs += await submit_many(fleet, 6)
        await expect_all_completed(fleet, jobs)
        assert not slow.host.is_leading()

    play(scenario, run_seconds=0.5)


def test_a_worker_that_is_started_anew_under_its_id_doubles_nothing():
    async def scenario(fleet: Fleet) -> None:
        jobs = []
        for _ in range(6):
            jobs += await submit_many(fleet, 6, make_step(2))
            for worker in fleet.workers:
                worker.restart()
        await expect_all_completed(fleet, jobs)
        done = [run for run in fleet.log if run.how == "done" and run.is_acknowledged]
        assert len({run.task for run in done}) == len(done)

    play(scenario, run_seconds=0.15)


def test_a_host_whose_way_to_the_table_falls_silent_settles_a_submission_through_another():
    async def scenario(fleet: Fleet) -> None:
        leader = await fleet.wait_for_leader()
        host = next(each for each in fleet.hosts if each is not leader)
        helpers = host.host.members.list_helpers
        await wait_until(lambda: len(helpers(read_instant())) == 2)
        host.faults.silent = True
        job, status = await fleet.submit(host)
        assert status == 200
        await expect_all_completed(fleet, [job])

    play(scenario)


def test_a_leader_whose_way_to_the_table_falls_silent_renews_its_lease_through_another():
    async def scenario(fleet: Fleet) -> None:
        leader = await fleet.wait_for_leader()
        helpers = leader.host.members.list_helpers
        await wait_until(lambda: len(helpers(read_instant())) == 2)
        leader.faults.silent = True
        jobs = await submit_many(fleet, 6)
        await asyncio.sleep(2 * LEASE_MS / MS_PER_SECOND)
        assert leader.host.is_leading()
        await expect_all_completed(fleet, [*jobs, *await submit_many(fleet, 3)])
        assert leader.host.leadership.seen is None or leader.host.leadership.seen.epoch <= 1

    play(scenario)
