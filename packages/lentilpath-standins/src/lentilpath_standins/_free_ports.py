"""Ports that a test may listen on a little later."""

from __future__ import annotations

import itertools
import os
import socket

FIRST_PORT = 26_000
PORT_COUNT = 6_700
"""Below 32,768, where the kernel takes the ports of outgoing connections from."""
PORTS_A_PROCESS = 97
"""Processes with neighbouring ids begin this far from each other."""

_numbers = itertools.count(os.getpid() * PORTS_A_PROCESS)


def take_free_port() -> int:
    """Return a port that nothing listens on, and that this process was not given before long."""
    for number in itertools.islice(_numbers, PORT_COUNT):
        port = FIRST_PORT + number % PORT_COUNT
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
    raise OSError(f"no free port from {FIRST_PORT} to {FIRST_PORT + PORT_COUNT}")
