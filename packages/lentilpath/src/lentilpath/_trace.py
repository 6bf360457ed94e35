"""The `lentilpath trace` command: the history of one job or task from several processes' logs."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import typer

from lentilpath_core.tracing import build_trace, format_trace_line

EXIT_CODE_NOT_FOUND = 1
EXIT_CODE_UNREADABLE = 2


def trace_command(
    id: Annotated[str, typer.Argument(help="a job, or one task as JOB/0/STEP/NUMBER")],
    logs: Annotated[
        list[Path] | None, typer.Argument(help="log files; standard input if none is given")
    ] = None,
) -> None:
    """Print each process's log events about a job or task, ordered by time."""
    trace = build_trace(_read_lines(logs or []), id)
    started_at = trace.lines[0].at if trace.lines else 0.0
    for line in trace.lines:
        typer.echo(format_trace_line(line, started_at))
    for text in trace.missing:
        typer.echo(f"missing: {text}")
    if trace.unreadable:
        typer.echo(f"missing: {trace.unreadable} lines with this id cannot be read")
    if not trace.lines:
        raise typer.Exit(EXIT_CODE_NOT_FOUND)


def _read_lines(logs: list[Path]) -> Iterator[str]:
    if not logs:
        yield from sys.stdin
    for path in logs:
        try:
            with path.open(errors="replace") as log:
                yield from log
        except OSError as error:
            typer.echo(f"{path}: cannot be read: {error.strerror}", err=True)
            raise typer.Exit(EXIT_CODE_UNREADABLE) from error
