"""Requests and replies between entry hosts over pynng; each subsystem has its own topics."""

from __future__ import annotations

import asyncio
import contextlib
import zlib
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, TypeVar

import msgspec
import pynng

from lentilpath_core.errors import LentilpathError, PeerNotReached, PeerUnavailable
from lentilpath_core.ids import HostId, Incarnation, ZoneId
from lentilpath_core.peers import PROTOCOL_VERSION, PeerReply, PeerRequest
from lentilpath_core.settings import Address, PeerSettings
from lentilpathd._cancellation import (
    count_cancellations,
    raise_swallowed_cancellation,
    start_member,
)
from lentilpathd._events import Event, log_event, log_warning_event
from lentilpathd._peer_connections import PeerConnections

T = TypeVar("T")

MAX_CONCURRENT_REQUESTS = 32
"""Requests of peers that are handled concurrently; others wait in the sockets' buffers."""
MAX_MESSAGE_BYTES = 16_777_216
MAX_HANDLER_SECONDS = 30.0
"""A request is refused after this time, so that requests with absurd timeouts never take all of the
`MAX_CONCURRENT_REQUESTS`. Several times the longest call that a peer waits for."""
MIN_COMPRESSED_BYTES = 4_096
"""Shorter messages fit in a few packets and are sent as they are."""
COMPRESSION_LEVEL = 1
"""The fastest one; texts such as a configuration shrink to a quarter or less with it."""
COMPRESSED_MARK = b"\x78"
"""First byte of a compressed message (RFC 1950). Other messages begin with that of a map."""
CONNECTION_SILENCE_SECONDS = 0.9
"""Behind a large message on a slow link an answer is late by some tenths of a second. Shorter than
the timeout of a heartbeat, so that one lost heartbeat shows a dead connection."""
MAX_ECHO_CHARACTERS = 200
"""Length of the sender's own words in a refusal."""
MS_PER_SECOND = 1_000

PeerHandler = Callable[[PeerRequest], Awaitable[Any]]
"""Handles a request, whose `body` consists of builtin types, and returns a message or builtins."""


def convert_to_body(message: object) -> Any:
    """Return a message as builtin types, in which bytes stay bytes."""
    return msgspec.to_builtins(message, builtin_types=(bytes,))


def encode_message(message: PeerRequest | PeerReply) -> bytes:
    """Return the encoded message, compressed if it is long."""
    data = msgspec.msgpack.encode(message)
    if len(data) < MIN_COMPRESSED_BYTES:
        return data
    return zlib.compress(data, COMPRESSION_LEVEL)


def decode_message(data: bytes, kind: type[T], max_bytes: int = MAX_MESSAGE_BYTES) -> T:
    """Decode a message of at most `max_bytes`, decompressed.

    Raises `msgspec.DecodeError`, `RecursionError` or `zlib.error`.
    """
    if data.startswith(COMPRESSED_MARK):
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(data, max_bytes)
        if not decompressor.eof:
            raise zlib.error(f"cut off, or more than {max_bytes} bytes")
    return msgspec.msgpack.decode(data, type=kind)


class PeerBus:
    """Sends requests to other entry hosts and answers theirs.

    The bus never retries a request; its sender may, if the topic allows it. After a timeout the
    connection to the peer is replaced, because the old one may be dead, if the peer has answered
    nothing for `CONNECTION_SILENCE_SECONDS`. Until then only this answer is slow; to replace the
    connection would lose the answers to all other requests.
    """

    def __init__(
        self,
        host: HostId,
        incarnation: Incarnation,
        zone: ZoneId,
        max_request_bytes: int = MAX_MESSAGE_BYTES,
    ) -> None:
        """`max_request_bytes` bounds the requests of peers, also decompressed."""
        self.host = host
        self._max_request_bytes = max_request_bytes
        self.incarnation = incarnation
        self.zone = zone
        self._handlers: dict[str, PeerHandler] = {}
        self._addresses: dict[HostId, Address] = {}
        self._sockets: dict[HostId, pynng.Req0] = {}
        self._connections = PeerConnections()
        self._silent_since: dict[HostId, float] = {}
        """Loop time of the first request to each peer since its last answer."""
        self.bytes_sent = 0
        self.bytes_received = 0
        self.listening = False
        """Whether this process listens on its host's address, which only one process can."""

    def set_peers(self, peers: tuple[PeerSettings, ...]) -> None:
        """Replace the known peers and close connections to changed addresses."""
        addresses = {peer.host: peer.address for peer in peers if peer.host != self.host}
        for host, address in self._addresses.items():
            if addresses.get(host) != address:
                self._close_socket(host)
        self._addresses = addresses

    def handle(self, topic: str, handler: PeerHandler) -> None:
        """Register `handler` for the requests of `topic`.

        A task group that it needs has to run in another task; see `raise_swallowed_cancellation`.
        """
        self._handlers[topic] = handler

    async def ask(
        self, host: HostId, topic: str, message: object, answer: type[T], timeout: float
    ) -> T:
        """Send `message` to `host` and return its answer, converted to the type `answer`.

        Raises `PeerNotReached` if nothing was sent within `timeout` seconds, `PeerUnavailable` if
        no answer came (the peer may still have handled the request), and `LentilpathError` with
        the peer's code if it refused.
        """
        request = PeerRequest(
            PROTOCOL_VERSION,
            self.host,
            self.incarnation,
            self.zone,
            topic,
            convert_to_body(message),
        )
        data = encode_message(request)
        context = self._get_socket(host).new_context()
        loop = asyncio.get_running_loop()
        self._silent_since.setdefault(host, loop.time())
        is_sent = False
        cancellations = count_cancellations()
        try:
            async with asyncio.timeout(timeout):
                await context.asend(data)
                is_sent = True
                self.bytes_sent += len(data)
                received = await context.arecv()
        except (TimeoutError, pynng.NNGException) as error:
            raise_swallowed_cancellation(cancellations)
            log_event(Event.PEER_SILENT, peer=host, topic=topic)
            if self._is_silent(host, loop.time()):
                self._close_socket(host)
            kind = PeerUnavailable if is_sent else PeerNotReached
            raise kind(f"{host} did not answer {topic}: {error!r}") from error
        finally:
            # This request or another one to this peer may have closed the socket already.
            with contextlib.suppress(pynng.Closed):
                context.close()
        raise_swallowed_cancellation(cancellations)
        self.bytes_received += len(received)
        self._silent_since.pop(host, None)
        try:
            reply = decode_message(received, PeerReply)
            if reply.code == "ok":
                return msgspec.convert(reply.body, answer)
        except (msgspec.DecodeError, RecursionError, zlib.error) as error:
            log_warning_event(
                Event.PEER_ANSWER_UNREADABLE, peer=host, topic=topic, error=repr(error)
            )
            raise PeerUnavailable(f"{host} answered {topic} unreadably: {error!r}") from error
        failure = LentilpathError(f"{host} refused {topic}: {reply.code}: {reply.body}")
        failure.code = reply.code
        raise failure

    async def serve(self, address: Address) -> None:
        """Answer peers' requests on `address` until cancelled."""
        with pynng.Rep0(recv_max_size=self._max_request_bytes) as socket:
            self._connections.watch(socket)
            socket.listen(f"tcp://{address.host}:{address.port}")
            self.listening = True
            async with asyncio.TaskGroup() as group:
                for _ in range(MAX_CONCURRENT_REQUESTS):
                    start_member(group, partial(self._answer_requests, socket), "peer requests")

    def close(self) -> None:
        """Close the connections to all peers."""
        for host in tuple(self._sockets):
            self._close_socket(host)

    async def _answer_requests(self, socket: pynng.Rep0) -> None:
        context = socket.new_context()
        try:
            while True:
                cancellations = count_cancellations()
                message = await context.arecv_msg()
                raise_swallowed_cancellation(cancellations)
                if message.pipe is not None:
                    self._connections.note_request(message.pipe)
                data = message.bytes
                self.bytes_received += len(data)
                reply = await self._answer(data)
                self.bytes_sent += len(reply)
                cancellations = count_cancellations()
                try:
                    await context.asend(reply)
                except pynng.Closed:
                    raise
                except pynng.NNGException as error:
                    # The sender's connection is gone, or the reply is longer than it accepts.
                    log_warning_event(Event.INTERNAL_ERROR, part="peer reply", error=repr(error))
                raise_swallowed_cancellation(cancellations)
        finally:
            context.close()

    async def _answer(self, data: bytes) -> bytes:
        """Return the encoded reply to a request, whatever its content."""
        cancellations = count_cancellations()
        try:
            return encode_message(await self._handle(data))
        except Exception as error:
            raise_swallowed_cancellation(cancellations)
            log_warning_event(Event.INTERNAL_ERROR, part="peer request", error=repr(error))
            return msgspec.msgpack.encode(self._make_reply("internal", type(error).__name__))

    async def _handle(self, data: bytes) -> PeerReply:
        try:
            request = decode_message(data, PeerRequest, self._max_request_bytes)
        except (msgspec.DecodeError, RecursionError, zlib.error) as error:
            log_warning_event(
                Event.PEER_REQUEST_REFUSED, peer="unknown", topic="", error=repr(error)
            )
            return self._make_reply("malformed", str(error))
        if request.version != PROTOCOL_VERSION:
            return self._make_reply(
                "version", f"got version {request.version}, speak {PROTOCOL_VERSION}"
            )
        handler = self._handlers.get(request.topic)
        if handler is None:
            return self._make_reply("unknown-topic", request.topic[:MAX_ECHO_CHARACTERS])
        try:
            async with asyncio.timeout(MAX_HANDLER_SECONDS):
                return self._make_reply("ok", convert_to_body(await handler(request)))
        except TimeoutError:
            log_warning_event(
                Event.PEER_REQUEST_REFUSED, peer=request.sender, topic=request.topic, error="late"
            )
            return self._make_reply("late", f"not handled within {MAX_HANDLER_SECONDS} s")
        except LentilpathError as error:
            return self._make_reply(error.code, str(error))
        except (msgspec.ValidationError, TypeError, KeyError, ValueError) as error:
            log_warning_event(
                Event.PEER_REQUEST_REFUSED, peer=request.sender, topic=request.topic, error=error
            )
            return self._make_reply("malformed", repr(error)[:MAX_ECHO_CHARACTERS])

    def _make_reply(self, code: str, body: Any) -> PeerReply:
        return PeerReply(PROTOCOL_VERSION, self.host, self.incarnation, code, body)

    def _is_silent(self, host: HostId, now: float) -> bool:
        """Return whether a peer has long answered none of the requests sent to it."""
        since = self._silent_since.get(host)
        return since is not None and now >= since + CONNECTION_SILENCE_SECONDS

    def _get_socket(self, host: HostId) -> pynng.Req0:
        socket = self._sockets.get(host)
        if socket is None:
            address = self._addresses.get(host)
            if address is None:
                raise PeerNotReached(f"{host} is not a known entry host")
            # By default nng resends a request after a minute, but only the sender may retry it.
            socket = pynng.Req0(resend_time=-1, recv_max_size=MAX_MESSAGE_BYTES)
            try:
                socket.dial(f"tcp://{address.host}:{address.port}", block=False)
            except (pynng.NNGException, ValueError) as error:
                socket.close()
                raise PeerNotReached(
                    f"{host} has an unusable address {address}: {error}"
                ) from error
            self._sockets[host] = socket
        return socket

    def _close_socket(self, host: HostId) -> None:
        self._silent_since.pop(host, None)
        socket = self._sockets.pop(host, None)
        if socket is not None:
            socket.close()
