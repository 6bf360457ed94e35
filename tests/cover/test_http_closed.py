"""A connection that ends before its answer is told apart from a cut or malformed answer."""

from __future__ import annotations

import asyncio

import pytest

from lentilpath_http import (
    HttpRequest,
    MalformedMessage,
    ResponseLost,
    create_client,
)

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
