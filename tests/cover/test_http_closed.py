"""How a client's connections end, and when it keeps them.

A connection that ends before its answer is told apart from a cut or malformed answer.
"""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from typing import Any

import pytest

from lentilpath_http import (
    ClientConnection,
    HttpRequest,
    HttpResponse,
    MalformedMessage,
    ResponseLost,
    _client,
    create_client,
    open_connection,
    serve_http,
)
from lentilpath_http._client import MAX_IDLE_CONNECTIONS

TIMEOUT_SECONDS = 5.0


async def ask_server_that_sends(answer: bytes) -> Exception:
    """Return the error of a request to a server that sends `answer` and closes."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    client = create_client("127.0.0.1", server.sockets[0].getsockname()[1])
    try:
        with pytest.raises((ResponseLost, MalformedMessage)) as caught:
            await client.send(HttpRequest("GET", "/"), TIMEOUT_SECONDS)
    finally:
        client.close()
        server.close()
    return caught.value


def test_a_connection_closed_before_any_answer_is_a_lost_response_in_plain_words():
    error = asyncio.run(ask_server_that_sends(b""))
    assert type(error) is ResponseLost
    assert "closed the connection before its answer" in str(error)


@pytest.mark.parametrize("cut", [b"HTTP/1.1 20", b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nab"])
def test_a_connection_closed_within_an_answer_is_a_malformed_one(cut):
    assert type(asyncio.run(ask_server_that_sends(cut))) is MalformedMessage


def test_an_answer_that_is_complete_when_a_late_loop_looks_is_not_lost():
    """Otherwise a busy host repeats calls that were answered, which makes it busier."""
    answer_is_there = threading.Event()

    def answer(listener: socket.socket) -> None:
        connection, _ = listener.accept()
        with connection:
            connection.recv(4_096)
            connection.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            answer_is_there.set()
            connection.recv(1)

    def hold_loop() -> None:
        # Until the answer has come and the time is over.
        answer_is_there.wait(TIMEOUT_SECONDS)
        time.sleep(0.1)

    async def scenario(port: int) -> int:
        connection = await open_connection("127.0.0.1", port)
        exchange = asyncio.create_task(connection.exchange(HttpRequest("GET", "/"), 0.05))
        await asyncio.sleep(0)
        assert connection.bytes_sent
        hold_loop()
        status = (await exchange).status
        connection.close()
        return status

    with socket.create_server(("127.0.0.1", 0)) as listener:
        threading.Thread(target=answer, args=(listener,), daemon=True).start()
        assert asyncio.run(scenario(listener.getsockname()[1])) == 200


class Burst:
    """Sends 20 requests at once several times, on connections that it collects."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.now = 1_000.0
        self.connections: list[ClientConnection] = []
        self._patch = patch
        patch.setattr(_client, "read_seconds", lambda: self.now)

    async def run(self, rounds: int, pause_seconds: float) -> int:
        """Return how many connections are open after a pause and one more request."""

        async def answer(request: HttpRequest) -> HttpResponse:
            return HttpResponse(200, (), b"")

        server = await serve_http(answer, "127.0.0.1", 0)
        client = create_client("127.0.0.1", server.get_port())
        keep = client._keep

        def note(connection: ClientConnection, *more: Any) -> None:
            if connection not in self.connections:
                self.connections.append(connection)
            keep(connection, *more)

        self._patch.setattr(client, "_keep", note)
        request = HttpRequest("GET", "/")
        for _ in range(rounds):
            await asyncio.gather(*(client.send(request, TIMEOUT_SECONDS) for _ in range(20)))
        self.now += pause_seconds
        await client.send(request, TIMEOUT_SECONDS)
        usable = sum(each.is_usable() for each in self.connections)
        client.close()
        await server.close(0.0)
        return usable


def test_requests_that_end_together_leave_their_connections_to_the_next_ones(monkeypatch):
    """A new connection costs several round trips, and to a worker the check of its process."""
    burst = Burst(monkeypatch)
    asyncio.run(burst.run(rounds=3, pause_seconds=0.0))
    assert len(burst.connections) == 20


def test_connections_of_a_burst_are_closed_some_time_after_it(monkeypatch):
    usable = asyncio.run(Burst(monkeypatch).run(rounds=1, pause_seconds=2.0))
    assert usable == MAX_IDLE_CONNECTIONS
