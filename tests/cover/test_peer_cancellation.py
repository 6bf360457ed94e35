"""Tasks that wait for a peer end when they are cancelled, even if pynng hides that.

A pynng operation that completes or fails at the moment of its cancellation can swallow the
CancelledError or replace it by its own error. The peer bus and the supervisor must end the task.
"""

import asyncio
from types import SimpleNamespace

import msgspec
import pynng
import pytest

from lentilpath_core.ids import HostId, Incarnation, RegionId, ZoneId
from lentilpath_core.peers import PROTOCOL_VERSION, PeerReply
from lentilpath_core.settings import Address, PeerSettings
from lentilpathd._peers import PeerBus
from lentilpathd._supervisor import Part, supervise_part

CANCEL_TIMEOUT_SECONDS = 5.0
PEER = PeerSettings(HostId("b"), RegionId("r"), ZoneId("z"), Address("127.0.0.1", 1))


class SwallowingSocket:
    """A socket whose first receive swallows its cancellation and returns a reply, as in pynng."""

    def __init__(self):
        self.received = 0

    def new_context(self):
        return self

    async def arecv(self):
        self.received += 1
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            if self.received > 1:
                raise
        return msgspec.msgpack.encode(
            PeerReply(PROTOCOL_VERSION, PEER.host, Incarnation("b.1"), "ok", None)
        )

    async def arecv_msg(self):
        return SimpleNamespace(bytes=await self.arecv(), pipe=None)

    async def asend(self, data):
        pass

    def close(self):
        pass


class FailingSocket(SwallowingSocket):
    """A socket whose receives fail with pynng's error when they are cancelled."""

    async def arecv(self):
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            raise pynng.Closed("closed with the cancellation", 7) from None


async def check_cancellation(coroutine):
    task = asyncio.create_task(coroutine)
    for _ in range(3):
        await asyncio.sleep(0)
    task.cancel()
    done, _ = await asyncio.wait((task,), timeout=CANCEL_TIMEOUT_SECONDS)
    task.cancel()
    assert done, "the task kept running after its cancellation"
    assert task.cancelled()


class FailingPart:
    """A supervised part whose child task fails when it is cancelled in the part's first run."""

    def __init__(self):
        self.runs = 0

    async def run(self):
        self.runs += 1
        async with asyncio.TaskGroup() as group:
            group.create_task(self._wait())

    async def _wait(self):
        try:
            await asyncio.Event().wait()
        finally:
            if self.runs == 1:
                raise ValueError("fails with its cancellation")


def make_bus():
    return PeerBus(HostId("a"), Incarnation("a.1"), ZoneId("z"))


def test_answering_ends_when_a_request_arrives_with_the_cancellation():
    asyncio.run(check_cancellation(make_bus()._answer_requests(SwallowingSocket())))


def test_asking_ends_when_the_answer_arrives_with_the_cancellation():
    bus = make_bus()
    bus._sockets[HostId("b")] = SwallowingSocket()
    asyncio.run(check_cancellation(bus.ask(HostId("b"), "topic", None, type(None), 60.0)))


def test_asking_ends_when_the_connection_fails_with_the_cancellation():
    bus = make_bus()
    bus._sockets[HostId("b")] = FailingSocket()
    asyncio.run(check_cancellation(bus.ask(HostId("b"), "topic", None, type(None), 60.0)))


def test_an_answer_that_arrives_as_the_time_limit_expires_is_returned():
    bus = make_bus()
    bus.set_peers((PEER,))
    bus._sockets[HostId("b")] = SwallowingSocket()
    assert asyncio.run(bus.ask(HostId("b"), "topic", None, type(None), 0.01)) is None


def test_a_silent_peer_is_reported_as_unavailable():
    bus = make_bus()
    silent = SwallowingSocket()
    silent.received = 1
    bus._sockets[HostId("b")] = silent
    with pytest.raises(Exception, match="did not answer"):
        asyncio.run(bus.ask(HostId("b"), "topic", None, type(None), 0.01))


def test_a_part_whose_member_fails_with_the_cancellation_is_not_started_again():
    asyncio.run(check_cancellation(supervise_part(Part("part", FailingPart().run))))
