"""Clients that submit jobs, ask again as the protocol says, and remember what they were told."""

from __future__ import annotations

import asyncio
import json
import random
import time
from dataclasses import dataclass, field

from lentilpath_http import HttpError, HttpRequest, HttpResponse, RequestNotSent
from tests.soak.processes import HostProcess

CALL_SECONDS = 4.0
"""Longer than the deadline that the client states, so that a late answer is still heard."""
DEADLINE_MS = 3_000
TASK_MILLICORES = 1_000
LONGEST_PAUSE_SECONDS = 0.3
ACCEPTED, REFUSED = 200, (429, 503)


@dataclass
class Job:
    """A job as its client knows it."""

    name: str
    counts: tuple[int, ...]
    """Tasks of each step; each step comes after the one before it."""
    answers: list[int] = field(default_factory=list)
    """Status of each attempt to submit it; 0 for none."""
    accepted_at: float | None = None
    cancelled_at: float | None = None
    """When its cancellation was acknowledged."""
    is_cancel_sent: bool = False
    completed_at: float | None = None
    """When it was first shown as completed."""
    state: str = ""

    def list_tasks(self, step: int) -> list[str]:
        """Return the names of a step's tasks."""
        return [f"{self.name}.0.{step}.{number}" for number in range(self.counts[step])]

    def make_body(self) -> bytes:
        """Return the submission."""
        steps = [
            {
                "count": count,
                "cpu": TASK_MILLICORES,
                "memMb": 64,
                "estRuntimeMs": 300,
                "after": [number - 1] if number else [],
            }
            for number, count in enumerate(self.counts)
        ]
        return json.dumps({"spec": self.name, "steps": steps}).encode()


@dataclass
class CutCall:
    """A call that was sent and not answered."""

    host: str
    sent_at: float
    ended_at: float
    error: str


@dataclass
class Clients:
    """All clients of a run; each keeps its connections open."""

    hosts: list[HostProcess]
    choices: random.Random
    jobs: list[Job] = field(default_factory=list)
    cut_calls: list[CutCall] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)

    async def submit_until(self, end: float) -> None:
        """Submit one job after another until the time `end`; cancel some and look at others."""
        while time.monotonic() < end:
            counts = tuple(
                self.choices.randint(1, 3) for _ in range(self.choices.choice((1, 1, 2)))
            )
            job = Job(f"{self.choices.getrandbits(64):016x}", counts)
            self.jobs.append(job)
            await self.submit(job)
            if job.accepted_at is not None and self.choices.random() < 0.1:
                await self.cancel(job)
            elif job.accepted_at is not None and self.choices.random() < 0.3:
                await self.look_at(job, self.choices.choice(self.hosts))
            await asyncio.sleep(self.choices.uniform(0.02, LONGEST_PAUSE_SECONDS))

    async def submit(self, job: Job, attempts: int = 5) -> None:
        """Hand a job in, again through other hosts while it is not known to be accepted."""
        for _ in range(attempts):
            host = self.choices.choice(self.hosts)
            response = await self.call(host, "POST", job, job.make_body())
            job.answers.append(response.status if response is not None else 0)
            if response is not None and response.status == ACCEPTED:
                job.accepted_at = time.monotonic()
                return
            await asyncio.sleep(self.choices.uniform(0.05, LONGEST_PAUSE_SECONDS))

    async def cancel(self, job: Job) -> None:
        """Cancel a job."""
        job.is_cancel_sent = True
        response = await self.call(self.choices.choice(self.hosts), "DELETE", job)
        if response is not None and response.status in (ACCEPTED, 410):
            job.cancelled_at = time.monotonic()

    async def look_at(self, job: Job, host: HostProcess) -> str:
        """Ask a host for a job's state and return it; empty if it could not be told."""
        response = await self.call(host, "GET", job)
        if response is None:
            return ""
        now = time.monotonic()
        if response.status == 410 and job.accepted_at is not None and now > job.accepted_at + 3.0:
            self.problems.append(f"LOST: {host.name} does not know {job.name}, which was accepted")
        if response.status != ACCEPTED:
            return ""
        job.state = json.loads(response.body)["state"]
        if job.state == "completed" and job.completed_at is None:
            job.completed_at = now
        return job.state

    async def call(
        self, host: HostProcess, method: str, job: Job, body: bytes = b""
    ) -> HttpResponse | None:
        """Call a host; `None` if it did not answer."""
        headers = (("x-deadline-ms", str(DEADLINE_MS)),)
        sent_at = time.monotonic()
        try:
            response = await host.client.send(
                HttpRequest(method, f"/checks/{job.name}", headers, body), CALL_SECONDS
            )
        except RequestNotSent as error:
            # The host does not run, or takes no connections.
            if not isinstance(error.__cause__, OSError | TimeoutError):
                self.problems.append(f"a call to {host.name} could not be made: {error!r}")
            return None
        except HttpError as error:
            self.cut_calls.append(CutCall(host.name, sent_at, time.monotonic(), repr(error)))
            return None
        if response.status >= 500 and response.status not in (503, 504):
            self.problems.append(f"{host.name} answered {method} with status {response.status}")
        return response
