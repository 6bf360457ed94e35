"""The steps of the demo: callers' requests, operators' commands and their answers."""

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
from lentilpath_standins._control import Answer, ask
from lentilpath_standins.cell import Cell

HTTP_OK = 200
HTTP_UNAVAILABLE = 503
OPERATOR = "demo"
CLI_SECONDS = 20.0
ACCEPT_SECONDS = 20.0
END_SECONDS = 30.0
POLL_SECONDS = 0.3


class DemoFailed(Exception):
    """Something that the demo shows did not happen."""


@dataclass(frozen=True, slots=True)
class Submitted:
    """A job that was acknowledged."""

    kind: str
    job: str
    tasks: int
    customer: str

    def list_tasks(self) -> list[str]:
        """Return the ids of its tasks."""
        return [f"{self.job}/{index}" for index in range(self.tasks)]


def read_commands(file: Path) -> list[str]:
    """Return the commands of an example file, without comments and empty lines."""
    lines = (line.strip() for line in file.read_text().splitlines())
    return [line for line in lines if line and not line.startswith("#")]


def call_service(cell: Cell, calls: int) -> str:
    """Send callers' requests through all entry hosts and check that each gets its own answer."""
    for number in range(calls):
        host = cell.entry_hosts[number % len(cell.entry_hosts)]
        token = f"family-{number}"
        target = f"/services/{cell.service}/echo?for={token}"
        answer = _call_until_served(host.callers, target, token)
        if answer.status != HTTP_OK or token.encode() not in answer.body:
            raise DemoFailed(f"request {token}: status {answer.status}, body {answer.body[:200]!r}")
    return f"{calls} requests, each answered with its own whole answer"


def submit_all(cell: Cell, commands: list[str]) -> list[Submitted]:
    """Submit each command through another entry host and return the acknowledged jobs."""
    submitted = []
    for number, command in enumerate(commands):
        host = cell.entry_hosts[number % len(cell.entry_hosts)]
        answer = _submit_until_accepted(host.operators, command, f"demo-{number}")
        _, kind, job, *assignments = command.split()
        values = dict(assignment.split("=", 1) for assignment in assignments)
        submitted.append(Submitted(kind, job, int(values["tasks"]), values["customer"]))
        typer.echo(f"   through {host.host:20} {kind:8} {job:24} {answer['outcome']}")
    return submitted


def wait_until_ended(cell: Cell, submitted: list[Submitted]) -> None:
    """Wait until the cell says that every batch and gang has ended and every service runs."""
    deadline = time.monotonic() + END_SECONDS
    while True:
        rows = list_rows(cell, "tasks limit 1000")
        if _are_settled(rows, submitted):
            return
        if time.monotonic() > deadline:
            open_tasks = [f"{row['task']} {row['state']}" for row in rows][:20]
            raise DemoFailed(f"work has not ended after {END_SECONDS} s: {open_tasks}")
        time.sleep(POLL_SECONDS)


def print_answers(cell: Cell, submitted: list[Submitted]) -> None:
    """Print what `lentilpath` answers on jobs, tasks, reasons and usage."""
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
    """Return the rows of a listing, each as a map of its columns."""
    answer = json.loads(run_lentilpath(cell.entry_hosts[0].operators, command, as_json=True))
    table = answer["table"]
    return [dict(zip(table["columns"], row, strict=True)) for row in table["rows"]]


def run_lentilpath(
    host: Address, command: str, *, as_json: bool, command_id: str | None = None
) -> str:
    """Run the operators' command and return its output; raises `DemoFailed`."""
    options = ["--host", f"{host.host}:{host.port}"]
    if as_json:
        options.append("--json")
    if command_id is not None:
        options += ["--id", command_id]
    arguments = [sys.executable, "-m", "lentilpath", "run", *options, command]
    result = subprocess.run(arguments, capture_output=True, text=True, timeout=CLI_SECONDS)
    if result.returncode != 0:
        said = result.stderr.strip() or result.stdout.strip()
        raise DemoFailed(f'lentilpath "{command}" ended with {result.returncode}: {said}')
    return result.stdout.rstrip()


def _submit_until_accepted(host: Address, command: str, command_id: str) -> dict[str, Any]:
    # The cell may still be finding its leaders; the id makes a repetition harmless.
    deadline = time.monotonic() + ACCEPT_SECONDS
    while True:
        try:
            output = run_lentilpath(host, command, as_json=True, command_id=command_id)
        except DemoFailed:
            if time.monotonic() > deadline:
                raise
            time.sleep(POLL_SECONDS)
            continue
        answer: dict[str, Any] = json.loads(output)
        return answer


def _call_until_served(address: Address, target: str, token: str) -> Answer:
    # The list of hosts lags, so the first requests may find no runner known yet.
    deadline = time.monotonic() + ACCEPT_SECONDS
    while True:
        try:
            answer = ask(address, "POST", target, token.encode(), {"x-customer": "demo"})
            if answer.status != HTTP_UNAVAILABLE or time.monotonic() > deadline:
                return answer
        except (OSError, HTTPException) as error:
            raise DemoFailed(f"{address} {target}: {error!r}") from error
        time.sleep(POLL_SECONDS)


def _are_settled(rows: list[dict[str, Any]], submitted: list[Submitted]) -> bool:
    states = {row["task"]: row["state"] for row in rows}
    for job in submitted:
        wanted = "running" if job.kind == "service" else "succeeded"
        if any(states.get(task) != wanted for task in job.list_tasks()):
            return False
    return True
