"""TCP relays that can be cut. Bytes sent during a cut are held back and delivered after it."""

import asyncio
import threading

from lentilpath_core.settings import Address

CHUNK_BYTES = 65_536


class Relays:
    """Runs relays in a separate thread. Each carries traffic from one named host to another."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._open_events = {}
        self._servers = []

    def open(self, source, target, address):
        """Open a relay from `source` to `target` at `address`; return the relay's own address."""
        return self._call(self._open(source, target, address))

    def cut(self, *pairs):
        """Hold back traffic on the relay of each (source, target) pair."""
        for pair in pairs:
            self._loop.call_soon_threadsafe(self._open_events[pair].clear)

    def heal(self):
        """End all cuts and deliver what was held back."""
        for gate in self._open_events.values():
            self._loop.call_soon_threadsafe(gate.set)

    def list_pairs(self, names):
        """Return the (source, target) pairs of which exactly one end is in `names`."""
        return [(a, b) for a, b in self._open_events if (a in names) != (b in names)]

    def close(self):
        self._call(self._close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    async def _open(self, source, target, address):
        is_open = asyncio.Event()
        is_open.set()
        self._open_events[(source, target)] = is_open

        async def relay(reader, writer):
            await is_open.wait()
            try:
                far_reader, far_writer = await asyncio.open_connection(address.host, address.port)
            except OSError:
                writer.close()
                return
            await asyncio.gather(
                pump(reader, far_writer, is_open), pump(far_reader, writer, is_open)
            )

        server = await asyncio.start_server(relay, "127.0.0.1", 0)
        self._servers.append(server)
        return Address("127.0.0.1", server.sockets[0].getsockname()[1])

    async def _close(self):
        for server in self._servers:
            server.close()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)


async def pump(reader, writer, is_open):
    try:
        while data := await reader.read(CHUNK_BYTES):
            await is_open.wait()
            writer.write(data)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()
