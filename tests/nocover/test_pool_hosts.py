"""Entry hosts on the stand-in platform complete every accepted job once, whatever fails."""

from __future__ import annotations

import asyncio
import json

from lentilpath_core.ids import JobId
from lentilpath_core.pool import QueueId
from lentilpathd._clock import MS_PER_SECOND, read_instant
from lentilpathd._pool._leadership import (
    LEASE_MS,
)
from tests.common.fleet.deployment import Fleet, make_step, run_fleet
from tests.common.fleet.store import StoreFaults
from tests.common.requests import wait_until


def run_scenario(scenario, **sizes) -> None:
    async def run() -> None:
        async with run_fleet(**sizes) as fleet:
            await scenario(fleet)
            fleet.check_observed_runs()

    asyncio.run(run())


async def submit_many(fleet: Fleet, count: int, *steps: dict[str, object]) -> list[str]:
    jobs = []
    alive = [each for each in fleet.hosts if not each.task.done()]
    for number in range(count):
        job, status = await fleet.submit(alive[number % len(alive)], *steps)
        assert status == 200
        jobs.append(job)
    return jobs


def list_direct_path_states(fleet: Fleet) -> list[bool]:
    return [each.host.table.is_direct_path_up() for each in fleet.hosts if not each.task.done()]


async def expect_all_completed(fleet: Fleet, jobs: list[str]) -> None:
    host = next(each for each in fleet.hosts if not each.task.done())
    for job in jobs:
        assert await fleet.wait_for_end(host, job) == "completed"


def test_jobs_with_steps_and_gangs_complete_without_faults():
    async def scenario(fleet: Fleet) -> None:
        steps = (make_step(2), make_step(3, after=[0], gangScheduled=True))
        await expect_all_completed(fleet, await submit_many(fleet, 10, *steps))

    run_scenario(scenario)


def test_the_same_job_submitted_again_through_another_host_is_one_job():
    async def scenario(fleet: Fleet) -> None:
        first, second, _ = fleet.hosts
        job, status = await fleet.submit(first)
        assert status == 200
        assert (await fleet.submit(second, job=job))[1] == 200
        await expect_all_completed(fleet, [job])
        assert len(fleet.log) == 1

    run_scenario(scenario)


def test_unknown_jobs_unknown_queues_and_invalid_bodies_get_distinct_statuses():
    async def scenario(fleet: Fleet) -> None:
        host = fleet.hosts[0]
        assert (await host.call("GET", "/checks/00000000000000ff")).status == 410
        assert (await host.call("DELETE", "/checks/00000000000000ff")).status == 410
        assert (await host.call("GET", "/other/00000000000000ff")).status == 404
        assert (await host.call("POST", "/checks/00000000000000ff", {"steps": []})).status == 400
        await wait_until(lambda: host.host.jobs.count_pending(QueueId("r-checks")) is not None)
        assert json.loads((await host.call("GET", "/checks/")).body) == {"pending": 0}

    run_scenario(scenario)


def test_a_host_that_has_not_read_its_configuration_asks_callers_to_return_and_then_serves():
    async def scenario(fleet: Fleet) -> None:
        late = await fleet.add_host(faults=StoreFaults(is_unavailable=True))
        assert not late.host.is_ready()
        refused = await late.call("POST", "/checks/00000000000000aa", {"steps": [make_step()]})
        assert refused.status == 503
        assert int(refused.get_header("retry-after") or "0") > 0
        assert (await fleet.hosts[0].call("GET", "/checks/00000000000000aa")).status == 410
        late.faults.is_unavailable = False
        await wait_until(late.host.is_ready)
        assert (await fleet.submit(late))[1] == 200

    run_scenario(scenario, hosts=1)


def test_a_killed_leader_loses_no_job_and_runs_no_task_twice():
    async def scenario(fleet: Fleet) -> None:
        jobs = await submit_many(fleet, 12, make_step(2))
        leader = await fleet.wait_for_leader()
        await leader.kill()
        jobs += await submit_many(fleet, 6)
        await expect_all_completed(fleet, jobs)

    run_scenario(scenario, run_seconds=0.3)


def test_a_leader_that_the_table_refuses_uses_another_host_as_a_relay():
    async def scenario(fleet: Fleet) -> None:
        leader = await fleet.wait_for_leader()
        await wait_until(lambda: len(leader.host.members.list_relay_hosts(read_instant())) == 2)
        leader.faults.is_unavailable = True
        await wait_until(lambda: not leader.host.table.is_direct_path_up())
        await expect_all_completed(fleet, await submit_many(fleet, 6))

    run_scenario(scenario)


def test_a_job_is_refused_at_once_with_a_retry_delay_while_the_table_is_unavailable():
    async def scenario(fleet: Fleet) -> None:
        for host in fleet.hosts:
            host.faults.is_unavailable = True
        response = await fleet.hosts[0].call("POST", "/checks/00000000000000aa", {"steps": [{}]})
        assert response.status == 503
        assert response.get_header("retry-after") == "3", "the delay is spread by the job's id"
        await wait_until(lambda: not any(list_direct_path_states(fleet)))
        for host in fleet.hosts:
            host.faults.is_unavailable = False
        assert fleet.log == []
        await wait_until(lambda: all(list_direct_path_states(fleet)))
        await expect_all_completed(fleet, await submit_many(fleet, 3))

    run_scenario(scenario)


def test_lost_responses_of_the_table_lose_no_job_and_run_no_task_twice():
    async def scenario(fleet: Fleet) -> None:
        for host in fleet.hosts:
            host.faults.lost_responses = 4
        jobs = []
        for _ in range(12):
            job, status = await fleet.submit(fleet.hosts[0])
            while status == 504:
                job, status = await fleet.submit(fleet.hosts[1], job=job)
            assert status == 200
            jobs.append(job)
        await expect_all_completed(fleet, jobs)

    run_scenario(scenario)


def test_lost_responses_of_workers_run_no_task_twice():
    async def scenario(fleet: Fleet) -> None:
        for worker in fleet.workers:
            worker.lost_responses = 3
        await expect_all_completed(fleet, await submit_many(fleet, 12))

    run_scenario(scenario)


def test_jobs_complete_although_the_change_feed_has_lost_its_history():
    async def scenario(fleet: Fleet) -> None:
        for host in fleet.hosts:
            host.faults.history_lost = True
        await expect_all_completed(fleet, await submit_many(fleet, 6))

    run_scenario(scenario)


def test_a_cancelled_job_is_shown_as_such_and_its_run_ends():
    async def scenario(fleet: Fleet) -> None:
        host = fleet.hosts[0]
        job, _ = await fleet.submit(host)
        await wait_until(lambda: bool(fleet.log))
        assert (await host.call("DELETE", f"/checks/{job}")).status == 200
        assert await fleet.wait_for_end(fleet.hosts[1], job) == "cancelled"
        await wait_until(lambda: fleet.log[0].ended_at is not None)
        assert fleet.log[0].outcome == "stopped"

    run_scenario(scenario, run_seconds=30.0)


def test_an_unreadable_registry_entry_stops_no_job():
    async def scenario(fleet: Fleet) -> None:
        fleet.store.put("servers", "", "stranger", b"\xff no entry")
        fleet.store.put("servers", "", "half", b'{"service":"planner","state":"odd"}')
        await asyncio.sleep(0.8)
        await expect_all_completed(fleet, await submit_many(fleet, 3))

    run_scenario(scenario)


def test_unusable_rows_of_every_table_stop_neither_the_leader_nor_the_next_one():
    """Guards against a row that ends each new leader's term, on one host after the other."""

    async def scenario(fleet: Fleet) -> None:
        jobs = await submit_many(fleet, 3, make_step(2))
        first = await fleet.wait_for_leader()
        for value in (b"", b"\xff", b"\x91" * 50_000, b"x" * 60_000):
            fleet.store.put("servers", "", "stranger", value)
            fleet.store.put("op", "", "config", value)
            for key in ("x", f"{jobs[0]}/cancel/x", "00000000000000ff"):
                fleet.store.put("lentilpath-jobs", "0", key, value)
            for key in (
                "0workers/1/9/9",
                "0workers/x",
                "end/x",
                "final/00000000000000fe",
                "0lease",
            ):
                fleet.store.put("lentilpath-pool", "cell", key, value)
            await asyncio.sleep(0.3)
        jobs += await submit_many(fleet, 3)
        await first.kill()
        jobs += await submit_many(fleet, 3, make_step(2))
        await expect_all_completed(fleet, jobs)
        assert not any(each.task.done() for each in fleet.hosts if each is not first)

    run_scenario(scenario, run_seconds=0.3)


def test_a_host_that_knows_no_leader_does_not_report_an_empty_queue():
    async def scenario(fleet: Fleet) -> None:
        leader = await fleet.wait_for_leader()
        others = [each for each in fleet.hosts if each is not leader]
        for host in fleet.hosts:
            host.faults.is_unavailable = True
        await leader.kill()
        await asyncio.sleep(2.5)
        for host in others:
            assert (await host.call("GET", "/checks/")).status == 503

    run_scenario(scenario)


def test_an_accepted_job_is_never_reported_as_not_run_while_the_table_is_unavailable():
    async def scenario(fleet: Fleet) -> None:
        leader = await fleet.wait_for_leader()
        other = next(each for each in fleet.hosts if each is not leader)
        (job,) = await submit_many(fleet, 1)
        await expect_all_completed(fleet, [job])
        for host in fleet.hosts:
            host.faults.is_unavailable = True
        await wait_until(lambda: not any(list_direct_path_states(fleet)))
        for host in (leader, other):
            assert (await fleet.submit(host, job=job))[1] == 200
            assert (await fleet.submit(host, job="00000000000000ee"))[1] == 503
        await leader.kill()
        assert (await fleet.submit(other, job="00000000000000ef"))[1] == 504

    run_scenario(scenario)


def test_a_job_whose_write_has_an_unknown_outcome_is_not_reported_as_not_run_by_another_host():
    async def scenario(fleet: Fleet) -> None:
        leader = await fleet.wait_for_leader()
        first, second = (each for each in fleet.hosts if each is not leader)
        await wait_until(
            lambda: second.host.heartbeat_sender.get_leader() == leader.host.settings.host
        )
        await wait_until(
            lambda: first.host.heartbeat_sender.get_leader() == leader.host.settings.host
        )
        job = JobId("00000000000000dd")
        first.host.jobs.mark_unclear(job)
        await wait_until(lambda: leader.host.unclear_jobs.has(job, read_instant()))
        for host in fleet.hosts:
            host.faults.is_unavailable = True
        await wait_until(lambda: not any(list_direct_path_states(fleet)))
        assert (await fleet.submit(second, job=job))[1] == 504
        assert (await fleet.submit(second, job="00000000000000de"))[1] == 503

    run_scenario(scenario)


def test_a_much_faster_host_gets_the_leadership_and_no_job_is_lost_or_run_twice():
    async def scenario(fleet: Fleet) -> None:
        slow = await fleet.wait_for_leader()
        jobs = await submit_many(fleet, 6, make_step(2))
        fast = await fleet.add_host(cores=4.0)
        await wait_until(lambda: fleet.find_leader() is fast)
        jobs += await submit_many(fleet, 6)
        await expect_all_completed(fleet, jobs)
        assert not slow.host.is_leading()

    run_scenario(scenario, run_seconds=0.5)


def test_a_worker_restarted_under_its_id_runs_no_task_twice():
    async def scenario(fleet: Fleet) -> None:
        jobs = []
        for _ in range(6):
            jobs += await submit_many(fleet, 6, make_step(2))
            for worker in fleet.workers:
                worker.restart()
        await expect_all_completed(fleet, jobs)
        done = [run for run in fleet.log if run.outcome == "done" and run.is_acknowledged]
        assert len({run.task for run in done}) == len(done)

    run_scenario(scenario, run_seconds=0.15)


def test_a_host_whose_table_connection_hangs_completes_a_submission_through_a_relay():
    async def scenario(fleet: Fleet) -> None:
        leader = await fleet.wait_for_leader()
        host = next(each for each in fleet.hosts if each is not leader)
        list_relay_hosts = host.host.members.list_relay_hosts
        await wait_until(lambda: len(list_relay_hosts(read_instant())) == 2)
        host.faults.hangs = True
        job, status = await fleet.submit(host)
        assert status == 200
        await expect_all_completed(fleet, [job])

    run_scenario(scenario)


def test_a_leader_whose_table_connection_hangs_renews_its_lease_through_a_relay():
    async def scenario(fleet: Fleet) -> None:
        leader = await fleet.wait_for_leader()
        list_relay_hosts = leader.host.members.list_relay_hosts
        await wait_until(lambda: len(list_relay_hosts(read_instant())) == 2)
        leader.faults.hangs = True
        jobs = await submit_many(fleet, 6)
        await asyncio.sleep(2 * LEASE_MS / MS_PER_SECOND)
        assert leader.host.is_leading()
        await expect_all_completed(fleet, [*jobs, *await submit_many(fleet, 3)])
        assert leader.host.leadership.snapshot is None or leader.host.leadership.snapshot.epoch <= 1

    run_scenario(scenario)


def test_hosts_stay_ready_while_the_table_is_silent_and_hold_a_submission_until_it_is_back():
    async def scenario(fleet: Fleet) -> None:
        await fleet.wait_for_leader()
        digests = [each.host.heartbeat_sender for each in fleet.hosts]
        await wait_until(lambda: all(each.has_recent_digest(read_instant()) for each in digests))
        for host in fleet.hosts:
            host.faults.hangs = True
        await wait_until(lambda: not any(list_direct_path_states(fleet)))
        submitting = asyncio.create_task(fleet.submit(fleet.hosts[1]))
        await asyncio.sleep(1.0)
        assert all(each.host.is_ready() for each in fleet.hosts)
        for host in fleet.hosts:
            host.faults.hangs = False
        job, status = await submitting
        assert status == 200
        await expect_all_completed(fleet, [job])

    run_scenario(scenario)
