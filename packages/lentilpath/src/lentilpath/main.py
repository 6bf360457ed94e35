"""The command line: `lentilpath "COMMAND"`, `lentilpath run`, `lentilpath shell` and others."""

from __future__ import annotations

import json
import sys
from typing import Annotated, Any

import typer

from lentilpath._client import CallFailed, Client
from lentilpath._exits import ExitCode
from lentilpath._output import format_answer
from lentilpath._settings import read_client_settings
from lentilpath._shell import run_shell
from lentilpath_core.errors import InvalidSettings

app = typer.Typer(no_args_is_help=True, add_completion=False, help=__doc__)

HostOption = Annotated[
    str | None, typer.Option("--host", help="IP:PORT of an entry host's operators' address")
]
JsonOption = Annotated[bool, typer.Option("--json", help="print JSON for programs")]


@app.callback()
def describe() -> None:
    """Ask and change a lentilpath cell. `lentilpath help` lists the commands of the language."""


@app.command("run")
def run_command(
    words: Annotated[list[str], typer.Argument(help="a command of the language")],
    host: HostOption = None,
    as_json: JsonOption = False,
    id: Annotated[str, typer.Option("--id", help="the same id again has no second effect")] = "",
    dry_run: Annotated[bool, typer.Option("--dry-run", help="show what would change")] = False,
    expect_version: Annotated[
        int | None, typer.Option("--expect-version", help="refuse if it is another by now")
    ] = None,
    wait_ms: Annotated[int, typer.Option("--wait-ms", help="wait for the zone's answer")] = 1_000,
) -> None:
    """Send one command, such as `tasks where state = waiting`, and print its answer."""
    fields: dict[str, Any] = {
        "command": " ".join(words),
        "id": id,
        "dry_run": dry_run,
        "expect_version": expect_version,
        "wait_ms": wait_ms,
    }
    client = connect(host)
    try:
        answer = client.run_command(fields)
    except CallFailed as error:
        fail(error, as_json)
    typer.echo(json.dumps(answer, indent=2) if as_json else format_answer(answer))
    raise typer.Exit(choose_answer_code(answer))


@app.command("shell")
def open_shell(host: HostOption = None) -> None:
    """Read commands line by line, with history and completion."""
    run_shell(connect(host))


def connect(host: str | None) -> Client:
    """Return the client of the chosen entry host; ends the program if none is named."""
    try:
        return Client(read_client_settings(host))
    except InvalidSettings as error:
        typer.echo(f"error: {error}", err=True)
        raise typer.Exit(ExitCode.INVALID) from error


def fail(error: CallFailed, as_json: bool) -> None:
    """Print the error and end the program with its code."""
    if as_json:
        typer.echo(json.dumps({"message": str(error), **error.body}, indent=2))
    else:
        typer.echo(f"error: {error}", err=True)
    raise typer.Exit(error.code)


def choose_answer_code(answer: dict[str, Any]) -> ExitCode:
    """Return the exit code for an answer."""
    if answer.get("outcome") == "refused":
        return ExitCode.REFUSED
    return ExitCode.PARTIAL if answer.get("partial") else ExitCode.OK


def insert_default_command(arguments: list[str]) -> list[str]:
    """Return `arguments` with `run` in front, unless they name a subcommand or ask for help."""
    names = {command.name for command in app.registered_commands}
    names |= {group.name for group in app.registered_groups}
    names |= {"--help"}
    if not arguments or arguments[0] in names:
        return arguments
    return ["run", *arguments]


def run() -> None:
    """Entry point of the `lentilpath` binary."""
    sys.argv[1:] = insert_default_command(sys.argv[1:])
    app()
