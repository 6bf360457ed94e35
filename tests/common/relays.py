"""TCP relays that can be cut: bytes stay behind while they are, and arrive late when it heals."""

import asyncio
import threading

from lentilpath_core.settings import Address

CHUNK_BYTES = 65_536


class Relays:
    """Relays on a thread of their own. Each carries traffic from one named host to another."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._gates = {}
        self._servers = []

    def open(self, source, target, address):
        """Return the address of a relay from `source` to `target`, who listens on `address`."""
        return self._call(self._open(source, target, address))

    def cut(self, *pairs):
        """Let nothing through from the first to the second name of each pair."""
        for pair in pairs:
            self._loop.call_soon_threadsafe(self._gates[pair].clear)

    def heal(self):
        """Let everything through, also what was sent while a relay was cut."""
        for gate in self._gates.values():
            self._loop.call_soon_threadsafe(gate.set)

    def list_pairs(self, names):
        """Return the pairs in either direction that have one end among `names` and one outside."""
        return [(a, b) for a, b in self._gates if (a in names) != (b in names)]

    def close(self):
        self._call(self._close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    async def _open(self, source, target, address):
        gate = asyncio.Event()
        gate.set()
        self._gates[(source, target)] = gate

        async def relay(reader, writer):
            await gate.wait()
            try:
                far_reader, far_writer = await asyncio.open_connection(address.host, address.port)
            except OSError:
                writer.close()
                return
            await asyncio.gather(pump(reader, far_writer, gate), pump(far_reader, writer, gate))

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


async def pump(reader, writer, gate):
    try:
        while data := await reader.read(CHUNK_BYTES):
            await gate.wait()
            writer.write(data)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()
