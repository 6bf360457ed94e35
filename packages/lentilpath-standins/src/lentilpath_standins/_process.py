"""Lifecycle of a stand-in's process: start the servers, serve, shut down on SIGTERM."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

from lentilpath_http import HttpServer

CLOSE_GRACE_SECONDS = 0.5


def run_until_terminated(start: Callable[[], Awaitable[tuple[HttpServer, ...]]]) -> None:
    """Run the servers that `start` returns until SIGTERM or SIGINT."""
    asyncio.run(_run(start))


async def _run(start: Callable[[], Awaitable[tuple[HttpServer, ...]]]) -> None:
    terminated = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, terminated.set)
    servers = await start()
    await terminated.wait()
    async with asyncio.TaskGroup() as group:
        for server in servers:
            group.create_task(server.close(CLOSE_GRACE_SECONDS))
