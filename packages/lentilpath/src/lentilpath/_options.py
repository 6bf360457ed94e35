"""What the subcommands share: options, and how answers and errors are printed."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated, Any

import typer

from lentilpath._client import CallFailed, Client
from lentilpath._exits import ExitCode
from lentilpath._output import format_answer
from lentilpath._settings import read_client_settings
from lentilpath_core.errors import InvalidSettings

HostOption = Annotated[
    str | None, typer.Option("--host", help="IP:PORT of an entry host's operators' address")
]
JsonOption = Annotated[bool, typer.Option("--json", help="print JSON for programs")]
IdOption = Annotated[str, typer.Option("--id", help="the same id again has no second effect")]
DryRunOption = Annotated[bool, typer.Option("--dry-run", help="show what would change")]
ExpectOption = Annotated[
    int | None, typer.Option("--expect-version", help="refuse if it is another by now")
]


def connect(host: str | None) -> Client:
    """Return the client of the chosen entry host; ends the program if none is named."""
    try:
        return Client(read_client_settings(host))
    except InvalidSettings as error:
        typer.echo(f"error: {error}", err=True)
        raise typer.Exit(ExitCode.INVALID) from error


def call(client: Client, method: str, path: str, fields: dict[str, Any] | None = None) -> Any:
    """Return the answer to one request; raises `CallFailed`."""
    body = b"" if fields is None else json.dumps(fields).encode()
    return client.call(method, path, body)


def show(answer: dict[str, Any], as_json: bool) -> None:
    """Print an answer and end the program with its code."""
    typer.echo(json.dumps(answer, indent=2) if as_json else format_answer(answer))
    raise typer.Exit(choose_answer_code(answer))


def fail(error: CallFailed, as_json: bool) -> None:
    """Print the error and end the program with its code."""
    if as_json:
        typer.echo(json.dumps({"message": str(error), **error.body}, indent=2))
    else:
        typer.echo(f"error: {error}", err=True)
        for problem in error.body.get("problems", []):
            typer.echo(f"  {problem}", err=True)
    raise typer.Exit(error.code)


def run_call(
    host: str | None,
    as_json: bool,
    method: str,
    path: str,
    fields: dict[str, Any] | None = None,
) -> None:
    """Make one request, print what came of it and end the program."""
    try:
        answer = call(connect(host), method, path, fields)
    except CallFailed as error:
        fail(error, as_json)
    show(answer, as_json)


def read_text(path: Path) -> str:
    """Return the text of a file; ends the program if there is none."""
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        typer.echo(f"error: {path} cannot be read: {error}", err=True)
        raise typer.Exit(ExitCode.INVALID) from error


def choose_answer_code(answer: dict[str, Any]) -> ExitCode:
    """Return the exit code for an answer."""
    if answer.get("outcome") == "refused":
        return ExitCode.REFUSED
    return ExitCode.PARTIAL if answer.get("partial") else ExitCode.OK
