"""Stand-in for the platform: a transactional table, an object store and a lagging host list.

`python -m lentilpath_standins.platform --address IP --port N --hosts FILE` keeps all data in
memory. Each `--caller-port NAME=PORT` opens a port for one caller. While the switch `cut` names a
caller, requests on its port get no response, as in a network partition.
"""

from __future__ import annotations

import asyncio
import json
import zlib
from collections import Counter
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import unquote

import msgspec
import typer

from lentilpath_http import HttpLimits, HttpRequest, HttpResponse, HttpServer, serve_http
from lentilpath_http import json_response as respond
from lentilpath_standins._faults import (
    HTTP_BAD_REQUEST,
    HTTP_CONFLICT,
    HTTP_NOT_FOUND,
    HTTP_NOT_MODIFIED,
    HTTP_OK,
    MS_PER_SECOND,
    Connection,
    ConnectionDropped,
    FaultInjector,
    Faults,
    create_connection_handler,
    hang_until_cancelled,
)
from lentilpath_standins._process import run_until_terminated
from lentilpath_standins._table import Commit, MemoryTable

LIMITS = HttpLimits(max_body_bytes=67_108_864)
DEFAULT_LAG_MS = 1_000
AddressOverrides = dict[str, dict[str, dict[str, Any]]]
"""Host and port to list instead of a host's own, by caller and listed host."""
MUTATING_PATHS = frozenset({"/table/commit"})


class PlatformFaults(Faults, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Fault switches of the platform."""

    late_writes: int = 0
    """For this many commits, close the connection at once and apply the commit after `late_ms`."""
    late_ms: int = 1_000
    cut: tuple[str, ...] = ()
    """Names of the callers that get no response on their ports."""


class PlatformStandin:
    """The data of the platform and its HTTP routes."""

    def __init__(
        self, hosts: list[dict[str, Any]], lag_ms: int, seen_by: AddressOverrides | None = None
    ) -> None:
        self.fault_injector = FaultInjector(PlatformFaults(), self._route_request, MUTATING_PATHS)
        self._table = MemoryTable()
        self._objects: dict[str, bytes] = {}
        self._hosts = hosts
        self._seen_by = seen_by or {}
        self._lag_ms = lag_ms
        self._operation_counts: Counter[str] = Counter()
        self._delayed_commits: set[asyncio.Task[None]] = set()

    async def handle(
        self, request: HttpRequest, connection: Connection, caller: str | None
    ) -> HttpResponse:
        """Handle one request on the port of `caller` (`None` for the main port)."""
        path = request.get_path()
        if path == "/faults":
            return self.fault_injector.handle_faults_request(request)
        if path == "/log":
            return respond(HTTP_OK, {"operations": dict(self._operation_counts)})
        if caller in self.fault_injector.faults.cut:
            await hang_until_cancelled()
        response = await self.fault_injector.handle_request(request, connection)
        if caller in self.fault_injector.faults.cut:
            await hang_until_cancelled()
        if path == "/hosts" and caller is not None and caller in self._seen_by:
            return _respond_with_hosts(request, self._list_hosts_for(caller))
        return response

    async def _route_request(self, request: HttpRequest) -> HttpResponse:
        path = request.get_path()
        self._operation_counts[
            f"{request.method} {path if path.startswith('/table') else path[:8]}"
        ] += 1
        try:
            if path == "/table/commit":
                return self._commit(msgspec.json.decode(request.body, type=Commit))
            if path in ("/table/read", "/table/scan"):
                return self._read(path, json.loads(request.body))
        except (msgspec.DecodeError, ValueError, KeyError, TypeError) as error:
            return respond(HTTP_BAD_REQUEST, {"error": "malformed", "message": repr(error)})
        if path.startswith("/objects"):
            return self._handle_object_request(
                request, unquote(path.removeprefix("/objects").lstrip("/"))
            )
        if path == "/hosts":
            return self._handle_hosts_request(request)
        return respond(HTTP_NOT_FOUND, {"error": "no such path"})

    def _commit(self, commit: Commit) -> HttpResponse:
        faults = self.fault_injector.faults
        if faults.late_writes > 0:
            self.fault_injector.replace_faults(late_writes=faults.late_writes - 1)
            task = asyncio.create_task(self._commit_after_delay(commit, faults.late_ms))
            self._delayed_commits.add(task)
            task.add_done_callback(self._delayed_commits.discard)
            raise ConnectionDropped("fault late_writes: commit delayed, response dropped")
        conflicts = self._table.commit(commit)
        if conflicts:
            rows = msgspec.to_builtins(conflicts)
            return respond(HTTP_CONFLICT, {"applied": False, "conflicts": rows})
        return respond(HTTP_OK, {"applied": True})

    async def _commit_after_delay(self, commit: Commit, late_ms: int) -> None:
        await asyncio.sleep(late_ms / MS_PER_SECOND)
        self._table.commit(commit)

    def _read(self, path: str, message: dict[str, Any]) -> HttpResponse:
        if path == "/table/read":
            rows = tuple(self._table.read(key) for key in message["keys"])
        else:
            rows = self._table.scan(message["prefix"], message["after"], message["limit"])
        return respond(HTTP_OK, {"rows": msgspec.to_builtins(rows)})

    def _handle_object_request(self, request: HttpRequest, key: str) -> HttpResponse:
        if not key:
            prefix = request.parse_query().get("prefix", "")
            keys = sorted(name for name in self._objects if name.startswith(prefix))
            return respond(HTTP_OK, {"keys": keys})
        if request.method == "PUT":
            self._objects[key] = request.body
            return HttpResponse(HTTP_OK)
        if request.method == "DELETE":
            self._objects.pop(key, None)
            return HttpResponse(HTTP_OK)
        if key not in self._objects:
            return respond(HTTP_NOT_FOUND, {"error": "no such object"})
        return HttpResponse(HTTP_OK, (), self._objects[key])

    def _handle_hosts_request(self, request: HttpRequest) -> HttpResponse:
        if request.method == "POST":
            hosts = json.loads(request.body)["hosts"]
            loop = asyncio.get_running_loop()
            loop.call_later(self._lag_ms / MS_PER_SECOND, self._set_hosts, hosts)
            return respond(HTTP_OK, {"hosts": self._hosts})
        return _respond_with_hosts(request, self._hosts)

    def _list_hosts_for(self, caller: str) -> list[dict[str, Any]]:
        overrides = self._seen_by[caller]
        listed = []
        for host in self._hosts:
            address = overrides.get(host["name"])
            override = {"address": address["host"], "port": address["port"]} if address else {}
            listed.append(host | override)
        return listed

    def _set_hosts(self, hosts: list[dict[str, Any]]) -> None:
        self._hosts = hosts


async def start_platform(
    platform: PlatformStandin, address: str, port: int, callers: dict[str, int]
) -> tuple[HttpServer, ...]:
    """Listen on the main port and on the port of each caller (ports by caller name)."""
    listeners: list[tuple[str | None, int]] = [(None, port), *callers.items()]
    servers = []
    for name, listen_port in listeners:

        async def handle(
            request: HttpRequest, connection: Connection, caller: str | None = name
        ) -> HttpResponse:
            return await platform.handle(request, connection, caller)

        handler = create_connection_handler(handle)
        servers.append(await serve_http(handler, address, listen_port, limits=LIMITS))
    return tuple(servers)


def _respond_with_hosts(request: HttpRequest, hosts: list[dict[str, Any]]) -> HttpResponse:
    """Return the hosts that match the query, or status 304 if the caller's ETag is current."""
    query = request.parse_query()
    matching = [
        host
        for host in hosts
        if all(str(host.get(key)) == query[key] for key in ("kind", "zone") if key in query)
    ]
    response = respond(HTTP_OK, {"hosts": matching})
    tag = f'"{zlib.crc32(response.body):08x}"'
    if request.get_header("if-none-match") == tag:
        return HttpResponse(HTTP_NOT_MODIFIED, (("etag", tag),))
    return HttpResponse(HTTP_OK, (*response.headers, ("etag", tag)), response.body)


def main(
    address: Annotated[str, typer.Option(help="IP number to listen on")],
    port: Annotated[int, typer.Option(help="main port")],
    hosts: Annotated[Path, typer.Option(help="JSON file with the list of hosts")],
    caller_port: Annotated[list[str] | None, typer.Option(help="NAME=PORT")] = None,
    lag_ms: Annotated[int, typer.Option(help="delay of changes of the host list")] = DEFAULT_LAG_MS,
) -> None:
    """Run the platform until SIGTERM."""
    listed = json.loads(hosts.read_text())
    platform = PlatformStandin(listed["hosts"], lag_ms, listed.get("seen_by"))
    pairs = (pair.rpartition("=") for pair in caller_port or [])
    callers = {name: int(number) for name, _, number in pairs}
    run_until_terminated(lambda: start_platform(platform, address, port, callers))


if __name__ == "__main__":
    typer.run(main)
