"""Starts cells of real processes for tests, sends commands to them and waits for conditions."""

import json
import time
from contextlib import contextmanager
from dataclasses import replace
from http.client import HTTPException
from pathlib import Path

from lentilpath_core.settings import LeadershipSettings, WorkerLeaseSettings
from lentilpath_standins import truth
from lentilpath_standins._control import send_request, set_faults
from lentilpath_standins.cell import keep_zones, move_to_loopback, read_cell, reduce_cell
from lentilpath_standins.deployment import create_deployment
from tests.common.relays import Relays

EXAMPLE = Path(__file__).parents[2] / "examples/harbor-spoon/deployment.json5"
LEADERSHIP = LeadershipSettings(
    lease_ms=1_500,
    renew_every_ms=500,
    drift_margin_ms=100,
    newcomer_horizon_ms=10_000,
    promise_ms=1_500,
)
WORKER_LEASES = WorkerLeaseSettings(lease_ms=4_000, sync_wait_ms=500, silent_after_ms=1_500)
WAIT_TIMEOUT_SECONDS = 50.0
POLL_SECONDS = 0.1
CALL_TIMEOUT_SECONDS = 10.0
HTTP_OK = 200


@contextmanager
def run_cell(directory, *, zones=1, entry_hosts=2, workers=2, runners=0, relays=None):
    """Run a reduced copy of the example cell on free ports.

    If `relays` is given, the connections between hosts pass through it.
    """
    cell = reduce_cell(keep_zones(read_cell(EXAMPLE), zones), entry_hosts, workers, runners)
    cell = move_to_loopback(cell)
    cell = replace(
        cell,
        entry_hosts=tuple(
            replace(host, leadership=LEADERSHIP, worker_leases=WORKER_LEASES)
            for host in cell.entry_hosts
        ),
    )
    seen_by = {}
    if relays is not None:
        cell, seen_by = insert_relays(cell, relays)
    deployment = create_deployment(cell, directory, lag_ms=200, seen_by=seen_by)
    try:
        deployment.start()
        yield deployment
    finally:
        deployment.stop()


@contextmanager
def open_relays():
    relays = Relays()
    try:
        yield relays
    finally:
        relays.close()


def insert_relays(cell, relays):
    """Return the cell with relays between its hosts, and each entry host's map of worker addresses.

    Each host gets the relays as the addresses of its peers; its own listen address is unchanged.
    """
    hosts = []
    seen_by = {}
    for host in cell.entry_hosts:
        peers = tuple(
            replace(peer, address=relays.open(host.host, peer.host, peer.address))
            for peer in host.entry_hosts
        )
        hosts.append(replace(host, entry_hosts=peers))
        seen_by[host.host] = {
            worker.name: relays.open(host.host, worker.name, worker.address)
            for worker in cell.workers
            if worker.zone == host.zone
        }
    return replace(cell, entry_hosts=tuple(hosts)), seen_by


def wait_until(condition, description, seconds=WAIT_TIMEOUT_SECONDS):
    """Poll `condition()` and return its first true value.

    `OSError`, `HTTPException` and `ValueError` count as false. Raises
    `AssertionError` after `seconds`.
    """
    deadline = time.monotonic() + seconds
    last_error = None
    while time.monotonic() < deadline:
        try:
            value = condition()
            if value:
                return value
        except (OSError, HTTPException, ValueError) as error:
            last_error = error
        time.sleep(POLL_SECONDS)
    raise AssertionError(f"timed out after {seconds} s: {description}; last error: {last_error!r}")


def send_command(deployment, command, *, command_id="", hosts=None, operator="mira"):
    """Send a command to each entry host in turn until one responds with 200; return its response.

    Raises `ValueError` if none does.
    """
    fields = {"command": command, "id": command_id, "wait_ms": 1_000}
    headers = {"x-lentilpath-operator": operator, "content-type": "application/json"}
    answers = []
    for host in hosts or deployment.cell.entry_hosts:
        try:
            answer = send_request(
                host.operators,
                "POST",
                "/v1/commands",
                json.dumps(fields).encode(),
                headers,
                timeout=CALL_TIMEOUT_SECONDS,
            )
        except (OSError, HTTPException) as error:
            answers.append((host.host, repr(error)))
            continue
        if answer.status == HTTP_OK:
            return answer.parse_json()
        answers.append((host.host, answer.body.decode()))
    raise ValueError(f"{command}: {answers}")


def submit(deployment, job, text, *, kind="batch", hosts=None):
    """Submit a job until an entry host acknowledges it; the command id makes retries idempotent."""
    command = f"submit {kind} {job} team=packing customer=harbor-spoon {text}"
    return wait_until(
        lambda: send_command(deployment, command, command_id=f"submit-{job}", hosts=hosts),
        f"{job} is accepted",
    )


def read_zone_row(deployment, zone):
    """Return the zone's row decoded from the table, or `None` if there is none."""
    message = json.dumps({"keys": [f"zone/{zone}"]}).encode()
    answer = send_request(deployment.cell.platform, "POST", "/table/read", message)
    value = answer.parse_json()["rows"][0]["value"]
    return json.loads(value) if value else None


def find_leader(deployment, zone):
    """Return the name of the leader in the zone's row, or `None` if there is none."""
    row = read_zone_row(deployment, zone)
    return None if row is None or row["released"] else row["holder"]["host"]


def wait_until_roster_complete(deployment, zone):
    """Wait until the zone has a leader and its roster holds all its hosts; return the leader."""
    hosts = {host.host for host in deployment.cell.entry_hosts if host.zone == zone}

    def read_roster():
        row = read_zone_row(deployment, zone)
        return row is not None and {member["host"] for member in row["roster"]} == hosts

    wait_until(read_roster, f"the roster holds all of {hosts}")
    return wait_for_leader(deployment, zone)


def wait_for_leader(deployment, zone, other_than=None):
    def find():
        leader = find_leader(deployment, zone)
        return leader if leader != other_than else None

    return wait_until(find, f"{zone} has a leader other than {other_than}")


def set_platform_faults(deployment, **faults):
    set_faults(deployment.cell.platform, **faults)


def list_task_ids(jobs):
    """Return the task ids of `jobs`, a map of job to its number of tasks."""
    return [f"{job}/{index}" for job, count in jobs.items() for index in range(count)]


def list_runs(deployment):
    return truth.list_runs(deployment.read_facts(), deployment.killed_at)


def wait_until_tasks_succeed(deployment, jobs, seconds=WAIT_TIMEOUT_SECONDS):
    """Wait until each task of `jobs` has a successful run according to the workers' logs."""
    tasks = list_task_ids(jobs)
    wait_until(
        lambda: not truth.find_unfinished_tasks(list_runs(deployment), tasks),
        f"all tasks of {jobs} succeed",
        seconds,
    )


def wait_until_jobs_end(deployment, jobs, seconds=WAIT_TIMEOUT_SECONDS):
    """Wait until the cell reports no open task for any of `jobs`."""

    def ended():
        answer = send_command(deployment, "jobs")
        table = answer["table"]
        rows = [dict(zip(table["columns"], row, strict=True)) for row in table["rows"]]
        return {row["job"] for row in rows if row["open"] == 0} >= set(jobs)

    wait_until(ended, f"the cell reports {jobs} as ended", seconds)


def check_no_duplicate_runs_or_overcommit(deployment, idempotent_jobs=()):
    """Check the workers' logs for duplicate runs and for workers that were overcommitted.

    Only tasks of `idempotent_jobs` may run again when the outcome of an earlier run is unknown.
    """
    facts = deployment.read_facts()
    runs = truth.list_runs(facts, deployment.killed_at)
    assert truth.find_duplicate_runs(runs, frozenset(idempotent_jobs)) == []
    capacities = {worker.name: worker.capacity for worker in deployment.cell.workers}
    assert truth.find_overcommitted_workers(facts, capacities) == []
