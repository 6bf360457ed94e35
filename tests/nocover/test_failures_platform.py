"""The platform hangs, loses responses, applies writes late or leaves connections hanging."""

import time

import pytest

from tests.common.cells import (
    check_no_duplicate_runs_or_overcommit,
    list_runs,
    run_cell,
    send_command,
    set_platform_faults,
    submit,
    wait_until,
    wait_until_jobs_end,
    wait_until_roster_complete,
    wait_until_tasks_succeed,
)

ZONE = "portland-dock"
OUTAGE_SECONDS = 7.0
"""Longer than the leader's lease and than the leases of tasks."""


def test_running_tasks_survive_an_outage_longer_than_any_lease(tmp_path):
    with run_cell(tmp_path, entry_hosts=2) as deployment:
        wait_until_roster_complete(deployment, ZONE)
        jobs = {"long": 8, "short": 20}
        submit(deployment, "long", "tasks=8 cpu=1 memory=1GiB run=9s")
        wait_until(lambda: len(list_runs(deployment)) == 8, "all long tasks have started")
        set_platform_faults(deployment, silent=True)
        time.sleep(OUTAGE_SECONDS)
        set_platform_faults(deployment, silent=False)
        submit(deployment, "short", "tasks=20 cpu=1 memory=1GiB run=300ms")
        wait_until_tasks_succeed(deployment, jobs)
        wait_until_jobs_end(deployment, jobs)
        check_no_duplicate_runs_or_overcommit(deployment)


def test_lost_responses_of_the_table_lose_no_task_and_run_none_twice(tmp_path):
    with run_cell(tmp_path, entry_hosts=2) as deployment:
        wait_until_roster_complete(deployment, ZONE)
        jobs = {f"notice-{number}": 5 for number in range(8)}
        for job in jobs:
            set_platform_faults(deployment, lose_answers=3)
            submit(deployment, job, "tasks=5 cpu=1 memory=1GiB run=200ms")
        set_platform_faults(deployment, lose_answers=0)
        wait_until_tasks_succeed(deployment, jobs)
        wait_until_jobs_end(deployment, jobs)
        check_no_duplicate_runs_or_overcommit(deployment)


def test_writes_applied_late_lose_no_task_and_run_none_twice(tmp_path):
    with run_cell(tmp_path, entry_hosts=2) as deployment:
        wait_until_roster_complete(deployment, ZONE)
        jobs = {f"notice-{number}": 5 for number in range(6)}
        for job in jobs:
            set_platform_faults(deployment, late_writes=2, late_ms=900)
            submit(deployment, job, "tasks=5 cpu=1 memory=1GiB run=200ms")
        set_platform_faults(deployment, late_writes=0)
        wait_until_tasks_succeed(deployment, jobs)
        wait_until_jobs_end(deployment, jobs)
        check_no_duplicate_runs_or_overcommit(deployment)


def test_connections_that_hang_permanently_stop_no_job(tmp_path):
    with run_cell(tmp_path, entry_hosts=2) as deployment:
        wait_until_roster_complete(deployment, ZONE)
        submit(deployment, "before", "tasks=10 cpu=1 memory=1GiB run=1s")
        set_platform_faults(deployment, silence_open=1)
        jobs = {"before": 10, "after": 10}
        submit(deployment, "after", "tasks=10 cpu=1 memory=1GiB run=300ms")
        wait_until_tasks_succeed(deployment, jobs)
        wait_until_jobs_end(deployment, jobs)
        check_no_duplicate_runs_or_overcommit(deployment)


def test_of_two_conflicting_submissions_one_is_accepted_and_the_other_refused(tmp_path):
    with run_cell(tmp_path, entry_hosts=2) as deployment:
        wait_until_roster_complete(deployment, ZONE)
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
        wait_until_tasks_succeed(deployment, {"same": 3})
        wait_until_jobs_end(deployment, {"same": 3})
        assert {run.task for run in list_runs(deployment)} == {"same/0", "same/1", "same/2"}
        check_no_duplicate_runs_or_overcommit(deployment)
