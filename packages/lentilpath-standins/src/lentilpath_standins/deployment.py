"""Starts and ends the processes of a cell on one machine. A tool for development only."""

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
from lentilpath_standins._control import ask, read_log
from lentilpath_standins.cell import Cell, RunnerHost, WorkerHost

READY_SECONDS = 40.0
POLL_SECONDS = 0.05
STOP_SECONDS = 25.0
PLATFORM = "platform"


class Deployment:
    """The processes of one cell. Ends only what it started itself, by its process id."""

    def __init__(
        self, cell: Cell, directory: Path, lag_ms: int, seen_by: Mapping[str, Mapping[str, Address]]
    ) -> None:
        self.cell = cell
        self.directory = directory
        self.exit_codes: dict[str, int] = {}
        """Exit codes of ended processes, by name; the last one of a name that ran again."""
        self.killed_at: dict[str, list[int]] = {}
        """Wall time in ms at which a process of this name was killed."""
        self._lag_ms = lag_ms
        self._seen_by = seen_by
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def start(self) -> None:
        """Start the platform, then all other processes; returns when all of them answer."""
        self.start_platform()
        for worker in self.cell.workers:
            self.start_worker(worker)
        for runner in self.cell.runners:
            self.start_runner(runner)
        for host in self.cell.entry_hosts:
            self.start_entry_host(host)
        self.wait_until_ready()

    def start_platform(self) -> None:
        """Start the platform and wait until it answers."""
        hosts_file = self.directory / "hosts.json"
        listed = {"hosts": list_hosts(self.cell), "seen_by": msgspec.to_builtins(self._seen_by)}
        hosts_file.write_text(json.dumps(listed))
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
        self._wait_for(self.cell.platform, "/log")

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
        """Wait until every process listens; raises `TimeoutError` with the names of the others."""
        for worker in self.cell.workers:
            self._wait_for(worker.address, "/log")
        for runner in self.cell.runners:
            self._wait_for(runner.address, "/log")
        for host in self.cell.entry_hosts:
            self._wait_for(host.operators, "/")
            self._wait_for(host.callers, "/")

    def get_worker_log(self, name: str) -> Path:
        """Return the file that a worker appends its facts to."""
        return self.directory / f"{name}.facts"

    def get_entry_host(self, name: str) -> HostSettings:
        """Return the settings of an entry host."""
        return next(host for host in self.cell.entry_hosts if host.host == name)

    def get_process_id(self, name: str) -> int:
        """Return the id of a running process."""
        return self._processes[name].pid

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this deployment."""
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """End a process at once with SIGKILL."""
        process = self._processes.pop(name)
        process.kill()
        self.killed_at.setdefault(name, []).append(time.time_ns() // 1_000_000)
        self.exit_codes[name] = process.wait()

    def terminate(self, name: str) -> int:
        """End a process gracefully with SIGTERM and return its exit code."""
        process = self._processes.pop(name)
        process.terminate()
        return self._reap(name, process)

    def list_running(self) -> tuple[str, ...]:
        """Return the names of all processes that have not ended."""
        return tuple(name for name, process in self._processes.items() if process.poll() is None)

    def stop(self) -> dict[str, int]:
        """End everything gracefully, daemons first, and return the exit codes by name."""
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
        """Return what truly ran, by worker, also on workers that were killed."""
        facts = {}
        for worker in self.cell.workers:
            file = self.get_worker_log(worker.name)
            lines = file.read_text().splitlines() if file.exists() else []
            facts[worker.name] = [json.loads(line) for line in lines]
        return facts

    def read_log_of(self, address: Address) -> Any:
        """Return the log of a running stand-in."""
        return read_log(address)

    def _start_standin(self, name: str, address: Address, *arguments: str, module: str) -> None:
        where = ["--address", address.host, "--port", str(address.port)]
        module_name = f"lentilpath_standins.{module}"
        self._start_process(name, [sys.executable, "-m", module_name, *where, *arguments])

    def _start_process(self, name: str, command: list[str]) -> None:
        with (self.directory / f"{name}.log").open("ab") as log:
            environment = os.environ | {"PYTHONFAULTHANDLER": "1"}
            # In a session of its own a process gets no Ctrl-C of the terminal; the platform would
            # end before the daemons have handed over.
            self._processes[name] = subprocess.Popen(
                command, stdout=log, stderr=log, env=environment, start_new_session=True
            )

    def _wait_for(self, address: Address, target: str) -> None:
        deadline = time.monotonic() + READY_SECONDS
        while True:
            try:
                ask(address, "GET", target, timeout=1.0)
                return
            except (OSError, HTTPException) as error:
                ended = {
                    n: p.returncode for n, p in self._processes.items() if p.poll() is not None
                }
                if ended or time.monotonic() > deadline:
                    raise TimeoutError(
                        f"{address} does not answer ({error!r}); ended processes: {ended}; "
                        f"see the logs in {self.directory}"
                    ) from error
            time.sleep(POLL_SECONDS)

    def _reap(self, name: str, process: subprocess.Popen[bytes]) -> int:
        try:
            code = process.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            # The fault handler writes to the log where the process hangs.
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
    """Return a deployment of `cell` that keeps its files in `directory`; nothing runs yet.

    `seen_by` gives other addresses of hosts than the cell's, by entry host and host: the platform
    lists these to that entry host, so that a relay can stand in between.
    """
    directory.mkdir(parents=True, exist_ok=True)
    return Deployment(cell, directory, lag_ms, seen_by or {})


def list_hosts(cell: Cell) -> list[dict[str, Any]]:
    """Return the platform's list of hosts."""
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
