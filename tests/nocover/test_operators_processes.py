"""Usage, configuration and audit trail of real processes; usage is compared with worker logs."""

import json
from collections import defaultdict

from lentilpath_standins import truth
from lentilpath_standins._control import send_request
from tests.common.cells import (
    run_cell,
    send_command,
    submit,
    wait_for_leader,
    wait_until,
    wait_until_jobs_end,
    wait_until_roster_complete,
    wait_until_tasks_succeed,
)

ZONE = "portland-dock"
MANY_TASKS = "tasks=40 cpu=1 memory=1GiB run=700ms"
TIMED_LINE_KINDS = ("held", "correction")


def call(host, path, fields=None):
    method = "GET" if fields is None else "POST"
    body = b"" if fields is None else json.dumps(fields).encode()
    answer = send_request(host.operators, method, path, body, {}, timeout=10.0)
    return answer.status, answer.parse_json()


def list_billed_ms(deployment):
    """Return the milliseconds billed by the usage lines, by task and worker."""
    answer = send_command(deployment, "usage customer harbor-spoon")
    assert not answer["partial"]
    billed: dict[tuple[str, str], int] = defaultdict(int)
    for row in answer["table"]["rows"]:
        line = dict(zip(answer["table"]["columns"], row, strict=True))
        assert line["kind"] in TIMED_LINE_KINDS or line["held_ms"] == 0
        billed[line["task"], line["worker"]] += line["held_ms"]
    return {key: ms for key, ms in billed.items() if ms}


def list_logged_ms(deployment):
    """Return the milliseconds that tasks ran according to the workers' logs, by task and worker."""
    logged: dict[tuple[str, str], int] = defaultdict(int)
    for run in truth.list_runs(deployment.read_facts(), deployment.killed_at):
        logged[run.task, run.worker] += run.ended_at - run.started_at
    return {key: ms for key, ms in logged.items() if ms}


def test_usage_matches_the_worker_logs_although_the_leader_is_killed(tmp_path):
    with run_cell(tmp_path, entry_hosts=3) as deployment:
        leader = wait_until_roster_complete(deployment, ZONE)
        jobs = {"rebuild-0": 40, "rebuild-1": 40}
        for job in jobs:
            submit(deployment, job, MANY_TASKS)
        deployment.kill(leader)
        wait_for_leader(deployment, ZONE, other_than=leader)
        wait_until_tasks_succeed(deployment, jobs)
        wait_until_jobs_end(deployment, jobs)
        wait_until(
            lambda: list_billed_ms(deployment) == list_logged_ms(deployment),
            "billed usage equals the workers' logs",
        )


def test_an_accepted_configuration_reaches_a_restarted_host_and_survives_a_kill_of_all_hosts(
    tmp_path,
):
    with run_cell(tmp_path, entry_hosts=3) as deployment:
        first, second, third = deployment.cell.entry_hosts
        text = "{teams: {packing: {quota: {millicores: 1000}}}}"

        def apply():
            status, answer = call(first, "/v1/config/apply", {"text": text, "id": "c1"})
            assert status in (200, 503)
            return status == 200 and answer

        wait_until(apply, "version 1 is accepted")

        def list_versions(host):
            status, answer = call(host, "/v1/config/status")
            # A host that has just started and has no configuration yet refuses all requests.
            assert status == 200 or answer["error"] == "configuration-unknown"
            return [row[2] for row in answer["table"]["rows"]] if status == 200 else []

        wait_until(lambda: list_versions(second) == [1, 1, 1], "version 1 is in force everywhere")
        assert deployment.terminate(third.host) == 0
        answer = send_command(deployment, "set quota team packing cpu=2", hosts=[first])
        assert answer["version"] == 2
        deployment.start_entry_host(third)
        wait_until(lambda: list_versions(third) == [2, 2, 2], "the restarted host has version 2")
        for host in (first, second, third):
            deployment.kill(host.host)
        for host in (first, second, third):
            deployment.start_entry_host(host)
        wait_until(
            lambda: list_versions(first) == [2, 2, 2],
            "version 2 survives the kill of all processes",
        )


def test_the_audit_trail_names_operator_and_host_after_the_host_is_killed(tmp_path):
    with run_cell(tmp_path, entry_hosts=2) as deployment:
        wait_until_roster_complete(deployment, ZONE)
        first, second = deployment.cell.entry_hosts
        submit(deployment, "rebuild", "tasks=2 run=100ms", hosts=[first])
        deployment.kill(first.host)

        def find_record():
            rows = send_command(deployment, "audit", hosts=[second])["table"]["rows"]
            return [row for row in rows if row[5] == "submit-rebuild"]

        (row,) = wait_until(find_record, "the submission is in the audit trail")
        assert row[1:3] == ["mira", first.host]
