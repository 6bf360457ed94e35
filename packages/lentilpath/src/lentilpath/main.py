"""The command line: `lentilpath COMMAND`, `lentilpath run`, `lentilpath shell` and subcommands."""

from __future__ import annotations

import sys
from typing import Annotated

import typer

from lentilpath import _config, _keys, _report
from lentilpath._explain import explain_job_file
from lentilpath._options import (
    DryRunOption,
    ExpectOption,
    HostOption,
    IdOption,
    JsonOption,
    create_configured_client,
    run_call,
)
from lentilpath._shell import run_shell
from lentilpath._trace import trace_command

app = typer.Typer(no_args_is_help=True, add_completion=False)
app.add_typer(_config.app, name="config")
app.add_typer(_keys.app, name="key")
app.add_typer(_report.app, name="report")


@app.callback()
def describe() -> None:
    """Query and change a lentilpath cell. `lentilpath help` lists the commands of the language.

    Exit codes: 0 done, 1 internal error of the host, 2 invalid command, 3 conflict with another
    change, 4 service unavailable (nothing changed), 5 outcome unknown (repeat with the same --id),
    6 key refused, 7 refused by the zone, 8 some zones did not answer.
    """


@app.command("run")
def run_command(
    words: Annotated[list[str], typer.Argument(help="a command of the language")],
    host: HostOption = None,
    as_json: JsonOption = False,
    id: IdOption = "",
    dry_run: DryRunOption = False,
    expect_version: ExpectOption = None,
    wait_ms: Annotated[
        int, typer.Option("--wait-ms", help="maximum time to wait for the zone's answer")
    ] = 1_000,
) -> None:
    """Send one command, such as `tasks where state = waiting`, and print its answer."""
    fields = {
        "command": " ".join(words),
        "id": id,
        "dry_run": dry_run,
        "expect_version": expect_version,
        "wait_ms": wait_ms,
    }
    run_call(host, as_json, "POST", "/v1/commands", fields)


@app.command("shell")
def open_shell(host: HostOption = None) -> None:
    """Read commands line by line, with history and completion."""
    run_shell(create_configured_client(host))


app.command("trace")(trace_command)
app.command("explain")(explain_job_file)


def insert_default_command(arguments: list[str]) -> list[str]:
    """Return `arguments` with `run` in front, unless they name a subcommand or ask for help."""
    names = {command.name for command in app.registered_commands}
    names |= {group.name for group in app.registered_groups}
    names |= {"--help"}
    # `explain line L` is a command of the language, `explain FILE` a subcommand.
    is_of_language = arguments[:2] == ["explain", "line"]
    if not arguments or (arguments[0] in names and not is_of_language):
        return arguments
    return ["run", *arguments]


def run() -> None:
    """Entry point of the `lentilpath` binary."""
    sys.argv[1:] = insert_default_command(sys.argv[1:])
    app()
