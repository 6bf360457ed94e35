"""A loopback proxy that can slow, delay, reset, cut or blackhole its connections."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

CHUNK_BYTES = 65_536
SLOW_CHUNK_SECONDS = 0.01
"""Interval between the chunks that a limited proxy forwards."""


@dataclass(eq=False)
class Tunnel:
    """One connection through the proxy."""

    client: asyncio.StreamWriter
    server: asyncio.StreamWriter | None = None
    is_blackholed: bool = False
    ended: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass
class Proxy:
    """Forwards connections to `host:port`. Bytes held back by a cut are delivered when it ends."""

    host: str
    port: int
    delay_seconds: float = 0.0
    bytes_per_second: int = 0
    """Limit of each connection in each direction; 0 for none."""
    to_server_open: asyncio.Event = field(default_factory=asyncio.Event)
    """Set while bytes are forwarded from the client to the server."""
    to_client_open: asyncio.Event = field(default_factory=asyncio.Event)
    """Set while bytes are forwarded from the server to the client."""
    forwarded_bytes: int = 0
    own_port: int = 0
    """Port that it listens on, once opened."""
    tunnels: set[Tunnel] = field(default_factory=set)
    server: asyncio.Server | None = None

    async def open(self) -> int:
        """Listen on a free port and return it."""
        self.to_server_open.set()
        self.to_client_open.set()
        self.server = await asyncio.start_server(self._forward, "127.0.0.1", 0)
        self.own_port = int(self.server.sockets[0].getsockname()[1])
        return self.own_port

    def reset(self) -> None:
        """Reset all connections."""
        for tunnel in self.tunnels:
            tunnel.ended.set()
            tunnel.client.transport.abort()
            if tunnel.server is not None:
                tunnel.server.transport.abort()

    def blackhole_open_connections(self) -> None:
        """Forward nothing more on the open connections, permanently; new connections work."""
        for tunnel in self.tunnels:
            tunnel.is_blackholed = True

    def heal(self) -> None:
        """End limits, delays and cuts."""
        self.bytes_per_second = 0
        self.delay_seconds = 0.0
        self.to_server_open.set()
        self.to_client_open.set()

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        self.heal()
        self.reset()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        tunnel = Tunnel(writer)
        self.tunnels.add(tunnel)
        try:
            await self.to_server_open.wait()
            server_reader, tunnel.server = await asyncio.open_connection(self.host, self.port)
            await asyncio.gather(
                self._pump(tunnel, reader, tunnel.server, self.to_server_open),
                self._pump(tunnel, server_reader, writer, self.to_client_open),
            )
        except OSError:
            # One end failed: abort the client's connection so that it notices.
            writer.transport.abort()
        finally:
            self.tunnels.discard(tunnel)

    async def _pump(
        self,
        tunnel: Tunnel,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_open: asyncio.Event,
    ) -> None:
        try:
            while data := await reader.read(self._choose_chunk_bytes()):
                if self.bytes_per_second:
                    await asyncio.sleep(len(data) / self.bytes_per_second)
                if self.delay_seconds:
                    await asyncio.sleep(self.delay_seconds)
                await is_open.wait()
                if tunnel.is_blackholed:
                    await tunnel.ended.wait()
                    return
                writer.write(data)
                self.forwarded_bytes += len(data)
                await writer.drain()
        finally:
            writer.close()

    def _choose_chunk_bytes(self) -> int:
        if not self.bytes_per_second:
            return CHUNK_BYTES
        return max(1, int(self.bytes_per_second * SLOW_CHUNK_SECONDS))
