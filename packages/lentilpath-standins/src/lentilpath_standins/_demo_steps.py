"""The steps of the demo: send callers' requests, run operators' commands, print the output."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from dataclasses import dataclass
from http.client import HTTPException
from pathlib import Path
from typing import Any

import typer

from lentilpath_core.settings import Address
from lentilpath_standins._control import Response, send_request
from lentilpath_standins.cell import Cell

HTTP_OK = 200
HTTP_UNAVAILABLE = 503
OPERATOR = "demo"
CLI_TIMEOUT_SECONDS = 20.0
ACCEPT_TIMEOUT_SECONDS = 20.0
END_TIMEOUT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.3


class DemoFailed(Exception):
    """A step of the demo failed or timed out."""


@dataclass(frozen=True, slots=True)
class SubmittedJob:
    """A job that the cell has acknowledged."""

    kind: str
    job: str
    task_count: int
    customer: str

    def list_tasks(self) -> list[str]:
        """Return the ids of the job's tasks."""
        return [f"{self.job}/{index}" for index in range(self.task_count)]


def read_commands(file: Path) -> list[str]:
    """Return the commands of an example file, without comments and empty lines."""
    lines = (line.strip() for line in file.read_text().splitlines())
    return [line for line in lines if line and not line.startswith("#")]


def send_service_requests(cell: Cell, request_count: int) -> str:
    """Send requests through all entry hosts and check that each response belongs to its request."""
    for index in range(request_count):
        host = cell.entry_hosts[index % len(cell.entry_hosts)]
        token = f"family-{index}"
        target = f"/services/{cell.service}/echo?for={token}"
        response = _send_until_served(host.callers, target, token)
        if response.status != HTTP_OK or token.encode() not in response.body:
            raise DemoFailed(
                f"request {token}: status {response.status}, body {response.body[:200]!r}"
            )
    return f"{request_count} requests, each with the complete response to that request"


def submit_jobs(cell: Cell, commands: list[str]) -> list[SubmittedJob]:
    """Submit the commands through the entry hosts in turn and return the acknowledged jobs."""
    submitted = []
    for index, command in enumerate(commands):
        host = cell.entry_hosts[index % len(cell.entry_hosts)]
        answer = _submit_until_accepted(host.operators, command, f"demo-{index}")
        _, kind, job, *assignments = command.split()
        values = dict(assignment.split("=", 1) for assignment in assignments)
        submitted.append(SubmittedJob(kind, job, int(values["tasks"]), values["customer"]))
        typer.echo(f"   through {host.host:20} {kind:8} {job:24} {answer['outcome']}")
    return submitted


def wait_until_ended(cell: Cell, submitted: list[SubmittedJob]) -> None:
    """Wait until all tasks of batches and gangs have succeeded and all tasks of services run."""
    deadline = time.monotonic() + END_TIMEOUT_SECONDS
    while True:
        rows = list_rows(cell, "tasks limit 1000")
        if _have_expected_states(rows, submitted):
            return
        if time.monotonic() > deadline:
            open_tasks = [f"{row['task']} {row['state']}" for row in rows][:20]
            raise DemoFailed(
                f"tasks not in their expected states after {END_TIMEOUT_SECONDS} s: {open_tasks}"
            )
        time.sleep(POLL_INTERVAL_SECONDS)


def print_command_outputs(cell: Cell, submitted: list[SubmittedJob]) -> None:
    """Print the output of `lentilpath` on zones, jobs, tasks, placement reasons and usage."""
    host = cell.entry_hosts[0].operators
    gang = next(job for job in submitted if job.kind == "gang")
    for command in (
        "zones",
        "jobs",
        f"tasks where task ~ {gang.job}",
        f"why task {gang.job}/0",
        f"usage customer {gang.customer} on today",
    ):
        typer.echo(f'\n$ lentilpath "{command}"')
        typer.echo(run_lentilpath(host, command, as_json=False))


def list_rows(cell: Cell, command: str) -> list[dict[str, Any]]:
    """Return the rows of a listing, each as a dictionary by column name."""
    answer = json.loads(run_lentilpath(cell.entry_hosts[0].operators, command, as_json=True))
    table = answer["table"]
    return [dict(zip(table["columns"], row, strict=True)) for row in table["rows"]]


def run_lentilpath(
    host: Address, command: str, *, as_json: bool, command_id: str | None = None
) -> str:
    """Run the `lentilpath` command line and return its output.

    Raises `DemoFailed` if it exits with a code other than 0.
    """
    options = ["--host", f"{host.host}:{host.port}"]
    if as_json:
        options.append("--json")
    if command_id is not None:
        options += ["--id", command_id]
    arguments = [sys.executable, "-m", "lentilpath", "run", *options, command]
    result = subprocess.run(arguments, capture_output=True, text=True, timeout=CLI_TIMEOUT_SECONDS)
    if result.returncode != 0:
        error_text = result.stderr.strip() or result.stdout.strip()
        raise DemoFailed(
            f'lentilpath "{command}" exited with code {result.returncode}: {error_text}'
        )
    return result.stdout.rstrip()


def _submit_until_accepted(host: Address, command: str, command_id: str) -> dict[str, Any]:
    # The zones may still be electing their leaders. The command id makes retries idempotent.
    deadline = time.monotonic() + ACCEPT_TIMEOUT_SECONDS
    while True:
        try:
            output = run_lentilpath(host, command, as_json=True, command_id=command_id)
        except DemoFailed:
            if time.monotonic() > deadline:
                raise
            time.sleep(POLL_INTERVAL_SECONDS)
            continue
        answer: dict[str, Any] = json.loads(output)
        return answer


def _send_until_served(address: Address, target: str, token: str) -> Response:
    # The host list lags, so an entry host may not know any runner at first.
    deadline = time.monotonic() + ACCEPT_TIMEOUT_SECONDS
    while True:
        try:
            response = send_request(address, "POST", target, token.encode(), {"x-customer": "demo"})
            if response.status != HTTP_UNAVAILABLE or time.monotonic() > deadline:
                return response
        except (OSError, HTTPException) as error:
            raise DemoFailed(f"{address} {target}: {error!r}") from error
        time.sleep(POLL_INTERVAL_SECONDS)


def _have_expected_states(rows: list[dict[str, Any]], submitted: list[SubmittedJob]) -> bool:
    states = {row["task"]: row["state"] for row in rows}
    for job in submitted:
        expected = "running" if job.kind == "service" else "succeeded"
        if any(states.get(task) != expected for task in job.list_tasks()):
            return False
    return True
