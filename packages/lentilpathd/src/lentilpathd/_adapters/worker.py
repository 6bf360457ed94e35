"""Client of a worker over HTTP with JSON bodies."""

from __future__ import annotations

import json
from typing import Any

from lentilpath_core.errors import OutcomeUnknown, WorkerUnavailable
from lentilpath_core.ids import TaskId, WallTime, WorkerTime
from lentilpath_core.resources import Resources
from lentilpath_core.settings import Address
from lentilpath_core.zone.reports import (
    StartAnswer,
    WorkerReport,
    WorkerTask,
    WorkerTaskState,
)
from lentilpath_http import (
    HttpClient,
    HttpError,
    HttpRequest,
    HttpResponse,
    RequestNotSent,
    create_client,
)
from lentilpathd._ports import StartCommand, SyncCommand, Worker

HTTP_OK = 200
HTTP_CONFLICT = 409


class HttpWorker:
    """Implements `Worker` with one HTTP client."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def start(self, command: StartCommand, timeout: float) -> StartAnswer:
        """Start a task; see `Worker`."""
        message = {
            "task": command.task,
            "attempt": command.attempt,
            "resources": _write_resources(command.resources),
            "run_ms": command.run_ms,
            "parameters": dict(command.parameters),
            "lease_ms": command.lease_ms,
            "not_after": command.not_after,
        }
        response = await self._post("/start", message, timeout)
        if response.status == HTTP_OK:
            return StartAnswer.STARTED
        if response.status == HTTP_CONFLICT:
            return StartAnswer.REFUSED
        raise OutcomeUnknown(f"start of {command.task}: status {response.status}")

    async def sync(self, command: SyncCommand, timeout: float) -> WorkerReport:
        """Renew leases, discard ended attempts and return a report; see `Worker`."""
        message = {
            "since": command.since,
            "wait_ms": command.wait_ms,
            "renew_ms": command.renew_ms,
            "not_after": command.not_after,
            "forget": [{"task": task, "attempt": attempt} for task, attempt in command.forget],
        }
        response = await self._post("/sync", message, timeout)
        if response.status != HTTP_OK:
            raise OutcomeUnknown(f"sync: status {response.status}")
        try:
            return _read_report(response.parse_json())
        except (HttpError, KeyError, TypeError, ValueError) as error:
            raise OutcomeUnknown(f"sync: unreadable report: {error!r}") from error

    async def stop(
        self, task: TaskId, attempt: int, grace_ms: int, not_after: WorkerTime, timeout: float
    ) -> None:
        """Stop a task and kill it if it still runs after `grace_ms`."""
        message = {
            "task": task,
            "attempt": attempt,
            "grace_ms": grace_ms,
            "not_after": not_after,
        }
        await self._post("/stop", message, timeout)

    async def checkpoint(
        self, task: TaskId, attempt: int, not_after: WorkerTime, timeout: float
    ) -> None:
        """Save the task's progress and stop it."""
        message = {"task": task, "attempt": attempt, "not_after": not_after}
        await self._post("/checkpoint", message, timeout)

    async def throttle(
        self, task: TaskId, attempt: int, millicores: int, not_after: WorkerTime, timeout: float
    ) -> None:
        """Limit the task's processor time to `millicores`."""
        message = {
            "task": task,
            "attempt": attempt,
            "millicores": millicores,
            "not_after": not_after,
        }
        await self._post("/throttle", message, timeout)

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def _post(self, target: str, message: object, timeout: float) -> HttpResponse:
        body = json.dumps(message, separators=(",", ":")).encode()
        request = HttpRequest("POST", target, (("content-type", "application/json"),), body)
        try:
            return await self._client.send(request, timeout)
        except RequestNotSent as error:
            raise WorkerUnavailable(f"{target}: {error}") from error
        except HttpError as error:
            raise OutcomeUnknown(f"{target}: {error!r}") from error


def create_worker(address: Address) -> Worker:
    """Return a client of the worker at `address`."""
    return HttpWorker(create_client(address.host, address.port))


def _write_resources(resources: Resources) -> dict[str, int]:
    return {
        "millicores": resources.millicores,
        "memory_mib": resources.memory_mib,
        "accelerators": resources.accelerators,
    }


def _read_report(report: dict[str, Any]) -> WorkerReport:
    return WorkerReport(
        boot=report["boot"],
        clock=WorkerTime(report["clock"]),
        sequence=report["sequence"],
        complete=report["complete"],
        tasks=tuple(_read_task(task) for task in report["tasks"]),
    )


def _read_task(task: dict[str, Any]) -> WorkerTask:
    return WorkerTask(
        task=TaskId(task["task"]),
        attempt=task["attempt"],
        state=WorkerTaskState(task["state"]),
        resources=Resources(**task["resources"]),
        started_at=WallTime(task["started_at"]),
        ended_at=WallTime(task["ended_at"]),
        millicore_ms=task["millicore_ms"],
        peak_memory_mib=task["peak_memory_mib"],
    )
