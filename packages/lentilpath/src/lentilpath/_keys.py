"""The `lentilpath key` subcommands, which manage operators' keys.

The configuration stores only the hash of a key, so a key can be printed only when it is created.
"""

from __future__ import annotations

import json
import secrets
from datetime import UTC, datetime, timedelta
from typing import Annotated, Any

import typer

from lentilpath._client import CallFailed, Client
from lentilpath._exits import ExitCode
from lentilpath._options import (
    HostOption,
    JsonOption,
    create_configured_client,
    exit_with_answer,
    exit_with_error,
    send_request,
)
from lentilpath._output import format_table
from lentilpath_core.access import Role, hash_key

KEY_BYTES = 32
MS_PER_SECOND = 1_000

app = typer.Typer(no_args_is_help=True, help="Create, list and remove operators' keys.")

NameArgument = Annotated[str, typer.Argument(help="name of the operator")]


@app.command("create")
def create_key(
    name: NameArgument,
    role: Annotated[Role, typer.Option(help="what the key may do")],
    team: Annotated[list[str] | None, typer.Option(help="limit to this team's jobs")] = None,
    days: Annotated[int | None, typer.Option(min=1, help="days until it expires")] = None,
    host: HostOption = None,
    as_json: JsonOption = False,
) -> None:
    """Create a key, store its hash in the configuration and print the key once."""
    key = secrets.token_urlsafe(KEY_BYTES)
    entry: dict[str, Any] = {"sha256": hash_key(key), "role": role.value, "teams": team or []}
    if days is not None:
        expiry = datetime.now(UTC) + timedelta(days=days)
        entry["expires_at_ms"] = int(expiry.timestamp() * MS_PER_SECOND)

    def add_entry(document: dict[str, Any]) -> None:
        keys = document.setdefault("keys", {})
        if name in keys:
            typer.echo(f"error: {name} has a key; remove it first", err=True)
            raise typer.Exit(ExitCode.CONFLICT)
        keys[name] = entry

    answer = _change_document(create_configured_client(host), add_entry, as_json)
    typer.echo(f"key of {name}, shown only now: {key}", err=as_json)
    exit_with_answer(answer, as_json)


@app.command("remove")
def remove_key(name: NameArgument, host: HostOption = None, as_json: JsonOption = False) -> None:
    """Remove a key from the configuration and revoke it on every reachable host."""

    def remove_entry(document: dict[str, Any]) -> None:
        if name not in document.get("keys", {}):
            typer.echo(f"error: {name} has no key", err=True)
            raise typer.Exit(ExitCode.INVALID)
        del document["keys"][name]

    exit_with_answer(
        _change_document(create_configured_client(host), remove_entry, as_json), as_json
    )


@app.command("list")
def list_keys(host: HostOption = None) -> None:
    """List names, roles, teams and expiry times of keys, but not the keys themselves."""
    try:
        document = _read_document(create_configured_client(host))[0]
    except CallFailed as error:
        exit_with_error(error, as_json=False)
    rows = [
        [name, key["role"], ",".join(key.get("teams", [])) or "all", key.get("expires_at_ms", "-")]
        for name, key in document.get("keys", {}).items()
    ]
    typer.echo(format_table(["name", "role", "teams", "expires_at_ms"], rows))


def _read_document(client: Client) -> tuple[dict[str, Any], int]:
    answer = send_request(client, "GET", "/v1/config")
    return json.loads(answer["table"]["rows"][0][1]), answer["version"]


def _change_document(client: Client, edit: Any, as_json: bool) -> dict[str, Any]:
    try:
        document, version = _read_document(client)
        edit(document)
        fields = {"text": json.dumps(document), "expect_version": version}
        answer: dict[str, Any] = send_request(client, "POST", "/v1/config/apply", fields)
    except CallFailed as error:
        exit_with_error(error, as_json)
    # The table of differences contains the hash of the key, so it is omitted.
    return {**answer, "table": None}
