"""The `lentilpath explain` command: where a job would be placed now, and why."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated, Any

import json5
import typer

from lentilpath._client import CallFailed
from lentilpath._exits import ExitCode
from lentilpath._options import (
    JsonOption,
    create_configured_client,
    exit_with_error,
    read_text,
    send_request,
)

FileArgument = Annotated[
    Path, typer.Argument(help="job, JSON with comments: queue, steps and, if any, customer")
]
MetricsHostOption = Annotated[
    str | None, typer.Option("--host", help="IP:PORT of an entry host's metrics address")
]

_UNITS = (("millicores", "millicores"), ("memory_mib", "MB"), ("accelerators", "accelerators"))
"""The amounts of resources, each with its unit."""


def explain_job_file(
    file: FileArgument, host: MetricsHostOption = None, as_json: JsonOption = False
) -> None:
    """Show where a job would be placed now, and why, without submitting it."""
    try:
        question = json5.loads(read_text(file))
    except ValueError as error:
        typer.echo(f"error: {file}: {error}", err=True)
        raise typer.Exit(ExitCode.INVALID) from error
    try:
        answer = send_request(create_configured_client(host), "POST", "/explain", question)
    except CallFailed as error:
        exit_with_error(error, as_json)
    typer.echo(json.dumps(answer, indent=2) if as_json else format_explanation(answer))
    if not answer["is_accepted"]:
        raise typer.Exit(ExitCode.REFUSED)


def format_explanation(answer: dict[str, Any]) -> str:
    """Return an explanation as lines for people."""
    if answer["is_accepted"]:
        lines = ["would be accepted"]
    else:
        lines = [f"would be refused: {answer['reason']}"]
        if answer["retry_after_ms"]:
            lines.append(f"retry after {answer['retry_after_ms']} ms")
    lines.append(
        f"{answer['steps_ahead']} of {answer['steps_waiting']} waiting steps go first; "
        f"the work ahead takes about {answer['wait_ms']} ms"
    )
    lines.append(
        f"objective {answer['objective_ms']} ms, critical path {answer['critical_path_ms']} ms"
    )
    if answer["customer"] is not None:
        lines.extend(_format_customer(answer["customer"]))
    for step in answer["steps"]:
        lines.extend(_format_step(step))
    age = answer["oldest_report_ms"]
    lines.append("no worker has reported" if age is None else f"oldest worker report: {age} ms ago")
    return "\n".join(lines)


def _format_customer(customer: dict[str, Any]) -> list[str]:
    name = customer["customer"]
    if not customer["is_known"]:
        return [f"customer {name}: not in any configuration that the leader has seen"]
    held, unseen, quota = customer["held"], customer["unseen"], customer["quota"]
    amounts = []
    for field, unit in _UNITS:
        limit = quota[field] or "no limit"
        amount = f"{held[field]} of {limit} {unit}"
        if unseen[field]:
            amount += f" and up to {unseen[field]} on workers that have not reported"
        amounts.append(amount)
    lines = [f"customer {name} holds {', '.join(amounts)}"]
    share = f"weight {customer['weight']:g}, weighted share {customer['weighted_share']:.4f}"
    if customer["is_over_share"]:
        share += f"; over its share for {customer['within_share_in_ms']} ms, behind all others"
    lines.append(f"  {share}")
    return lines


def _format_step(step: dict[str, Any]) -> list[str]:
    start = step["starts_in_ms"]
    expected = "start cannot be estimated" if start is None else f"starts in about {start} ms"
    lines = [f"step {step['step']}: room for {step['placed']} of {step['tasks']} tasks; {expected}"]
    if step["allowed"] < step["tasks"]:
        lines.append(f"  the customer's quota lets {step['allowed']} tasks start now")
    if step["workers"]:
        lines.append(f"  on {', '.join(step['workers'])}")
    for each in step["obstacles"]:
        examples = ", ".join(each["examples"])
        lines.append(f"  {each['workers']} workers: {each['obstacle']} ({examples})")
    if step["needs_advice"]:
        lines.append("  the advice service may exclude further workers")
    return lines
