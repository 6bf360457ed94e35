"""The platform is away, slow, loses answers, applies writes late or lets connections die."""

import time

import pytest

from tests.common.cells import (
    check_nothing_doubled_or_overcommitted,
    list_runs,
    run_cell,
    send_command,
    submit,
    switch_platform,
    wait_until,
    wait_until_ran,
    wait_until_recorded,
    wait_until_settled,
)

ZONE = "portland-dock"
OUTAGE_SECONDS = 7.0
"""Longer than the leader's lease and than the leases of tasks."""


def test_running_tasks_outlive_an_outage_longer_than_any_lease(tmp_path):
    with run_cell(tmp_path, entry_hosts=2) as deployment:
        wait_until_settled(deployment, ZONE)
        jobs = {"long": 8, "short": 20}
        submit(deployment, "long", "tasks=8 cpu=1 memory=1GiB run=9s")
        wait_until(lambda: len(list_runs(deployment)) == 8, "the long tasks run")
        switch_platform(deployment, silent=True)
        time.sleep(OUTAGE_SECONDS)
        switch_platform(deployment, silent=False)
        submit(deployment, "short", "tasks=20 cpu=1 memory=1GiB run=300ms")
        wait_until_ran(deployment, jobs)
        wait_until_recorded(deployment, jobs)
        check_nothing_doubled_or_overcommitted(deployment)


def test_lost_answers_of_the_table_lose_and_double_nothing(tmp_path):
    with run_cell(tmp_path, entry_hosts=2) as deployment:
        wait_until_settled(deployment, ZONE)
        jobs = {f"notice-{number}": 5 for number in range(8)}
        for job in jobs:
            switch_platform(deployment, lose_answers=3)
            submit(deployment, job, "tasks=5 cpu=1 memory=1GiB run=200ms")
        switch_platform(deployment, lose_answers=0)
        wait_until_ran(deployment, jobs)
        wait_until_recorded(deployment, jobs)
        check_nothing_doubled_or_overcommitted(deployment)


def test_writes_applied_late_lose_and_double_nothing(tmp_path):
    with run_cell(tmp_path, entry_hosts=2) as deployment:
        wait_until_settled(deployment, ZONE)
        jobs = {f"notice-{number}": 5 for number in range(6)}
        for job in jobs:
            switch_platform(deployment, late_writes=2, late_ms=900)
            submit(deployment, job, "tasks=5 cpu=1 memory=1GiB run=200ms")
        switch_platform(deployment, late_writes=0)
        wait_until_ran(deployment, jobs)
        wait_until_recorded(deployment, jobs)
        check_nothing_doubled_or_overcommitted(deployment)


def test_connections_that_go_silent_for_good_stop_nothing(tmp_path):
    with run_cell(tmp_path, entry_hosts=2) as deployment:
        wait_until_settled(deployment, ZONE)
        submit(deployment, "before", "tasks=10 cpu=1 memory=1GiB run=1s")
        switch_platform(deployment, silence_open=1)
        jobs = {"before": 10, "after": 10}
        submit(deployment, "after", "tasks=10 cpu=1 memory=1GiB run=300ms")
        wait_until_ran(deployment, jobs)
        wait_until_recorded(deployment, jobs)
        check_nothing_doubled_or_overcommitted(deployment)


def test_of_two_operators_that_race_one_wins_and_both_are_told(tmp_path):
    with run_cell(tmp_path, entry_hosts=2) as deployment:
        wait_until_settled(deployment, ZONE)
        command = "submit batch same team=packing customer=harbor-spoon tasks={} run=200ms"
        first, second = deployment.cell.entry_hosts
        accepted = send_command(deployment, command.format(3), command_id="a1", hosts=[first])
        assert accepted["id"] == "a1"
        again = send_command(deployment, command.format(3), command_id="a1", hosts=[second])
        assert again["id"] == "a1"
        with pytest.raises(ValueError, match="conflict"):
            send_command(
                deployment, command.format(9), command_id="b1", hosts=[second], operator="noor"
            )
        wait_until_ran(deployment, {"same": 3})
        wait_until_recorded(deployment, {"same": 3})
        assert {run.task for run in list_runs(deployment)} == {"same/0", "same/1", "same/2"}
        check_nothing_doubled_or_overcommitted(deployment)
