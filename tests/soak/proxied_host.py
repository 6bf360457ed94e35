"""Runs an entry host whose connections to its peers go through proxies.

The environment variable `PEER_PROXIES` holds the proxy's address of each peer's, as JSON.
"""

from __future__ import annotations

import json
import os
from typing import Any

from lentilpathd.early_signals import handle_early_signals

PROXIES: dict[str, str] = json.loads(os.environ.get("PEER_PROXIES", "{}"))


def redirect_dials() -> None:
    """Let pynng dial the proxies in place of the peers."""
    import pynng

    dial = pynng.Socket.dial

    def dial_proxy(socket: pynng.Socket, url: str, *arguments: Any, **named: Any) -> Any:
        peer = url.removeprefix("tcp://").rpartition(":")[0]
        return dial(
            socket, f"tcp://{PROXIES[peer]}" if peer in PROXIES else url, *arguments, **named
        )

    pynng.Socket.dial = dial_proxy


if __name__ == "__main__":
    handle_early_signals()
    from lentilpath_platform.main import run

    redirect_dials()
    run()
