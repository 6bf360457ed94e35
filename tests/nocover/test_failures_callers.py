"""Requests, jobs and commands on real processes during restarts, partitions and bad input."""

import socket
import time

from lentilpath_standins._control import send_request, set_faults
from tests.common.callers import Callers, call_once, count_runs
from tests.common.cells import (
    check_no_duplicate_runs_or_overcommit,
    list_runs,
    open_relays,
    run_cell,
    set_platform_faults,
    submit,
    wait_until,
    wait_until_jobs_end,
    wait_until_roster_complete,
    wait_until_tasks_succeed,
)

NEAR = "portland-dock"
FAR = "holyoke-mill"
SERVICE = "boxplanner"
HTTP_OK = 200
CUT_SECONDS = 4.0
"""Longer than the leader's lease."""


def wait_until_served(deployment):
    for host in deployment.cell.entry_hosts:
        wait_until(
            lambda host=host: call_once(host, SERVICE, "first")[0] == HTTP_OK,
            f"{host.host} serves requests",
        )


def test_replacing_every_entry_host_breaks_no_call(tmp_path):
    with run_cell(tmp_path, entry_hosts=3, workers=1, runners=3) as deployment:
        wait_until_roster_complete(deployment, NEAR)
        wait_until_served(deployment)
        callers = Callers(deployment.cell.entry_hosts, SERVICE)
        try:
            for host in deployment.cell.entry_hosts:
                assert deployment.terminate(host.host) == 0
                deployment.start_entry_host(host)
                wait_until_roster_complete(deployment, NEAR)
                wait_until(
                    lambda host=host: call_once(host, SERVICE, "again")[0] == HTTP_OK,
                    f"{host.host} serves requests again",
                )
        finally:
            callers.stop()
        runs = count_runs(deployment)
        assert callers.failed_calls == []
        assert [token for token, _, _ in callers.responses if runs[token] > 1] == []
        # A host that has just started may know no runner yet and refuses requests; it must not have
        # run those that it refused.
        refused = [token for token, status, _ in callers.responses if status != HTTP_OK]
        assert [token for token in refused if runs[token]] == []


def test_a_partitioned_zone_serves_its_own_callers(tmp_path):
    with (
        open_relays() as relays,
        run_cell(tmp_path, zones=2, workers=1, runners=2, relays=relays) as deployment,
    ):
        wait_until_roster_complete(deployment, NEAR)
        wait_until_roster_complete(deployment, FAR)
        wait_until_served(deployment)
        near = [host for host in deployment.cell.entry_hosts if host.zone == NEAR]
        names = {host.host for host in near}
        relays.cut(*[pair for pair in relays.list_pairs(names) if "worker" not in pair[1]])
        set_platform_faults(deployment, cut=sorted(names))
        callers = Callers(near, SERVICE)
        time.sleep(CUT_SECONDS)
        callers.stop()
        assert callers.list_failures() == []
        runs = count_runs(deployment)
        assert {runs[token] for token, _, _ in callers.responses} == {1}
        own = [runner for runner in deployment.cell.runners if runner.zone == NEAR]
        assert len(own) == 2


def test_jobs_complete_although_one_worker_fails_every_task(tmp_path):
    with run_cell(tmp_path, workers=3) as deployment:
        wait_until_roster_complete(deployment, NEAR)
        set_faults(deployment.cell.workers[0].address, fail_all=True)
        jobs = {"rebuild": 30}
        submit(deployment, "rebuild", "tasks=30 cpu=1 memory=1GiB run=300ms idempotent=yes")
        wait_until_tasks_succeed(deployment, jobs)
        wait_until_jobs_end(deployment, jobs)
        check_no_duplicate_runs_or_overcommit(deployment, idempotent_jobs={"rebuild"})


def test_invalid_input_on_any_listener_ends_no_daemon_and_loses_no_task(tmp_path):
    with run_cell(tmp_path, entry_hosts=1, workers=1, runners=1) as deployment:
        wait_until_roster_complete(deployment, NEAR)
        wait_until_served(deployment)
        submit(deployment, "kept", "tasks=4 cpu=1 memory=1GiB run=2s")
        host = deployment.cell.entry_hosts[0]
        for address in (host.callers, host.operators, host.peers):
            for data in (
                b"\x00" * 64,
                b"GET / HTTP/1.1\r\nbroken",
                b"POST /v1/commands HTTP/1.1\r\n",
            ):
                with socket.create_connection((address.host, address.port)) as connection:
                    connection.sendall(data)
        refusals = [
            send_request(host.operators, "POST", "/v1/commands", b"{"),
            send_request(host.operators, "POST", "/v1/commands", b'{"command": 7}'),
            send_request(host.operators, "POST", "/v1/commands", b'{"command": "submitt"}'),
            send_request(host.callers, "GET", "/services/nobody/x", headers={"x-customer": "a"}),
            send_request(host.callers, "GET", "/elsewhere", headers={"x-customer": "a"}),
            send_request(
                host.callers, "GET", f"/services/{SERVICE}/x", headers={"x-customer": "b" * 20_000}
            ),
        ]
        for answer in refusals:
            assert 400 <= answer.status < 600
            assert set(answer.parse_json()) >= {"error", "message"}
        assert call_once(host, SERVICE, "after")[0] == HTTP_OK
        wait_until_tasks_succeed(deployment, {"kept": 4})
        assert len(list_runs(deployment)) == 4
        assert deployment.terminate(host.host) == 0
