"""Bounds the connections that a host's peers, or strangers at their port, hold open."""

from __future__ import annotations

import threading

import pynng

MAX_CONNECTIONS = 128
"""More than the hosts of the largest deployment, each of which has one. A connection takes a
descriptor, and up to a request's length of memory while one arrives."""


class PeerConnections:
    """The open connections of a listening socket; when it is full the least useful one goes.

    Those that never sent a complete request go first, the oldest of them at the front: strangers
    can't keep the hosts of the deployment out. pynng calls back from threads of its own.
    """

    def __init__(self, max_connections: int = MAX_CONNECTIONS) -> None:
        self._max_connections = max_connections
        self._lock = threading.Lock()
        self._new: dict[int, pynng.Pipe] = {}
        """Connections without a request so far, in the order in which they were opened."""
        self._used: dict[int, pynng.Pipe] = {}
        """The others, in the order of their last requests."""

    def watch(self, socket: pynng.Rep0) -> None:
        """Bound the connections of a socket that does not listen yet."""
        socket.add_pre_pipe_connect_cb(self._add)
        socket.add_post_pipe_remove_cb(self._remove)

    def count(self) -> int:
        """Return the number of open connections."""
        with self._lock:
            return len(self._new) + len(self._used)

    def note_request(self, pipe: pynng.Pipe) -> None:
        """Note that a request has arrived on a connection."""
        with self._lock:
            known = self._new.pop(pipe.id, None) or self._used.pop(pipe.id, None)
            if known is not None:
                self._used[pipe.id] = known

    def _add(self, pipe: pynng.Pipe) -> None:
        closed = None
        with self._lock:
            if len(self._new) + len(self._used) >= self._max_connections:
                oldest = self._new or self._used
                closed = oldest.pop(next(iter(oldest)))
            self._new[pipe.id] = pipe
        if closed is not None:
            closed.close()

    def _remove(self, pipe: pynng.Pipe) -> None:
        with self._lock:
            self._new.pop(pipe.id, None)
            self._used.pop(pipe.id, None)
