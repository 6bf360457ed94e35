"""A slow answer of a peer spoils no other request to it, and a request that never left is known."""

from __future__ import annotations

import asyncio

import pytest

from lentilpath_core.errors import PeerNotReached, PeerUnavailable
from lentilpath_core.ids import HostId, Incarnation, RegionId, ZoneId
from lentilpath_core.peers import PeerRequest
from lentilpath_core.settings import Address, PeerSettings
from lentilpath_standins._free_ports import allocate_port
from lentilpathd import _peers
from lentilpathd._peers import PeerBus

SHORT_SECONDS = 0.2
LONG_SECONDS = 20.0


def make_bus(name: str) -> PeerBus:
    return PeerBus(HostId(name), Incarnation(f"{name}.1"), ZoneId("z"))


def test_a_timeout_of_one_request_leaves_the_others_on_the_same_connection():
    address = Address("127.0.0.1", allocate_port())
    server, client = make_bus("b"), make_bus("a")
    client.set_peers((PeerSettings(HostId("b"), RegionId("r"), ZoneId("z"), address),))
    may_answer = asyncio.Event()

    async def answer_quickly(request: PeerRequest) -> str:
        return "quick"

    async def answer_late(request: PeerRequest) -> str:
        await may_answer.wait()
        return "late"

    async def scenario() -> str:
        server.handle("quick", answer_quickly)
        server.handle("late", answer_late)
        serving = asyncio.create_task(server.serve(address))
        await client.ask(HostId("b"), "quick", None, str, LONG_SECONDS)
        patient = asyncio.create_task(client.ask(HostId("b"), "late", None, str, LONG_SECONDS))
        hasty = asyncio.create_task(client.ask(HostId("b"), "late", None, str, SHORT_SECONDS))
        await asyncio.sleep(0)
        await client.ask(HostId("b"), "quick", None, str, LONG_SECONDS)
        with pytest.raises(PeerUnavailable):
            await hasty
        may_answer.set()
        answer = await patient
        client.close()
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        return answer

    assert asyncio.run(scenario()) == "late"


def test_a_request_to_a_host_that_does_not_listen_is_known_not_to_have_been_sent():
    client = make_bus("a")
    address = Address("127.0.0.1", allocate_port())
    client.set_peers((PeerSettings(HostId("b"), RegionId("r"), ZoneId("z"), address),))

    async def scenario() -> None:
        with pytest.raises(PeerNotReached):
            await client.ask(HostId("b"), "quick", None, str, SHORT_SECONDS)
        client.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(("silence_seconds", "is_kept"), [(3_600.0, True), (0.0, False)])
def test_a_late_answer_loses_the_others_only_once_the_peer_has_long_been_silent(
    silence_seconds: float, is_kept: bool, monkeypatch: pytest.MonkeyPatch
):
    """On a slow link all answers are late behind a large one; a dead connection is replaced."""
    monkeypatch.setattr(_peers, "CONNECTION_SILENCE_SECONDS", silence_seconds)
    address = Address("127.0.0.1", allocate_port())
    server, client = make_bus("b"), make_bus("a")
    client.set_peers((PeerSettings(HostId("b"), RegionId("r"), ZoneId("z"), address),))
    may_answer = asyncio.Event()

    async def answer_late(request: PeerRequest) -> str:
        await may_answer.wait()
        return "late"

    async def scenario() -> str | BaseException:
        server.handle("late", answer_late)
        serving = asyncio.create_task(server.serve(address))
        patient = asyncio.create_task(client.ask(HostId("b"), "late", None, str, LONG_SECONDS))
        with pytest.raises(PeerUnavailable):
            await client.ask(HostId("b"), "late", None, str, SHORT_SECONDS)
        may_answer.set()
        (answer,) = await asyncio.gather(patient, return_exceptions=True)
        client.close()
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        return answer

    assert (asyncio.run(scenario()) == "late") is is_kept
