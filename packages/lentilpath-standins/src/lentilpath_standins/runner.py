"""Stand-in for a runner of a service, with limits on slots and connections, and fault injection.

`python -m lentilpath_standins.runner --port N --name X --service boxplanner`. The response echoes
the method, target, body and `x-request-id` of its request, so that a test can match the two.

- `POST /faults`: `{down, slow_factor, delay_ms, delay_odd, silent, cut, longer, leaving,
  service_ms}`; switches that are not named keep their values. `silent` stops all responses on the
  connections that are open now; new ones work. `cut` truncates the given number of next responses,
  and `longer` appends surplus bytes to the given number. `delay_ms` delays each response after the
  run; with `delay_odd` only responses to requests with an odd number are delayed.
- `GET /log`: the executed requests in order, and counters of refusals and exceeded limits.
- `OPTIONS *`: status 204, without using a slot.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
import signal
import time
from dataclasses import dataclass, field
from typing import Any

import h11
import typer

STOP_POLL_SECONDS = 0.05
READ_CHUNK_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
MS_PER_SECOND = 1_000
FAULT_NAMES = (
    "down",
    "slow_factor",
    "delay_ms",
    "delay_odd",
    "cut",
    "longer",
    "leaving",
    "service_ms",
)


@dataclass(slots=True)
class RunnerState:
    """Configuration, fault switches, log and counters of a runner."""

    name: str
    service: str
    slots: int
    connections: int
    service_ms: float
    jitter: float = 0.0
    """Run times are uniform within `service_ms` plus or minus this fraction of it."""
    rng: random.Random = field(default_factory=lambda: random.Random(0))
    down: bool = False
    slow_factor: float = 1.0
    delay_ms: float = 0.0
    delay_odd: bool = False
    cut: int = 0
    longer: int = 0
    leaving: bool = False
    running: int = 0
    open_connections: set[_Connection] = field(default_factory=set)
    silenced_connections: set[_Connection] = field(default_factory=set)
    request_log: list[dict[str, Any]] = field(default_factory=list)
    most_running: int = 0
    most_open: int = 0
    slot_excess: int = 0
    connection_excess: int = 0
    refused: int = 0
    malformed: int = 0
    answered: int = 0
    bytes_received: int = 0
    bytes_sent: int = 0


class _Connection:
    """One accepted connection."""

    def __init__(
        self, state: RunnerState, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._state = state
        self._reader = reader
        self._writer = writer
        self._protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)

    async def serve(self) -> None:
        state = self._state
        if state.down:
            self._writer.transport.abort()
            return
        if len(state.open_connections) >= state.connections:
            state.connection_excess += 1
            self._writer.transport.abort()
            return
        state.open_connections.add(self)
        state.most_open = max(state.most_open, len(state.open_connections))
        try:
            while await self._serve_request():
                self._protocol.start_next_cycle()
        except h11.RemoteProtocolError:
            state.malformed += 1
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            state.open_connections.discard(self)
            state.silenced_connections.discard(self)
            self._writer.close()

    def abort(self) -> None:
        self._writer.transport.abort()

    async def _serve_request(self) -> bool:
        received = await self._receive_request()
        if received is None:
            return False
        head, body = received
        if self in self._state.silenced_connections:
            return await self._discard_until_closed()
        return await self._route_request(head, body)

    async def _receive_request(self) -> tuple[h11.Request, bytes] | None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                data = await self._reader.read(READ_CHUNK_BYTES)
                self._state.bytes_received += len(data)
                self._protocol.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                return head, bytes(body)
            else:
                return None

    async def _route_request(self, head: h11.Request, body: bytes) -> bool:
        state = self._state
        method = head.method.decode()
        target = head.target.decode("latin-1")
        if method == "OPTIONS" and target == "*":
            return await self._send(204, b"")
        if target == "/faults" and method == "POST":
            return await self._send(200, json.dumps(set_faults(state, json.loads(body))).encode())
        if target == "/log" and method == "GET":
            return await self._send(200, json.dumps(build_report(state)).encode())
        return await self._run_request(head, method, target, body)

    async def _run_request(self, head: h11.Request, method: str, target: str, body: bytes) -> bool:
        state = self._state
        headers = {key.decode(): value.decode("latin-1") for key, value in head.headers}
        request_id = headers.get("x-request-id", "")
        if state.leaving:
            state.refused += 1
            return await self._send(503, b"", (("x-outcome", "not-run"), ("x-leaving", "1")))
        if state.running >= state.slots:
            state.refused += 1
            state.slot_excess += 1
            return await self._send(503, b"", (("x-outcome", "not-run"),))
        state.running += 1
        state.most_running = max(state.most_running, state.running)
        number = len(state.request_log)
        state.request_log.append(
            {
                "request": request_id,
                "method": method,
                "target": target,
                "body": body.decode("latin-1")[:200],
                "body_bytes": len(body),
                "body_hash": hashlib.sha256(body).hexdigest(),
                "customer": headers.get("x-customer", ""),
                "key": headers.get("idempotency-key"),
                "at": time.time(),
                "ended": None,
            }
        )
        jitter_factor = 1.0 + state.jitter * state.rng.uniform(-1.0, 1.0)
        run_ms = state.service_ms * state.slow_factor * jitter_factor
        try:
            await asyncio.sleep(run_ms / MS_PER_SECOND)
        finally:
            state.running -= 1
            state.request_log[number]["ended"] = time.time()
        if state.delay_ms and (number % 2 or not state.delay_odd):
            await asyncio.sleep(state.delay_ms / MS_PER_SECOND)
        answer = {
            "runner": state.name,
            "request": request_id,
            "method": method,
            "target": target,
            "number": number,
            "run_ms": run_ms,
            "body": body.decode("latin-1"),
        }
        state.answered += 1
        data = b"" if method == "HEAD" else json.dumps(answer).encode()
        return await self._send(200, data, (("x-request-id", request_id),), corrupt=True)

    async def _discard_until_closed(self) -> bool:
        # Sends nothing more; the connection stays open until the peer closes it.
        while await self._reader.read(READ_CHUNK_BYTES):
            pass
        return False

    async def _send(
        self,
        status: int,
        body: bytes,
        headers: tuple[tuple[str, str], ...] = (),
        *,
        corrupt: bool = False,
    ) -> bool:
        if self in self._state.silenced_connections:
            return await self._discard_until_closed()
        header_fields: list[tuple[str, str]] = [*headers]
        if status != 204:
            header_fields.append(("content-length", str(len(body))))
        if self._state.leaving:
            header_fields.append(("connection", "close"))
        protocol = self._protocol
        data = protocol.send(h11.Response(status_code=status, headers=header_fields)) or b""
        if body:
            data += protocol.send(h11.Data(data=body)) or b""
        data += protocol.send(h11.EndOfMessage()) or b""
        keep_alive = protocol.our_state is h11.DONE
        if corrupt and self._state.cut:
            self._state.cut -= 1
            data, keep_alive = data[: -max(1, len(body) // 2)], False
        if corrupt and self._state.longer:
            self._state.longer -= 1
            data += b"surplus"
        self._state.bytes_sent += len(data)
        self._writer.write(data)
        await self._writer.drain()
        return keep_alive


def set_faults(state: RunnerState, faults: dict[str, Any]) -> dict[str, Any]:
    """Set the named faults and return the current values of all.

    Unknown names are ignored. `down` also aborts all open connections.
    """
    for name in FAULT_NAMES:
        if name in faults:
            setattr(state, name, faults[name])
    if faults.get("silent"):
        state.silenced_connections |= state.open_connections
    if state.down:
        for connection in tuple(state.open_connections):
            connection.abort()
    return {name: getattr(state, name) for name in FAULT_NAMES}


def build_report(state: RunnerState) -> dict[str, Any]:
    """Return the executed requests and the counters, as `GET /log` shows them."""
    counters = (
        "running",
        "most_running",
        "most_open",
        "slot_excess",
        "connection_excess",
        "refused",
        "malformed",
        "answered",
        "bytes_received",
        "bytes_sent",
    )
    return {
        "name": state.name,
        "requests": state.request_log,
        **{name: getattr(state, name) for name in counters},
    }


async def start_runner(state: RunnerState, address: str, port: int) -> asyncio.Server:
    """Listen on `address` and `port` (0 for any free port) and return the server."""

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await _Connection(state, reader, writer).serve()

    return await asyncio.start_server(accept, address, port, backlog=1024)


def main(
    name: str = typer.Option(...),
    service: str = typer.Option(...),
    port: int = typer.Option(...),
    address: str = "127.0.0.1",
    slots: int = 8,
    connections: int = 64,
    service_ms: float = 20.0,
) -> None:
    """Run one runner until SIGTERM, then finish the requests that already run."""
    state = RunnerState(name, service, slots, connections, service_ms)

    async def serve() -> None:
        terminated = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, terminated.set)
        server = await start_runner(state, address, port)
        await terminated.wait()
        server.close()
        # Polled because only the shutdown needs to know when the last request has ended.
        while state.running:  # noqa: ASYNC110
            await asyncio.sleep(STOP_POLL_SECONDS)

    asyncio.run(serve())


if __name__ == "__main__":
    typer.run(main)
