"""Starts and stops the processes of a cell on one machine, for development and tests."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Mapping
from http.client import HTTPException
from pathlib import Path
from typing import Any

import msgspec

from lentilpath_core.settings import Address, HostSettings
from lentilpath_standins._control import send_request
from lentilpath_standins.cell import Cell, RunnerHost, WorkerHost

READY_TIMEOUT_SECONDS = 40.0
POLL_INTERVAL_SECONDS = 0.05
STOP_TIMEOUT_SECONDS = 25.0
PLATFORM = "platform"


class Deployment:
    """The processes of one cell. Signals only processes that it started itself, by process id."""

    def __init__(
        self, cell: Cell, directory: Path, lag_ms: int, seen_by: Mapping[str, Mapping[str, Address]]
    ) -> None:
        self.cell = cell
        self.directory = directory
        self.exit_codes: dict[str, int] = {}
        """Exit codes of ended processes by name; of a restarted process, the latest code."""
        self.killed_at: dict[str, list[int]] = {}
        """Wall times in ms at which `kill` ended a process, by name."""
        self._lag_ms = lag_ms
        self._seen_by = seen_by
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def start(self) -> None:
        """Start the platform, then all other processes, and wait until all of them respond."""
        self.start_platform()
        for worker in self.cell.workers:
            self.start_worker(worker)
        for runner in self.cell.runners:
            self.start_runner(runner)
        for host in self.cell.entry_hosts:
            self.start_entry_host(host)
        self.wait_until_ready()

    def start_platform(self) -> None:
        """Start the platform and wait until it responds."""
        hosts_file = self.directory / "hosts.json"
        document = {"hosts": list_hosts(self.cell), "seen_by": msgspec.to_builtins(self._seen_by)}
        hosts_file.write_text(json.dumps(document))
        caller_ports = [
            f"--caller-port={host.host}={host.platform.port}" for host in self.cell.entry_hosts
        ]
        self._start_standin(
            PLATFORM,
            self.cell.platform,
            "--hosts",
            str(hosts_file),
            "--lag-ms",
            str(self._lag_ms),
            *caller_ports,
            module="platform",
        )
        self._wait_until_answering(self.cell.platform, "/log")

    def start_worker(self, worker: WorkerHost) -> None:
        """Start one worker."""
        capacity = worker.capacity
        self._start_standin(
            worker.name,
            worker.address,
            "--name",
            worker.name,
            "--millicores",
            str(capacity.millicores),
            "--memory-mib",
            str(capacity.memory_mib),
            "--accelerators",
            str(capacity.accelerators),
            "--log",
            str(self.get_worker_log(worker.name)),
            module="worker",
        )

    def start_runner(self, runner: RunnerHost) -> None:
        """Start one runner."""
        self._start_standin(
            runner.name,
            runner.address,
            "--name",
            runner.name,
            "--service",
            self.cell.service,
            "--slots",
            str(runner.slots),
            "--connections",
            str(runner.connections),
            module="runner",
        )

    def start_entry_host(self, host: HostSettings) -> None:
        """Start the daemon of one entry host."""
        settings_file = self.directory / f"{host.host}.json"
        settings_file.write_bytes(msgspec.json.encode(host))
        command = [sys.executable, "-m", "lentilpathd", "run", str(settings_file)]
        self._start_process(host.host, command)

    def wait_until_ready(self) -> None:
        """Wait until every process responds.

        Raises `TimeoutError` if one exits or does not respond in `READY_TIMEOUT_SECONDS`.
        """
        for worker in self.cell.workers:
            self._wait_until_answering(worker.address, "/log")
        for runner in self.cell.runners:
            self._wait_until_answering(runner.address, "/log")
        for host in self.cell.entry_hosts:
            self._wait_until_answering(host.operators, "/")
            self._wait_until_answering(host.callers, "/")

    def get_worker_log(self, name: str) -> Path:
        """Return the file to which a worker appends its facts (starts and ends of attempts)."""
        return self.directory / f"{name}.facts"

    def get_process_id(self, name: str) -> int:
        """Return the id of a running process."""
        return self._processes[name].pid

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this deployment."""
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and record the time in `killed_at`."""
        process = self._processes.pop(name)
        process.kill()
        self.killed_at.setdefault(name, []).append(time.time_ns() // 1_000_000)
        self.exit_codes[name] = process.wait()

    def terminate(self, name: str) -> int:
        """Stop a process with SIGTERM and return its exit code."""
        process = self._processes.pop(name)
        process.terminate()
        return self._reap(name, process)

    def stop(self) -> dict[str, int]:
        """Stop all processes with SIGTERM, the daemons first, and return the exit codes by name.

        Paused processes are resumed, so that they can handle the signal.
        """
        daemons = [host.host for host in self.cell.entry_hosts]
        for names in (daemons, [n for n in self._processes if n not in daemons]):
            running = {name: self._processes.pop(name) for name in names if name in self._processes}
            for process in running.values():
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.terminate()
            for name, process in running.items():
                self._reap(name, process)
        return self.exit_codes

    def read_facts(self) -> dict[str, list[dict[str, Any]]]:
        """Return the recorded starts and ends by worker, including those of killed workers."""
        facts = {}
        for worker in self.cell.workers:
            file = self.get_worker_log(worker.name)
            lines = file.read_text().splitlines() if file.exists() else []
            facts[worker.name] = [json.loads(line) for line in lines]
        return facts

    def _start_standin(self, name: str, address: Address, *arguments: str, module: str) -> None:
        listen_arguments = ["--address", address.host, "--port", str(address.port)]
        module_name = f"lentilpath_standins.{module}"
        self._start_process(
            name, [sys.executable, "-m", module_name, *listen_arguments, *arguments]
        )

    def _start_process(self, name: str, command: list[str]) -> None:
        with (self.directory / f"{name}.log").open("ab") as log:
            environment = os.environ | {"PYTHONFAULTHANDLER": "1"}
            # In a new session the process does not get the terminal's SIGINT on Ctrl-C. Otherwise
            # the platform would stop before the daemons have handed over their leadership.
            self._processes[name] = subprocess.Popen(
                command, stdout=log, stderr=log, env=environment, start_new_session=True
            )

    def _wait_until_answering(self, address: Address, target: str) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while True:
            try:
                send_request(address, "GET", target, timeout=1.0)
                return
            except (OSError, HTTPException) as error:
                ended = {
                    n: p.returncode for n, p in self._processes.items() if p.poll() is not None
                }
                if ended or time.monotonic() > deadline:
                    raise TimeoutError(
                        f"{address} does not respond ({error!r}); exited processes: {ended}; "
                        f"see the logs in {self.directory}"
                    ) from error
            time.sleep(POLL_INTERVAL_SECONDS)

    def _reap(self, name: str, process: subprocess.Popen[bytes]) -> int:
        try:
            code = process.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            # On SIGABRT Python's fault handler writes the stacks to the log, which shows the hang.
            process.send_signal(signal.SIGABRT)
            code = process.wait()
        self.exit_codes[name] = code
        return code


def create_deployment(
    cell: Cell,
    directory: Path,
    *,
    lag_ms: int = 500,
    seen_by: Mapping[str, Mapping[str, Address]] | None = None,
) -> Deployment:
    """Return a deployment of `cell` with its files in `directory`, without starting processes.

    `lag_ms` is the delay of changes of the platform's host list. `seen_by` overrides addresses by
    entry host and listed host: the platform lists the override to that entry host only, so that a
    test can put a relay between the two.
    """
    directory.mkdir(parents=True, exist_ok=True)
    return Deployment(cell, directory, lag_ms, seen_by or {})


def list_hosts(cell: Cell) -> list[dict[str, Any]]:
    """Return the cell's hosts as entries of the platform's host list."""
    entries = [
        _describe_host(host.host, "entry", host.region, host.zone, host.peers)
        for host in cell.entry_hosts
    ]
    workers = [
        _describe_host(worker.name, "worker", worker.region, worker.zone, worker.address)
        | {"rack": worker.rack, "capacity": msgspec.to_builtins(worker.capacity)}
        for worker in cell.workers
    ]
    runners = [
        _describe_host(runner.name, "upstream", runner.region, runner.zone, runner.address)
        | {"service": cell.service, "slots": runner.slots, "connections": runner.connections}
        for runner in cell.runners
    ]
    return entries + workers + runners


def _describe_host(
    name: str, kind: str, region: str, zone: str, address: Address
) -> dict[str, Any]:
    return {
        "name": name,
        "kind": kind,
        "region": region,
        "zone": zone,
        "rack": "",
        "address": address.host,
        "port": address.port,
        "leaving": False,
    }
