"""A server's connection, which counts what it holds against the budget of all connections."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from lentilpath_http._budget import ConnectionBudget, Holder

READ_CHUNK_BYTES = 65_536
READER_LIMIT_BYTES = 32_768
"""Half of the unread bytes at which a connection stops to read."""


class CountedConnection(asyncio.StreamReaderProtocol):
    """An accepted connection, which counts the bytes that it holds against the budget."""

    def __init__(
        self,
        serve: Callable[
            [CountedConnection, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
        ],
        budget: ConnectionBudget,
        max_discarded_bytes: int,
    ) -> None:
        async def serve_connection(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await serve(self, reader, writer)

        self._reader = asyncio.StreamReader(limit=READER_LIMIT_BYTES)
        super().__init__(self._reader, serve_connection)
        self.budget = budget
        self.holder = Holder(self._evict)
        self.task: asyncio.Task[None] | None = None
        self.is_refused = False
        """Whether its request is refused; further bytes are discarded."""
        self.is_request_started = False
        """Whether a request has begun to arrive that is not handled yet."""
        self.is_handling = False
        """Whether a request is handled or its answer is being sent."""
        self._channel: asyncio.Transport | None = None
        self._unread_bytes = 0
        self._discardable_bytes = max_discarded_bytes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._channel = transport
        if self.budget.admit(self.holder):
            # Drained only once the kernel has all of it, so that unread answers are counted.
            transport.set_write_buffer_limits(high=0)
            super().connection_made(transport)
        else:
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.budget.remove(self.holder)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if not self.is_refused:
            self.is_request_started = True
            self.budget.hold(self.holder, self.holder.held_bytes + len(data))
        # The budget may just have refused this connection itself.
        if not self.is_refused:
            self._unread_bytes += len(data)
            super().data_received(data)
            return
        self._discardable_bytes -= len(data)
        if self._discardable_bytes < 0:
            self.abort()

    async def read(self) -> bytes:
        """Return the next received bytes; none at the end of the stream."""
        data = await self._reader.read(READ_CHUNK_BYTES)
        self._unread_bytes -= len(data)
        return data

    def hold_only(self, size: int) -> None:
        """Note that of all received bytes, only `size` and those not yet read are still held."""
        self.budget.hold(self.holder, size + self._unread_bytes)

    def refuse(self) -> None:
        """Stop to hold the request that is arriving."""
        self.is_refused = True
        self.budget.hold(self.holder, 0)
        self.budget.start_wait(self.holder)

    async def discard_input(self) -> None:
        """Discard what arrives until the caller closes its side."""
        while await self.read():
            pass

    def abort(self) -> None:
        """Close the connection without sending what is still queued."""
        if self._channel is not None:
            self._channel.abort()

    def _evict(self, at_once: bool) -> None:
        if self.is_refused or self.is_handling or not self.is_request_started:
            self.abort()
            return
        self.is_refused = True
        if at_once:
            self._discardable_bytes = 0
        if self.task is not None:
            self.task.cancel()
