"""The leader of a zone dies, pauses or is cut off while it places work."""

import signal
import time

from tests.common.cells import (
    check_nothing_doubled_or_overcommitted,
    open_relays,
    run_cell,
    submit,
    switch_platform,
    wait_for_leader,
    wait_until_ran,
    wait_until_recorded,
    wait_until_settled,
)

ZONE = "portland-dock"
MANY_TASKS = "tasks=60 cpu=1 memory=1GiB run=700ms"
PAUSE_SECONDS = 4.0
"""Longer than the leader's lease."""


def test_a_killed_leader_loses_and_doubles_nothing(tmp_path):
    with run_cell(tmp_path, entry_hosts=3) as deployment:
        leader = wait_until_settled(deployment, ZONE)
        jobs = {f"rebuild-{number}": 60 for number in range(3)}
        for job in jobs:
            submit(deployment, job, MANY_TASKS)
        deployment.kill(leader)
        wait_for_leader(deployment, ZONE, other_than=leader)
        wait_until_ran(deployment, jobs)
        wait_until_recorded(deployment, jobs)
        check_nothing_doubled_or_overcommitted(deployment)


def test_a_leader_that_wakes_after_its_lease_starts_nothing(tmp_path):
    with run_cell(tmp_path, entry_hosts=3) as deployment:
        leader = wait_until_settled(deployment, ZONE)
        jobs = {f"rebuild-{number}": 60 for number in range(3)}
        for job in jobs:
            submit(deployment, job, MANY_TASKS)
        deployment.send_signal(leader, signal.SIGSTOP)
        time.sleep(PAUSE_SECONDS)
        wait_for_leader(deployment, ZONE, other_than=leader)
        deployment.send_signal(leader, signal.SIGCONT)
        wait_until_ran(deployment, jobs)
        wait_until_recorded(deployment, jobs)
        check_nothing_doubled_or_overcommitted(deployment)


def test_a_leader_that_is_cut_off_alone_is_replaced_and_starts_nothing(tmp_path):
    with open_relays() as relays, run_cell(tmp_path, entry_hosts=3, relays=relays) as deployment:
        leader = wait_until_settled(deployment, ZONE)
        others = [host for host in deployment.cell.entry_hosts if host.host != leader]
        jobs = {f"rebuild-{number}": 60 for number in range(2)}
        for job in jobs:
            submit(deployment, job, MANY_TASKS)
        # It still reaches the workers, and nobody else.
        pairs = [pair for pair in relays.list_pairs({leader}) if "worker" not in pair[1]]
        relays.cut(*pairs)
        switch_platform(deployment, cut=[leader])
        wait_for_leader(deployment, ZONE, other_than=leader)
        submit(deployment, "after-the-cut", MANY_TASKS, hosts=others)
        jobs["after-the-cut"] = 60
        wait_until_ran(deployment, jobs)
        relays.heal()
        switch_platform(deployment, cut=[])
        wait_until_recorded(deployment, jobs)
        check_nothing_doubled_or_overcommitted(deployment)


def test_a_worker_that_the_leader_alone_cannot_reach_keeps_its_tasks_from_running_twice(tmp_path):
    with open_relays() as relays, run_cell(tmp_path, entry_hosts=2, relays=relays) as deployment:
        leader = wait_until_settled(deployment, ZONE)
        jobs = {"rebuild": 40}
        submit(deployment, "rebuild", "tasks=40 cpu=1 memory=1GiB run=2s idempotent=yes")
        time.sleep(0.5)
        relays.cut((leader, f"{ZONE}-worker-1"))
        time.sleep(PAUSE_SECONDS + 2.0)
        relays.heal()
        wait_until_ran(deployment, jobs)
        wait_until_recorded(deployment, jobs)
        check_nothing_doubled_or_overcommitted(deployment, may_repeat=jobs)
