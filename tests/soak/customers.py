"""Changes the customers' keys and quotas during a run, and checks the guarantees about them."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Iterable
from dataclasses import dataclass, field

from tests.common.fleet.store import StandInStore
from tests.common.fleet.workers import ObservedRun
from tests.soak.clients import TASK_MILLICORES, Clients, Job
from tests.soak.plans import CustomerPlan

CONFIG_GRACE_SECONDS = 4.0
"""A version is in force within this on each host that reaches the table, as deployments specify."""
QUOTA_OVERAGE = 0.1
"""Share of its quota by which a customer may exceed it, beside one task."""
REVOCATION_TIMEOUT_SECONDS = 20.0


@dataclass
class Customers:
    """The customers of a run and the versions of the configuration that describe them."""

    store: StandInStore
    plan: CustomerPlan
    configuration: dict[str, object]
    keys: list[str] = field(default_factory=list)
    """The present key of each customer; shared with the clients."""
    revoked_keys: list[str] = field(default_factory=list)
    quotas: list[tuple[float, tuple[int, ...]]] = field(default_factory=list)
    """Quotas with the time from which they are in the table."""
    version: int = 10

    def store_configuration(self) -> None:
        """Store the next version of the configuration."""
        self.version += 1
        document = {**self.configuration, "version": self.version}
        if self.plan.quotas:
            _, quotas = self.quotas[-1]
            document["tenants"] = [
                {"name": f"c{number}", "apiKeys": [key], "maxItems": {"cpu": quotas[number]}}
                for number, key in enumerate(self.keys)
            ]
        self.store.put("op", "", "config", json.dumps(document).encode())

    def begin(self) -> None:
        """Store the first version."""
        self.keys.extend(f"key-{number}" for number in range(len(self.plan.quotas)))
        self.quotas.append((time.monotonic(), self.plan.quotas))
        self.store_configuration()

    async def revoke_key(self) -> None:
        """Replace the first customer's key at its time."""
        if self.plan.quotas and self.plan.revoked_at is not None:
            await asyncio.sleep(self.plan.revoked_at)
            self.revoked_keys.append(self.keys[0])
            self.keys[0] += "-next"
            self.store_configuration()

    async def change_quotas(self) -> None:
        """Change all quotas at their time."""
        if self.plan.quotas and self.plan.quota_changed_at is not None:
            await asyncio.sleep(self.plan.quota_changed_at)
            self.quotas.append((time.monotonic(), self.plan.later_quotas))
            self.store_configuration()

    async def check_revoked_keys(self, clients: Clients) -> list[str]:
        """Return the hosts that still accept a revoked key once all faults are over."""
        problems = []
        job = Job("f" * 16, (1,), customer=0)
        for key in self.revoked_keys:
            for host in clients.hosts:
                deadline = time.monotonic() + REVOCATION_TIMEOUT_SECONDS
                status = None
                while status != 401 and time.monotonic() < deadline:
                    response = await clients.call(host, "GET", job, key=key)
                    status = response.status if response is not None else None
                    await asyncio.sleep(0.05)
                if status != 401:
                    problems.append(f"CONFIG: {host.name} answers {status} to a revoked key")
        return problems

    def check_quotas(self, jobs: list[Job], log: list[ObservedRun]) -> Iterable[str]:
        """Return the starts that brought a customer above its quota."""
        owners = {job.name: job.customer for job in jobs if job.customer is not None}
        for customer in range(len(self.keys)):
            runs = [run for run in log if owners.get(run.task.partition(".")[0]) == customer]
            for run in runs:
                concurrent = sum(
                    other.started_at <= run.started_at < (other.ended_at or float("inf"))
                    for other in runs
                )
                quota = self._get_max_quota(customer, run.started_at)
                allowed = quota * (1 + QUOTA_OVERAGE) + TASK_MILLICORES
                if concurrent * TASK_MILLICORES > allowed:
                    yield (
                        f"QUOTA: {run.task} was one of {concurrent} concurrent tasks of c{customer}"
                        f", whose quota was {quota} millicores"
                    )

    def _get_max_quota(self, customer: int, at: float) -> int:
        """Return the highest quota that may be in force."""
        ends = [since for since, _ in self.quotas[1:]] + [float("inf")]
        return max(
            quotas[customer]
            for (since, quotas), end in zip(self.quotas, ends, strict=True)
            if since <= at < end + CONFIG_GRACE_SECONDS
        )
