"""Zones are cut off, cuts overlap, and every entry host is replaced under load."""

import time

from tests.common.cells import (
    check_nothing_doubled_or_overcommitted,
    list_runs,
    open_relays,
    run_cell,
    submit,
    switch_platform,
    wait_for_leader,
    wait_until,
    wait_until_ran,
    wait_until_recorded,
    wait_until_settled,
)

NEAR = "portland-dock"
FAR = "holyoke-mill"
CUT_SECONDS = 7.0
"""Longer than the leader's lease and than the leases of tasks."""


def list_names(deployment, zone):
    return [host.host for host in deployment.cell.entry_hosts if host.zone == zone]


def list_outward_pairs(relays, names):
    """Return the relays between the hosts `names` and other entry hosts, without the workers."""
    return [pair for pair in relays.list_pairs(set(names)) if "worker" not in pair[1]]


def test_a_zone_that_is_cut_off_goes_on_with_what_it_runs(tmp_path):
    with (
        open_relays() as relays,
        run_cell(tmp_path, zones=2, workers=1, relays=relays) as deployment,
    ):
        wait_until_settled(deployment, NEAR)
        wait_until_settled(deployment, FAR)
        submit(deployment, "long", f"tasks=8 cpu=1 memory=1GiB run=9s zones={NEAR}")
        wait_until(lambda: len(list_runs(deployment)) == 8, "the long tasks run")
        cut_off = list_names(deployment, NEAR)
        relays.cut(*list_outward_pairs(relays, cut_off))
        switch_platform(deployment, cut=cut_off)
        connected = [host for host in deployment.cell.entry_hosts if host.zone == FAR]
        submit(
            deployment,
            "meanwhile",
            f"tasks=8 cpu=1 memory=1GiB run=300ms zones={FAR}",
            hosts=connected,
        )
        wait_until_ran(deployment, {"meanwhile": 8})
        time.sleep(CUT_SECONDS)
        relays.heal()
        switch_platform(deployment, cut=[])
        jobs = {"long": 8, "meanwhile": 8}
        wait_until_ran(deployment, jobs)
        wait_until_recorded(deployment, jobs)
        check_nothing_doubled_or_overcommitted(deployment)


def test_two_cuts_that_overlap_double_nothing(tmp_path):
    with open_relays() as relays, run_cell(tmp_path, entry_hosts=3, relays=relays) as deployment:
        leader = wait_until_settled(deployment, NEAR)
        jobs = {f"rebuild-{number}": 60 for number in range(2)}
        for job in jobs:
            submit(deployment, job, "tasks=60 cpu=1 memory=1GiB run=700ms")
        relays.cut(*list_outward_pairs(relays, [leader]))
        switch_platform(deployment, cut=[leader])
        second = wait_for_leader(deployment, NEAR, other_than=leader)
        relays.cut(*list_outward_pairs(relays, [second]))
        switch_platform(deployment, cut=[leader, second])
        wait_until(
            lambda: wait_for_leader(deployment, NEAR, other_than=second) != leader,
            "the third host leads",
        )
        relays.heal()
        switch_platform(deployment, cut=[])
        wait_until_ran(deployment, jobs)
        wait_until_recorded(deployment, jobs)
        check_nothing_doubled_or_overcommitted(deployment)


def test_replacing_every_entry_host_under_load_loses_and_doubles_nothing(tmp_path):
    with run_cell(tmp_path, entry_hosts=3) as deployment:
        wait_until_settled(deployment, NEAR)
        jobs = {}
        for number, host in enumerate(deployment.cell.entry_hosts):
            job = f"rebuild-{number}"
            submit(deployment, job, "tasks=60 cpu=1 memory=1GiB run=500ms")
            jobs[job] = 60
            assert deployment.terminate(host.host) == 0
            deployment.start_entry_host(host)
            wait_until_settled(deployment, NEAR)
        wait_until_ran(deployment, jobs)
        wait_until_recorded(deployment, jobs)
        check_nothing_doubled_or_overcommitted(deployment)
