"""Clients that connect while a server shuts down get a response."""

import asyncio
import socket

from lentilpath_http import HttpLimits, HttpRequest, HttpResponse, serve_http

STOP_GRACE_SECONDS = 3.0
LIMITS = HttpLimits(linger_seconds=0.1, receive_timeout_seconds=2.0)
REQUEST = b"GET /plan HTTP/1.1\r\nhost: h\r\n\r\n"


async def answer(_: HttpRequest) -> HttpResponse:
    return HttpResponse(200, (), b"whole")


def connect_blocking(port: int) -> socket.socket:
    """Connect without yielding to the event loop, so that the server can't accept yet."""
    return socket.create_connection(("127.0.0.1", port), timeout=STOP_GRACE_SECONDS)


def read_answer(connection: socket.socket) -> bytes:
    data = b""
    with connection:
        while chunk := connection.recv(4_096):
            data += chunk
    return data


def test_a_request_on_a_connection_that_is_not_yet_accepted_is_answered():
    async def scenario() -> bytes:
        server = await serve_http(answer, "127.0.0.1", 0, limits=LIMITS)
        connection = connect_blocking(server.get_port())
        connection.sendall(REQUEST)
        await server.close(STOP_GRACE_SECONDS)
        return await asyncio.to_thread(read_answer, connection)

    assert b"200" in asyncio.run(scenario()).splitlines()[0]


def test_a_caller_who_has_just_connected_may_still_send_its_request():
    async def scenario() -> bytes:
        server = await serve_http(answer, "127.0.0.1", 0, limits=LIMITS)
        connection = connect_blocking(server.get_port())
        closing = asyncio.create_task(server.close(STOP_GRACE_SECONDS))
        await asyncio.sleep(3 * LIMITS.linger_seconds)
        connection.sendall(REQUEST)
        await closing
        return await asyncio.to_thread(read_answer, connection)

    assert b"200" in asyncio.run(scenario()).splitlines()[0]


def test_a_connection_without_a_request_does_not_delay_a_stop_for_the_whole_grace_period():
    async def scenario() -> float:
        server = await serve_http(answer, "127.0.0.1", 0, limits=LIMITS)
        with connect_blocking(server.get_port()):
            loop = asyncio.get_running_loop()
            begun = loop.time()
            await server.close(10 * STOP_GRACE_SECONDS)
            return loop.time() - begun

    assert asyncio.run(scenario()) < 10 * STOP_GRACE_SECONDS


def test_a_stop_without_grace_closes_connections_at_once():
    async def scenario() -> bytes:
        server = await serve_http(answer, "127.0.0.1", 0, limits=LIMITS)
        with connect_blocking(server.get_port()) as connection:
            await server.close(0.0)
            try:
                return await asyncio.to_thread(connection.recv, 1)
            except ConnectionResetError:
                return b""

    assert asyncio.run(scenario()) == b""


def test_a_server_that_is_stopped_again_while_it_stops_ends_once():
    async def scenario() -> bytes:
        server = await serve_http(answer, "127.0.0.1", 0, limits=LIMITS)
        connection = connect_blocking(server.get_port())
        connection.sendall(REQUEST)
        stops = [asyncio.create_task(server.close(STOP_GRACE_SECONDS)) for _ in range(2)]
        await asyncio.gather(*stops)
        await server.close(0.0)
        return await asyncio.to_thread(read_answer, connection)

    assert b"200" in asyncio.run(scenario()).splitlines()[0]
