"""Strangers at the peers' port neither take the process's descriptors nor keep its peers out."""

from __future__ import annotations

import asyncio
import os
from functools import partial

import pynng

from lentilpath_core.ids import HostId, Incarnation, RegionId, ZoneId
from lentilpath_core.peers import PeerRequest
from lentilpath_core.settings import Address, PeerSettings
from lentilpath_standins._free_ports import allocate_port
from lentilpathd._peer_connections import PeerConnections
from lentilpathd._peers import PeerBus
from lentilpathd._pool._messages import Empty
from tests.common.requests import wait_until

MOST = 8
STRANGERS = 40
SECONDS = 20.0


async def answer(request: PeerRequest) -> Empty:
    return Empty()


def count_descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


async def ask_beside_strangers() -> None:
    address = Address("127.0.0.1", allocate_port())
    server = PeerBus(HostId("a"), Incarnation("a.1"), ZoneId("z"))
    server._connections = PeerConnections(MOST)
    server.handle("topic", answer)
    serving = asyncio.create_task(server.serve(address))
    peer = PeerBus(HostId("b"), Incarnation("b.1"), ZoneId("z"))
    peer.set_peers((PeerSettings(server.host, RegionId("r"), ZoneId("z"), address),))
    await peer.ask(server.host, "topic", Empty(), Empty, SECONDS)
    sockets, descriptors = dict(peer._sockets), count_descriptors()
    strangers: list[pynng.Req0] = []
    for _ in range(STRANGERS):
        # The limit closes it; it would dial again at once.
        stranger = pynng.Req0(reconnect_time_min=int(SECONDS * 1_000))
        strangers.append(stranger)
        dial = partial(stranger.dial, f"tcp://{address.host}:{address.port}", block=True)
        await asyncio.to_thread(dial)
    # Both ends of a connection are in this process.
    await wait_until(lambda: count_descriptors() <= descriptors + 2 * MOST)
    await peer.ask(server.host, "topic", Empty(), Empty, SECONDS)
    assert peer._sockets == sockets
    for stranger in strangers:
        stranger.close()
    peer.close()
    serving.cancel()
    await asyncio.gather(serving, return_exceptions=True)


def test_connections_of_strangers_are_bounded_and_a_peer_is_still_answered():
    asyncio.run(ask_beside_strangers())


class StubPipe:
    def __init__(self, number: int) -> None:
        self.id = number
        self.is_closed = False

    def close(self) -> None:
        self.is_closed = True


def test_of_full_connections_the_one_without_a_request_goes_and_then_the_one_used_longest_ago():
    connections = PeerConnections(3)
    pipes = [StubPipe(number) for number in range(5)]
    for pipe in pipes[:3]:
        connections._add(pipe)
    connections.note_request(pipes[0])
    connections.note_request(pipes[2])
    connections._add(pipes[3])
    assert [pipe.is_closed for pipe in pipes] == [False, True, False, False, False]
    connections.note_request(pipes[3])
    connections.note_request(pipes[0])
    connections._add(pipes[4])
    assert [pipe.is_closed for pipe in pipes] == [False, True, True, False, False]
    assert connections.count() == 3
