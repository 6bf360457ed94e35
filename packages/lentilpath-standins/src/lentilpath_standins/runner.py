"""A runner of a service: a few slots, a bounded number of connections, and faults on command.

`python -m lentilpath_standins.runner --port N --name X --service boxplanner`. The answer to a
request repeats its method, target, body and `x-request-id`, so that a test sees whose answer it is.

- `POST /faults`: `{down, slow_factor, delay_ms, silent, cut, longer, leaving}`; unnamed ones keep
  their values. `silent` makes the connections that are open now silent for good, while new ones
  work; `cut` and `longer` falsify that many next answers; `delay_ms` holds back answers, also odd
  ones only if `delay_odd` is set.
- `GET /log`: what truly ran, in order, and counters of what was refused and of any excess.
- `OPTIONS *`: 204, without taking a slot.
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
SETTABLE = (
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
    """What the runner is, does and did."""

    name: str
    service: str
    slots: int
    connections: int
    service_ms: float
    jitter: float = 0.0
    """Run times are spread evenly by this part of `service_ms` to both sides."""
    chance: random.Random = field(default_factory=lambda: random.Random(0))
    down: bool = False
    slow_factor: float = 1.0
    delay_ms: float = 0.0
    delay_odd: bool = False
    cut: int = 0
    longer: int = 0
    leaving: bool = False
    running: int = 0
    open: set[_Connection] = field(default_factory=set)
    silenced: set[_Connection] = field(default_factory=set)
    log: list[dict[str, Any]] = field(default_factory=list)
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
        if len(state.open) >= state.connections:
            state.connection_excess += 1
            self._writer.transport.abort()
            return
        state.open.add(self)
        state.most_open = max(state.most_open, len(state.open))
        try:
            while await self._serve_request():
                self._protocol.start_next_cycle()
        except h11.RemoteProtocolError:
            state.malformed += 1
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            state.open.discard(self)
            state.silenced.discard(self)
            self._writer.close()

    def abort(self) -> None:
        self._writer.transport.abort()

    async def _serve_request(self) -> bool:
        received = await self._receive()
        if received is None:
            return False
        head, body = received
        if self in self._state.silenced:
            return await self._stay_silent()
        return await self._answer(head, body)

    async def _receive(self) -> tuple[h11.Request, bytes] | None:
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

    async def _answer(self, head: h11.Request, body: bytes) -> bool:
        state = self._state
        method = head.method.decode()
        target = head.target.decode("latin-1")
        if method == "OPTIONS" and target == "*":
            return await self._send(204, b"")
        if target == "/faults" and method == "POST":
            return await self._send(200, json.dumps(set_faults(state, json.loads(body))).encode())
        if target == "/log" and method == "GET":
            return await self._send(200, json.dumps(report(state)).encode())
        return await self._run(head, method, target, body)

    async def _run(self, head: h11.Request, method: str, target: str, body: bytes) -> bool:
        state = self._state
        headers = {key.decode(): value.decode("latin-1") for key, value in head.headers}
        request = headers.get("x-request-id", "")
        if state.leaving:
            state.refused += 1
            return await self._send(503, b"", (("x-outcome", "not-run"), ("x-leaving", "1")))
        if state.running >= state.slots:
            state.refused += 1
            state.slot_excess += 1
            return await self._send(503, b"", (("x-outcome", "not-run"),))
        state.running += 1
        state.most_running = max(state.most_running, state.running)
        number = len(state.log)
        state.log.append(
            {
                "request": request,
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
        spread = 1.0 + state.jitter * state.chance.uniform(-1.0, 1.0)
        run_ms = state.service_ms * state.slow_factor * spread
        try:
            await asyncio.sleep(run_ms / MS_PER_SECOND)
        finally:
            state.running -= 1
            state.log[number]["ended"] = time.time()
        if state.delay_ms and (number % 2 or not state.delay_odd):
            await asyncio.sleep(state.delay_ms / MS_PER_SECOND)
        answer = {
            "runner": state.name,
            "request": request,
            "method": method,
            "target": target,
            "number": number,
            "run_ms": run_ms,
            "body": body.decode("latin-1"),
        }
        state.answered += 1
        data = b"" if method == "HEAD" else json.dumps(answer).encode()
        return await self._send(200, data, (("x-request-id", request),), falsify=True)

    async def _stay_silent(self) -> bool:
        # Nothing leaves this connection any more; it stays open until the other end closes.
        while await self._reader.read(READ_CHUNK_BYTES):
            pass
        return False

    async def _send(
        self,
        status: int,
        body: bytes,
        headers: tuple[tuple[str, str], ...] = (),
        *,
        falsify: bool = False,
    ) -> bool:
        if self in self._state.silenced:
            return await self._stay_silent()
        lines: list[tuple[str, str]] = [*headers]
        if status != 204:
            lines.append(("content-length", str(len(body))))
        if self._state.leaving:
            lines.append(("connection", "close"))
        protocol = self._protocol
        data = protocol.send(h11.Response(status_code=status, headers=lines)) or b""
        if body:
            data += protocol.send(h11.Data(data=body)) or b""
        data += protocol.send(h11.EndOfMessage()) or b""
        kept = protocol.our_state is h11.DONE
        if falsify and self._state.cut:
            self._state.cut -= 1
            data, kept = data[: -max(1, len(body) // 2)], False
        if falsify and self._state.longer:
            self._state.longer -= 1
            data += b"surplus"
        self._state.bytes_sent += len(data)
        self._writer.write(data)
        await self._writer.drain()
        return kept


def set_faults(state: RunnerState, faults: dict[str, Any]) -> dict[str, Any]:
    """Set the named faults and return the current ones."""
    for name in SETTABLE:
        if name in faults:
            setattr(state, name, faults[name])
    if faults.get("silent"):
        state.silenced |= state.open
    if state.down:
        for connection in tuple(state.open):
            connection.abort()
    return {name: getattr(state, name) for name in SETTABLE}


def report(state: RunnerState) -> dict[str, Any]:
    """Return what truly ran, and the counters."""
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
        "requests": state.log,
        **{name: getattr(state, name) for name in counters},
    }


async def start_runner(state: RunnerState, address: str, port: int) -> asyncio.Server:
    """Listen on `address` and `port` (0 for a free one) and return the server."""

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
    """Run one runner until SIGTERM; a stop cuts off no request that it has begun."""
    state = RunnerState(name, service, slots, connections, service_ms)

    async def serve() -> None:
        terminated = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, terminated.set)
        server = await start_runner(state, address, port)
        await terminated.wait()
        server.close()
        # Polled, since only the stop ever asks for it.
        while state.running:  # noqa: ASYNC110
            await asyncio.sleep(STOP_POLL_SECONDS)

    asyncio.run(serve())


if __name__ == "__main__":
    typer.run(main)
