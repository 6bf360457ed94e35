"""The platform: a transactional table, an object store and a lagging list of hosts.

`python -m lentilpath_standins.platform --address IP --port N --hosts FILE` keeps everything in
memory. Each `--caller-port NAME=PORT` opens one more port, and the switch `cut` makes the ports
of the named callers go silent, as a network partition would.
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
    BrokenOff,
    Connection,
    FaultGate,
    Faults,
    fall_silent,
    serve_connections,
)
from lentilpath_standins._process import run_until_terminated
from lentilpath_standins._table import Commit, MemoryTable

LIMITS = HttpLimits(body_bytes=67_108_864)
DEFAULT_LAG_MS = 1_000
SeenAddresses = dict[str, dict[str, dict[str, Any]]]
"""Host and port of a listed host as one caller sees them: by caller, then by host."""
CHANGING_PATHS = frozenset({"/table/commit"})


class PlatformFaults(Faults, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Switches of the platform."""

    late_writes: int = 0
    """Close the connection of this many commits at once, and apply each after `late_ms`."""
    late_ms: int = 1_000
    cut: tuple[str, ...] = ()
    """Names of the callers whose ports are silent."""


class PlatformStandin:
    """The state of the platform and its routes."""

    def __init__(
        self, hosts: list[dict[str, Any]], lag_ms: int, seen_by: SeenAddresses | None = None
    ) -> None:
        self.gate = FaultGate(PlatformFaults(), self._answer, CHANGING_PATHS)
        self._table = MemoryTable()
        self._objects: dict[str, bytes] = {}
        self._hosts = hosts
        self._seen_by = seen_by or {}
        self._lag_ms = lag_ms
        self._counts: Counter[str] = Counter()
        self._late: set[asyncio.Task[None]] = set()

    async def handle(
        self, request: HttpRequest, connection: Connection, caller: str | None
    ) -> HttpResponse:
        """Answer one request that came in on the port of `caller` (`None`: the main port)."""
        path = request.get_path()
        if path == "/faults":
            return self.gate.switch(request)
        if path == "/log":
            return respond(HTTP_OK, {"operations": dict(self._counts)})
        if caller in self.gate.faults.cut:
            await fall_silent()
        response = await self.gate.pass_request(request, connection)
        if caller in self.gate.faults.cut:
            await fall_silent()
        if path == "/hosts" and caller is not None and caller in self._seen_by:
            return _answer_list(request, self._list_hosts_for(caller))
        return response

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        path = request.get_path()
        self._counts[f"{request.method} {path if path.startswith('/table') else path[:8]}"] += 1
        try:
            if path == "/table/commit":
                return self._commit(msgspec.json.decode(request.body, type=Commit))
            if path in ("/table/read", "/table/scan"):
                return self._read(path, json.loads(request.body))
        except (msgspec.DecodeError, ValueError, KeyError, TypeError) as error:
            return respond(HTTP_BAD_REQUEST, {"error": "malformed", "message": repr(error)})
        if path.startswith("/objects"):
            return self._answer_object(request, unquote(path.removeprefix("/objects").lstrip("/")))
        if path == "/hosts":
            return self._answer_hosts(request)
        return respond(HTTP_NOT_FOUND, {"error": "no such path"})

    def _commit(self, commit: Commit) -> HttpResponse:
        faults = self.gate.faults
        if faults.late_writes > 0:
            self.gate.replace_faults(late_writes=faults.late_writes - 1)
            task = asyncio.create_task(self._commit_late(commit, faults.late_ms))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            raise BrokenOff("the write is applied later")
        conflicts = self._table.commit(commit)
        if conflicts:
            rows = msgspec.to_builtins(conflicts)
            return respond(HTTP_CONFLICT, {"applied": False, "conflicts": rows})
        return respond(HTTP_OK, {"applied": True})

    async def _commit_late(self, commit: Commit, late_ms: int) -> None:
        await asyncio.sleep(late_ms / MS_PER_SECOND)
        self._table.commit(commit)

    def _read(self, path: str, message: dict[str, Any]) -> HttpResponse:
        if path == "/table/read":
            rows = tuple(self._table.read(key) for key in message["keys"])
        else:
            rows = self._table.scan(message["prefix"], message["after"], message["limit"])
        return respond(HTTP_OK, {"rows": msgspec.to_builtins(rows)})

    def _answer_object(self, request: HttpRequest, key: str) -> HttpResponse:
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

    def _answer_hosts(self, request: HttpRequest) -> HttpResponse:
        if request.method == "POST":
            hosts = json.loads(request.body)["hosts"]
            loop = asyncio.get_running_loop()
            loop.call_later(self._lag_ms / MS_PER_SECOND, self._set_hosts, hosts)
            return respond(HTTP_OK, {"hosts": self._hosts})
        return _answer_list(request, self._hosts)

    def _list_hosts_for(self, caller: str) -> list[dict[str, Any]]:
        seen = self._seen_by[caller]
        listed = []
        for host in self._hosts:
            address = seen.get(host["name"])
            other = {"address": address["host"], "port": address["port"]} if address else {}
            listed.append(host | other)
        return listed

    def _set_hosts(self, hosts: list[dict[str, Any]]) -> None:
        self._hosts = hosts


async def start_platform(
    platform: PlatformStandin, address: str, port: int, callers: dict[str, int]
) -> tuple[HttpServer, ...]:
    """Listen on the main port and on the port of each caller."""
    names: list[tuple[str | None, int]] = [(None, port), *callers.items()]
    servers = []
    for name, number in names:

        async def answer(
            request: HttpRequest, connection: Connection, caller: str | None = name
        ) -> HttpResponse:
            return await platform.handle(request, connection, caller)

        handler = serve_connections(answer)
        servers.append(await serve_http(handler, address, number, limits=LIMITS))
    return tuple(servers)


def _answer_list(request: HttpRequest, hosts: list[dict[str, Any]]) -> HttpResponse:
    """Answer with the hosts that the query asks for, or 304 if the caller has them already."""
    query = request.parse_query()
    wanted = [
        host
        for host in hosts
        if all(str(host.get(key)) == query[key] for key in ("kind", "zone") if key in query)
    ]
    response = respond(HTTP_OK, {"hosts": wanted})
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
