"""The `lentilpath config` subcommands, which check and change the cell's configuration."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated

import typer

from lentilpath._client import CallFailed
from lentilpath._exits import ExitCode
from lentilpath._options import (
    DryRunOption,
    ExpectOption,
    HostOption,
    IdOption,
    JsonOption,
    create_configured_client,
    exit_with_error,
    read_text,
    run_call,
    send_request,
)
from lentilpath_core.configuration import (
    InvalidConfiguration,
    parse_document_text,
    read_configuration,
)

app = typer.Typer(no_args_is_help=True, help="Check, apply and follow the cell's configuration.")

FileArgument = Annotated[Path, typer.Argument(help="configuration, JSON with comments")]


@app.command("check")
def check_file(
    file: FileArgument,
    host: HostOption = None,
    as_json: JsonOption = False,
    offline: Annotated[bool, typer.Option("--offline", help="do not query an entry host")] = False,
) -> None:
    """Validate a file and list its problems."""
    text = read_text(file)
    if not offline:
        run_call(host, as_json, "POST", "/v1/config/check", {"text": text})
    try:
        read_configuration(parse_document_text(text))
    except InvalidConfiguration as error:
        for problem in error.problems:
            typer.echo(f"{file}: {problem}", err=True)
        raise typer.Exit(ExitCode.INVALID) from error
    typer.echo(f"{file}: valid")


@app.command("diff")
def show_differences(
    file: FileArgument, host: HostOption = None, as_json: JsonOption = False
) -> None:
    """Show the differences between the latest version and a file."""
    run_call(host, as_json, "POST", "/v1/config/diff", {"text": read_text(file)})


@app.command("apply")
def apply_file(
    file: FileArgument,
    host: HostOption = None,
    as_json: JsonOption = False,
    id: IdOption = "",
    dry_run: DryRunOption = False,
    expect_version: ExpectOption = None,
) -> None:
    """Apply a file as the next version and put it in force on every reachable host."""
    fields = {
        "text": read_text(file),
        "id": id,
        "dry_run": dry_run,
        "expect_version": expect_version,
    }
    run_call(host, as_json, "POST", "/v1/config/apply", fields)


@app.command("rollback")
def roll_back(
    version: Annotated[
        int, typer.Argument(help="version to restore; it is applied as a new version")
    ],
    host: HostOption = None,
    as_json: JsonOption = False,
    id: IdOption = "",
    dry_run: DryRunOption = False,
    expect_version: ExpectOption = None,
) -> None:
    """Apply the document of an earlier version as the next version."""
    fields = {
        "version": version,
        "id": id,
        "dry_run": dry_run,
        "expect_version": expect_version,
    }
    run_call(host, as_json, "POST", "/v1/config/rollback", fields)


@app.command("history")
def show_history(
    host: HostOption = None,
    as_json: JsonOption = False,
    limit: Annotated[int, typer.Option(help="maximum number of versions")] = 20,
) -> None:
    """List versions, newest first, with operator, time and change."""
    run_call(host, as_json, "GET", f"/v1/config/history?limit={limit}")


@app.command("status")
def show_status(host: HostOption = None, as_json: JsonOption = False) -> None:
    """Show the version in force on each host."""
    run_call(host, as_json, "GET", "/v1/config/status")


@app.command("show")
def show_document(host: HostOption = None) -> None:
    """Print the version in force as JSON, for editing and applying it."""
    try:
        answer = send_request(create_configured_client(host), "GET", "/v1/config")
    except CallFailed as error:
        exit_with_error(error, as_json=False)
    document = json.loads(answer["table"]["rows"][0][1])
    typer.echo(f"// {answer['message']}")
    typer.echo(json.dumps(document, indent=2, ensure_ascii=False))
