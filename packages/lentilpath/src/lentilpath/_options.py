"""Options and functions that the subcommands share to send calls and print their results."""

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
    str | None, typer.Option("--host", help="IP:PORT of an entry host's administration API")
]
JsonOption = Annotated[bool, typer.Option("--json", help="print JSON")]
IdOption = Annotated[str, typer.Option("--id", help="idempotency key for retries")]
DryRunOption = Annotated[bool, typer.Option("--dry-run", help="show what would change")]
ExpectOption = Annotated[
    int | None, typer.Option("--expect-version", help="fail if the current version differs")
]


def create_configured_client(host: str | None) -> Client:
    """Return a client of the chosen entry host; exits if no valid host is configured."""
    try:
        return Client(read_client_settings(host))
    except InvalidSettings as error:
        typer.echo(f"error: {error}", err=True)
        raise typer.Exit(ExitCode.INVALID) from error


def send_request(
    client: Client, method: str, path: str, fields: dict[str, Any] | None = None
) -> Any:
    """Send one request with `fields` as its JSON body and return the answer.

    Raises `CallFailed`.
    """
    body = b"" if fields is None else json.dumps(fields).encode()
    return client.call(method, path, body)


def exit_with_answer(answer: dict[str, Any], as_json: bool) -> None:
    """Print an answer and exit with its exit code."""
    typer.echo(json.dumps(answer, indent=2) if as_json else format_answer(answer))
    raise typer.Exit(choose_answer_exit_code(answer))


def exit_with_error(error: CallFailed, as_json: bool) -> None:
    """Print the error and exit with its exit code."""
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
    """Send one request, print its answer or error, and exit."""
    try:
        answer = send_request(create_configured_client(host), method, path, fields)
    except CallFailed as error:
        exit_with_error(error, as_json)
    exit_with_answer(answer, as_json)


def read_text(path: Path) -> str:
    """Return the text of a file; exits if the file cannot be read."""
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        typer.echo(f"error: {path} cannot be read: {error}", err=True)
        raise typer.Exit(ExitCode.INVALID) from error


def choose_answer_exit_code(answer: dict[str, Any]) -> ExitCode:
    """Return the exit code for an answer."""
    if answer.get("outcome") == "refused":
        return ExitCode.REFUSED
    return ExitCode.PARTIAL if answer.get("partial") else ExitCode.OK
