"""A loopback proxy that delays, resets, cuts one way or silences the connections through it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

CHUNK_BYTES = 65_536


@dataclass(eq=False)
class Tunnel:
    """One connection through the proxy."""

    near: asyncio.StreamWriter
    far: asyncio.StreamWriter | None = None
    is_silent: bool = False
    ended: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass
class Proxy:
    """Forwards a port to another. What is held back by a cut arrives when the cut ends."""

    host: str
    port: int
    delay_seconds: float = 0.0
    there: asyncio.Event = field(default_factory=asyncio.Event)
    """Set while bytes go from the caller to the server."""
    back: asyncio.Event = field(default_factory=asyncio.Event)
    """Set while bytes go from the server to the caller."""
    tunnels: set[Tunnel] = field(default_factory=set)
    server: asyncio.Server | None = None

    async def open(self) -> int:
        """Listen on a free port and return it."""
        self.there.set()
        self.back.set()
        self.server = await asyncio.start_server(self._forward, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    def reset(self) -> None:
        """Reset all connections."""
        for tunnel in self.tunnels:
            tunnel.ended.set()
            tunnel.near.transport.abort()
            if tunnel.far is not None:
                tunnel.far.transport.abort()

    def silence(self) -> None:
        """Let nothing more through on the connections of now, for good; new ones work."""
        for tunnel in self.tunnels:
            tunnel.is_silent = True

    def heal(self) -> None:
        """End delays and cuts."""
        self.delay_seconds = 0.0
        self.there.set()
        self.back.set()

    async def close(self) -> None:
        """Close the port and all connections."""
        if self.server is not None:
            self.server.close()
        self.heal()
        self.reset()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        tunnel = Tunnel(writer)
        self.tunnels.add(tunnel)
        try:
            await self.there.wait()
            far_reader, tunnel.far = await asyncio.open_connection(self.host, self.port)
            await asyncio.gather(
                self._pump(tunnel, reader, tunnel.far, self.there),
                self._pump(tunnel, far_reader, writer, self.back),
            )
        except OSError:
            # One end has gone; the other learns it by the end of its connection.
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
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_seconds:
                    await asyncio.sleep(self.delay_seconds)
                await is_open.wait()
                if tunnel.is_silent:
                    await tunnel.ended.wait()
                    return
                writer.write(data)
                await writer.drain()
        finally:
            writer.close()
