"""Zones are partitioned, partitions overlap, and every entry host is replaced under load."""

import time

from tests.common.cells import (
    check_no_duplicate_runs_or_overcommit,
    list_runs,
    open_relays,
    run_cell,
    set_platform_faults,
    submit,
    wait_for_leader,
    wait_until,
    wait_until_jobs_end,
    wait_until_roster_complete,
    wait_until_tasks_succeed,
)

NEAR = "portland-dock"
FAR = "holyoke-mill"
CUT_SECONDS = 7.0
"""Longer than the leader's lease and than the leases of tasks."""


def list_host_names(deployment, zone):
    return [host.host for host in deployment.cell.entry_hosts if host.zone == zone]


def list_entry_host_pairs(relays, names):
    """Return the relay pairs between the hosts in `names` and other entry hosts, not workers."""
    return [pair for pair in relays.list_pairs(set(names)) if "worker" not in pair[1]]


def test_a_partitioned_zone_completes_its_running_tasks(tmp_path):
    with (
        open_relays() as relays,
        run_cell(tmp_path, zones=2, workers=1, relays=relays) as deployment,
    ):
        wait_until_roster_complete(deployment, NEAR)
        wait_until_roster_complete(deployment, FAR)
        submit(deployment, "long", f"tasks=8 cpu=1 memory=1GiB run=9s zones={NEAR}")
        wait_until(lambda: len(list_runs(deployment)) == 8, "all long tasks have started")
        cut_off = list_host_names(deployment, NEAR)
        relays.cut(*list_entry_host_pairs(relays, cut_off))
        set_platform_faults(deployment, cut=cut_off)
        connected = [host for host in deployment.cell.entry_hosts if host.zone == FAR]
        submit(
            deployment,
            "meanwhile",
            f"tasks=8 cpu=1 memory=1GiB run=300ms zones={FAR}",
            hosts=connected,
        )
        wait_until_tasks_succeed(deployment, {"meanwhile": 8})
        time.sleep(CUT_SECONDS)
        relays.heal()
        set_platform_faults(deployment, cut=[])
        jobs = {"long": 8, "meanwhile": 8}
        wait_until_tasks_succeed(deployment, jobs)
        wait_until_jobs_end(deployment, jobs)
        check_no_duplicate_runs_or_overcommit(deployment)


def test_overlapping_partitions_run_no_task_twice(tmp_path):
    with open_relays() as relays, run_cell(tmp_path, entry_hosts=3, relays=relays) as deployment:
        leader = wait_until_roster_complete(deployment, NEAR)
        jobs = {f"rebuild-{number}": 60 for number in range(2)}
        for job in jobs:
            submit(deployment, job, "tasks=60 cpu=1 memory=1GiB run=700ms")
        relays.cut(*list_entry_host_pairs(relays, [leader]))
        set_platform_faults(deployment, cut=[leader])
        second = wait_for_leader(deployment, NEAR, other_than=leader)
        relays.cut(*list_entry_host_pairs(relays, [second]))
        set_platform_faults(deployment, cut=[leader, second])
        wait_until(
            lambda: wait_for_leader(deployment, NEAR, other_than=second) != leader,
            "the third host leads",
        )
        relays.heal()
        set_platform_faults(deployment, cut=[])
        wait_until_tasks_succeed(deployment, jobs)
        wait_until_jobs_end(deployment, jobs)
        check_no_duplicate_runs_or_overcommit(deployment)


def test_replacing_every_entry_host_under_load_loses_no_task_and_runs_none_twice(tmp_path):
    with run_cell(tmp_path, entry_hosts=3) as deployment:
        wait_until_roster_complete(deployment, NEAR)
        jobs = {}
        for number, host in enumerate(deployment.cell.entry_hosts):
            job = f"rebuild-{number}"
            submit(deployment, job, "tasks=60 cpu=1 memory=1GiB run=500ms")
            jobs[job] = 60
            assert deployment.terminate(host.host) == 0
            deployment.start_entry_host(host)
            wait_until_roster_complete(deployment, NEAR)
        wait_until_tasks_succeed(deployment, jobs)
        wait_until_jobs_end(deployment, jobs)
        check_no_duplicate_runs_or_overcommit(deployment)
