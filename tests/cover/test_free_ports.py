"""Ports allocated for tests lie outside the kernel's ephemeral range of outgoing connections."""

from __future__ import annotations

import socket

from lentilpath_standins._free_ports import FIRST_PORT, PORT_COUNT, allocate_port

FIRST_EPHEMERAL_PORT = 32_768


def test_ports_are_below_those_of_outgoing_connections_and_differ():
    ports = [allocate_port() for _ in range(200)]
    assert len(set(ports)) == 200
    assert min(ports) >= FIRST_PORT
    assert max(ports) < FIRST_PORT + PORT_COUNT <= FIRST_EPHEMERAL_PORT


def test_a_port_that_is_listened_on_is_passed_over():
    port = allocate_port()
    next_port = FIRST_PORT + (port + 1 - FIRST_PORT) % PORT_COUNT
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", next_port))
        assert allocate_port() != next_port
