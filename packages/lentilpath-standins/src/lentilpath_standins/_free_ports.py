"""Allocates local ports for servers that tests and deployments start later."""

from __future__ import annotations

import itertools
import os
import socket

FIRST_PORT = 26_000
PORT_COUNT = 6_700
"""All ports are below 32,768, where the kernel's range for outgoing connections begins."""
PORT_STRIDE_PER_PROCESS = 97
"""Distance between the first ports of processes with consecutive ids, to avoid collisions."""

_port_offsets = itertools.count(os.getpid() * PORT_STRIDE_PER_PROCESS)


def allocate_port() -> int:
    """Return a port of 127.0.0.1 that is free now.

    A process gets the same port again only after all others. Raises `OSError` if none is free.
    """
    for offset in itertools.islice(_port_offsets, PORT_COUNT):
        port = FIRST_PORT + offset % PORT_COUNT
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
    raise OSError(f"no free port from {FIRST_PORT} to {FIRST_PORT + PORT_COUNT}")
