"""Clients that submit jobs, retry as the protocol specifies and record the responses."""

from __future__ import annotations

import asyncio
import json
import random
import time
from dataclasses import dataclass, field

from lentilpath_http import HttpError, HttpRequest, HttpResponse, RequestNotSent
from tests.common.fleet.workers import CRASHING_SPEC
from tests.soak.processes import HostProcess

CALL_TIMEOUT_SECONDS = 4.0
"""Longer than the deadline that the client sends, so that late responses are still received."""
DEADLINE_MS = 3_000
TASK_MILLICORES = 1_000
MAX_PAUSE_SECONDS = 0.3
ACCEPTED, REFUSED = 200, (429, 503)


@dataclass
class Job:
    """A job and what its client knows of it; times are seconds of the monotonic clock."""

    name: str
    counts: tuple[int, ...]
    """Number of tasks of each step; each step depends on the previous one."""
    submit_statuses: list[int] = field(default_factory=list)
    """Response status of each attempt to submit it; 0 if there was no response."""
    accepted_at: float | None = None
    cancelled_at: float | None = None
    """When its cancellation was acknowledged."""
    is_cancel_sent: bool = False
    completed_at: float | None = None
    """When a host first reported it as completed."""
    failed_at: float | None = None
    """When a host first reported it as failed."""
    state: str = ""
    crashes_workers: bool = False
    """Whether its tasks crash the workers that start them."""
    customer: int | None = None
    """Index of its customer; `None` if no key is needed."""

    def list_tasks(self, step: int) -> list[str]:
        """Return the task names of a step."""
        return [f"{self.name}.0.{step}.{number}" for number in range(self.counts[step])]

    def make_body(self) -> bytes:
        """Return the body of the submission."""
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
        spec = CRASHING_SPEC if self.crashes_workers else self.name
        return json.dumps({"spec": spec, "steps": steps}).encode()


@dataclass
class UnansweredCall:
    """A call that was sent and got no response."""

    host: str
    sent_at: float
    ended_at: float
    error: str


@dataclass
class Clients:
    """All clients of a run; they keep their connections to the hosts open."""

    hosts: list[HostProcess]
    rng: random.Random
    jobs: list[Job] = field(default_factory=list)
    unanswered_calls: list[UnansweredCall] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    keys: list[str] = field(default_factory=list)
    """The present key of each customer, by index."""
    customer_rng: random.Random = field(default_factory=random.Random)
    """A generator of their own leaves the jobs of a seed as they are."""

    def choose_customer(self) -> int | None:
        """Return the customer of a new job, or `None` if no key is needed."""
        return self.customer_rng.randrange(len(self.keys)) if self.keys else None

    async def submit_until(self, end: float) -> None:
        """Submit jobs one after another until the time `end`; cancel or query some of them."""
        while time.monotonic() < end:
            counts = tuple(self.rng.randint(1, 3) for _ in range(self.rng.choice((1, 1, 2))))
            job = Job(f"{self.rng.getrandbits(64):016x}", counts, customer=self.choose_customer())
            self.jobs.append(job)
            await self.submit(job)
            if job.accepted_at is not None and self.rng.random() < 0.1:
                await self.cancel(job)
            elif job.accepted_at is not None and self.rng.random() < 0.3:
                await self.read_state(job, self.rng.choice(self.hosts))
            await asyncio.sleep(self.rng.uniform(0.02, MAX_PAUSE_SECONDS))

    async def submit_crashing_job(self, delay_seconds: float) -> None:
        """Submit a job of one task that crashes the workers that start it."""
        await asyncio.sleep(delay_seconds)
        job = Job(f"{self.rng.getrandbits(64):016x}", (1,), crashes_workers=True)
        job.customer = self.choose_customer()
        self.jobs.append(job)
        await self.submit(job)

    async def submit(self, job: Job, attempts: int = 5) -> None:
        """Submit a job, and retry through random hosts until it is accepted or attempts run out."""
        for _ in range(attempts):
            host = self.rng.choice(self.hosts)
            response = await self.call(host, "POST", job, job.make_body())
            job.submit_statuses.append(response.status if response is not None else 0)
            if response is not None and response.status == ACCEPTED:
                job.accepted_at = time.monotonic()
                return
            await asyncio.sleep(self.rng.uniform(0.05, MAX_PAUSE_SECONDS))

    async def cancel(self, job: Job) -> None:
        """Send one cancellation of a job, and record when it was acknowledged."""
        job.is_cancel_sent = True
        response = await self.call(self.rng.choice(self.hosts), "DELETE", job)
        if response is not None and response.status in (ACCEPTED, 410):
            job.cancelled_at = time.monotonic()

    async def read_state(self, job: Job, host: HostProcess) -> str:
        """Query a host for a job's state and return it; empty if the host did not report one."""
        response = await self.call(host, "GET", job)
        if response is None:
            return ""
        now = time.monotonic()
        if response.status == 410 and job.accepted_at is not None and now > job.accepted_at + 3.0:
            self.problems.append(f"LOST: {host.name} does not know the accepted job {job.name}")
        if response.status != ACCEPTED:
            return ""
        job.state = json.loads(response.body)["state"]
        if job.state == "completed" and job.completed_at is None:
            job.completed_at = now
        if job.state == "failed" and job.failed_at is None:
            job.failed_at = now
        return job.state

    async def call(
        self, host: HostProcess, method: str, job: Job, body: bytes = b"", key: str = ""
    ) -> HttpResponse | None:
        """Send a request about a job to a host; return `None` if there was no response.

        It carries the present key of the job's customer, or `key`.
        """
        headers: tuple[tuple[str, str], ...] = (("x-deadline-ms", str(DEADLINE_MS)),)
        if job.customer is not None:
            headers += (("x-credential", key or self.keys[job.customer]),)
        sent_at = time.monotonic()
        try:
            response = await host.client.send(
                HttpRequest(method, f"/checks/{job.name}", headers, body), CALL_TIMEOUT_SECONDS
            )
        except RequestNotSent as error:
            # A host that is not running or refuses connections is no problem.
            if not isinstance(error.__cause__, OSError | TimeoutError):
                self.problems.append(f"a call to {host.name} failed before it was sent: {error!r}")
            return None
        except HttpError as error:
            self.unanswered_calls.append(
                UnansweredCall(host.name, sent_at, time.monotonic(), repr(error))
            )
            return None
        if response.status >= 500 and response.status not in (503, 504):
            self.problems.append(f"{host.name} responded to {method} with status {response.status}")
        return response
