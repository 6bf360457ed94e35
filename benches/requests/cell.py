"""The stand-ins of the benchmark in one process: 24 runners, the table and the host list."""

from __future__ import annotations

import asyncio
import json
import random
import sys
from typing import Any

from lentilpath_http import HttpRequest, HttpResponse, json_response, serve_http
from lentilpath_standins.platform import PlatformStandin, start_platform
from lentilpath_standins.runner import RunnerState, build_report, set_faults, start_runner

SLOTS = 8
CONNECTIONS = 64
LIST_LAG_MS = 500
JITTER = 0.5


class RunnerControl:
    """Control endpoint for the load generator: faults and reports of runners and platform."""

    def __init__(self, runners: list[RunnerState], platform: PlatformStandin) -> None:
        self._runners = {runner.name: runner for runner in runners}
        self._platform = platform

    async def handle_request(self, request: HttpRequest) -> HttpResponse:
        """Set faults, reset the runners or return their reports, depending on the path."""
        message = json.loads(request.body or b"{}")
        if request.target == "/faults":
            for name in message["runners"]:
                set_faults(self._runners[name], message["faults"])
            return json_response(200, {})
        if request.target == "/table":
            self._platform.fault_injector.replace_faults(**message)
            return json_response(200, {})
        if request.target == "/reset":
            for runner in self._runners.values():
                self._reset(runner)
            return json_response(200, {})
        return json_response(
            200, {name: build_report(runner) for name, runner in self._runners.items()}
        )

    def _reset(self, runner: RunnerState) -> None:
        runner.request_log.clear()
        runner.most_running = runner.running
        runner.most_open = len(runner.open_connections)
        for name in ("slot_excess", "connection_excess", "refused", "malformed", "answered"):
            setattr(runner, name, 0)
        defaults = {"down": False, "slow_factor": 1.0, "delay_ms": 0, "leaving": False}
        set_faults(runner, defaults)


async def run_cell(plan: dict[str, Any]) -> None:
    """Serve the stand-ins of `plan` (zones, ports and run time of requests) until terminated."""
    hosts: list[dict[str, Any]] = []
    runners = []
    for number, port in enumerate(plan["runner_ports"]):
        zone = plan["zones"][number % len(plan["zones"])]
        state = RunnerState(
            f"runner-{number}", "boxplanner", SLOTS, CONNECTIONS, plan["run_ms"], JITTER
        )
        state.rng = random.Random(number)
        await start_runner(state, "127.0.0.1", port)
        runners.append(state)
        hosts.append(
            {
                "name": state.name,
                "kind": "upstream",
                "region": f"region-{zone}",
                "zone": zone,
                "rack": "",
                "address": "127.0.0.1",
                "port": port,
                "leaving": False,
                "service": "boxplanner",
                "slots": SLOTS,
                "connections": CONNECTIONS,
            }
        )
    platform = PlatformStandin(hosts, LIST_LAG_MS)
    await start_platform(platform, "127.0.0.1", plan["platform_port"], {})
    await serve_http(
        RunnerControl(runners, platform).handle_request, "127.0.0.1", plan["control_port"]
    )
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(run_cell(json.loads(sys.argv[1])))
