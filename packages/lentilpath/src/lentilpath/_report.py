"""The `lentilpath report` subcommands."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated

import typer

from lentilpath._burn import format_burn_text, make_burn_page
from lentilpath._client import CallFailed
from lentilpath._exits import ExitCode
from lentilpath._options import (
    HostOption,
    JsonOption,
    create_configured_client,
    exit_with_error,
    run_call,
    send_request,
)

app = typer.Typer(no_args_is_help=True, help="Reports.")


@app.callback()
def describe() -> None:
    """Print reports about the cell."""


@app.command("seals")
def report_seals(host: HostOption = None, as_json: JsonOption = False) -> None:
    """Verify all sealed usage objects against their digests; exit code 7 if one was changed."""
    run_call(host, as_json, "GET", "/v1/report/seals")


@app.command("burn")
def report_burn(
    host: HostOption = None,
    as_json: JsonOption = False,
    hours: Annotated[int, typer.Option(min=1, help="hours to include, up to now")] = 72,
    page: Annotated[
        Path | None, typer.Option("--html", help="also write a page with plots to this file")
    ] = None,
) -> None:
    """Show burn rates, the remaining error budget and the causes of bad events."""
    try:
        report = send_request(
            create_configured_client(host), "GET", f"/v1/report/burn?hours={hours}"
        )
    except CallFailed as error:
        exit_with_error(error, as_json)
    if page is not None:
        try:
            page.write_text(make_burn_page(report))
        except OSError as error:
            typer.echo(f"error: {page} cannot be written: {error}", err=True)
            raise typer.Exit(ExitCode.INVALID) from error
    typer.echo(json.dumps(report, indent=2) if as_json else format_burn_text(report))
