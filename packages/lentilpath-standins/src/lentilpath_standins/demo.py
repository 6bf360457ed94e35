"""Runs a reduced example deployment and checks the demo's claims against the stand-ins' logs.

`python -m lentilpath_standins.demo` exits with 0 only if all checks pass. `--keep-running` leaves
the processes running until Ctrl-C.
"""

from __future__ import annotations

import signal
import sys
import tempfile
from pathlib import Path
from typing import Annotated

import typer

from lentilpath_standins._demo_claims import Claim, check_claims, check_exit_codes
from lentilpath_standins._demo_steps import (
    DemoFailed,
    SubmittedJob,
    print_command_outputs,
    read_commands,
    send_service_requests,
    submit_jobs,
    wait_until_ended,
)
from lentilpath_standins.cell import Cell, read_cell, reduce_cell, shift_to_free_ports
from lentilpath_standins.deployment import Deployment, create_deployment

DEFAULT_EXAMPLE = Path("examples/harbor-spoon")
ENTRY_HOSTS_PER_ZONE = 2
WORKERS_PER_ZONE = 2
RUNNERS_PER_ZONE = 2
REQUEST_COUNT = 30


def main(
    example: Annotated[Path, typer.Option(help="directory of the example")] = DEFAULT_EXAMPLE,
    keep_running: Annotated[bool, typer.Option(help="run until Ctrl-C")] = False,
) -> None:
    """Run the demo; exits with 1 if a step fails or a claim does not hold."""
    cell = read_cell(example / "deployment.json5")
    cell = reduce_cell(cell, ENTRY_HOSTS_PER_ZONE, WORKERS_PER_ZONE, RUNNERS_PER_ZONE)
    cell = shift_to_free_ports(cell)
    with tempfile.TemporaryDirectory(prefix="lentilpath-demo-") as directory:
        deployment = create_deployment(cell, Path(directory))
        try:
            typer.echo(f"starting {count_processes(cell)} processes of {cell.name} ...")
            deployment.start()
            submitted = run_steps(deployment, read_commands(example / "commands.txt"))
            claims = check_claims(deployment, submitted, REQUEST_COUNT)
            if keep_running and print_claims(claims):
                print_addresses(cell, submitted)
                signal.sigwait({signal.SIGINT, signal.SIGTERM})
        except (DemoFailed, TimeoutError) as error:
            typer.echo(f"FAILED: {error}", err=True)
            claims = [Claim("the demo ran to its end", str(error).splitlines()[0], False)]
            print_log_tails(Path(directory))
        finally:
            typer.echo("\nstopping all processes with SIGTERM ...")
            exit_codes = deployment.stop()
    claims.append(check_exit_codes(exit_codes))
    sys.exit(0 if print_claims(claims) else 1)


def run_steps(deployment: Deployment, commands: list[str]) -> list[SubmittedJob]:
    """Send callers' requests, submit the commands and print the cell's answers."""
    cell = deployment.cell
    typer.echo(f"\n1. {REQUEST_COUNT} callers' requests for {cell.service} through all entry hosts")
    typer.echo(f"   {send_service_requests(cell, REQUEST_COUNT)}")
    typer.echo("\n2. An operator submits")
    submitted = submit_jobs(cell, commands)
    wait_until_ended(cell, submitted)
    typer.echo("\n3. What ran, where, when and why, and the customer's usage")
    print_command_outputs(cell, submitted)
    return submitted


def count_processes(cell: Cell) -> int:
    """Return the number of processes of the cell, including the platform."""
    return 1 + len(cell.entry_hosts) + len(cell.workers) + len(cell.runners)


def print_claims(claims: list[Claim]) -> bool:
    """Print the claims as a table and return whether all of them hold."""
    typer.echo("\nChecked against the stand-ins' own logs")
    width = max(len(claim.text) for claim in claims)
    for claim in claims:
        verdict = "true " if claim.holds else "UNTRUE"
        typer.echo(f"  {verdict:6} {claim.text:{width}}  {claim.evidence}")
    return all(claim.holds for claim in claims)


def print_addresses(cell: Cell, submitted: list[SubmittedJob]) -> None:
    """Print the addresses of the entry hosts and commands to try."""
    typer.echo("\nRunning; Ctrl-C stops all gracefully")
    for host in cell.entry_hosts:
        typer.echo(
            f"  {host.host:22} callers {host.callers.host}:{host.callers.port}   "
            f"operators {host.operators.host}:{host.operators.port}"
        )
    first = cell.entry_hosts[0]
    operators = f"{first.operators.host}:{first.operators.port}"
    callers = f"{first.callers.host}:{first.callers.port}"
    job = submitted[-1].job
    typer.echo("\nTry")
    typer.echo(f"  .venv/bin/lentilpath run --host {operators} tasks where task ~ {job}")
    typer.echo(f"  .venv/bin/lentilpath run --host {operators} why task {job}/0")
    typer.echo(f"  curl -H 'x-customer: me' http://{callers}/services/{cell.service}/plan")


def print_log_tails(directory: Path) -> None:
    """Print the last five lines of each log to standard error, to diagnose a failure."""
    for file in sorted(directory.glob("*.log")):
        lines = file.read_text().splitlines()[-5:]
        if lines:
            typer.echo(f"--- {file.name}", err=True)
            typer.echo("\n".join(lines), err=True)


if __name__ == "__main__":
    typer.run(main)
