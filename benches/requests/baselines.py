"""Two baseline load balancers without shares, limits or queues, to compare lentilpath with."""

from __future__ import annotations

import itertools
import uuid
from typing import Any

from lentilpath_core.errors import OutcomeUnknown
from lentilpath_core.ids import Instant, RequestId
from lentilpath_core.requests.messages import CallerRequest, FailureReason, RequestFailed
from lentilpath_core.requests.policy import RequestPolicy
from lentilpath_core.settings import Address
from lentilpath_http import HttpRequest, HttpResponse, serve_http
from lentilpathd._adapters.callers import read_request, write_answer, write_failure
from lentilpathd._adapters.upstream import RunnerConnection, RunnerRefused, connect_runner
from lentilpathd._clock import read_instant
from lentilpathd._directory import Directory

CONNECT_TIMEOUT_SECONDS = 1.0
ATTEMPTS = 3
MS_PER_SECOND = 1_000


class _Pool:
    def __init__(self, address: Address, region: str) -> None:
        self.address = address
        self.region = region
        self.in_use = 0
        self.idle: list[RunnerConnection] = []

    async def send(self, request: CallerRequest, timeout: float) -> tuple[Any, int]:
        self.in_use += 1
        try:
            while self.idle and not self.idle[-1].is_usable():
                self.idle.pop().close()
            if self.idle:
                connection = self.idle.pop()
            else:
                connection = await connect_runner(
                    self.address, CONNECT_TIMEOUT_SECONDS, read_instant()
                )
            before = connection.bytes_transferred
            try:
                answer = await connection.send(request, int(timeout * MS_PER_SECOND), timeout)
            finally:
                if connection.is_usable():
                    self.idle.append(connection)
            return answer, connection.bytes_transferred - before
        finally:
            self.in_use -= 1


class Baseline:
    """An entry host that uses one of the two baseline strategies."""

    def __init__(self, subject: str, directory: Directory, region: str) -> None:
        self._picks_least_used = subject == "least-connections"
        self._directory = directory
        self._region = region
        self._pools: dict[str, _Pool] = {}
        self._turns = itertools.count()
        self._policy = RequestPolicy()
        self.bytes_here = 0
        self.bytes_far = 0

    async def handle_request(self, message: HttpRequest) -> HttpResponse:
        """Forward one caller's request to the runner that the strategy picks."""
        request_id = RequestId(uuid.uuid4().hex)
        try:
            request = read_request(message, request_id, self._policy, read_instant())
            return write_answer(request_id, await self._send(request))
        except RequestFailed as failure:
            return write_failure(request_id, failure)

    async def _send(self, request: CallerRequest) -> Any:
        refusal = "no runner"
        for _ in range(ATTEMPTS):
            pool = self._choose_pool(request)
            try:
                timeout = max(0.001, (request.deadline - Instant(read_instant())) / MS_PER_SECOND)
                answer, byte_count = await pool.send(request, timeout)
            except RunnerRefused as error:
                refusal = str(error)
                continue
            except OutcomeUnknown as error:
                raise RequestFailed(FailureReason.OUTCOME_UNKNOWN, str(error)) from error
            if pool.region == self._region:
                self.bytes_here += byte_count
            else:
                self.bytes_far += byte_count
            return answer
        raise RequestFailed(FailureReason.OVERLOADED, refusal, 1_000)

    def _choose_pool(self, request: CallerRequest) -> _Pool:
        listed = [h for h in self._directory.list_upstreams(request.service) if not h.leaving]
        if not listed:
            raise RequestFailed(FailureReason.NO_RUNNER, "no runner is listed", 1_000)
        for host in listed:
            if host.name not in self._pools:
                self._pools[host.name] = _Pool(host.address, host.region)
        pools = [self._pools[host.name] for host in listed]
        turn = next(self._turns)
        if self._picks_least_used:
            return min(
                (pools[(turn + i) % len(pools)] for i in range(len(pools))),
                key=lambda pool: pool.in_use,
            )
        return pools[turn % len(pools)]


async def serve_baseline(
    subject: str, directory: Directory, region: str, address: Address
) -> tuple[Any, Baseline]:
    """Start a baseline and return its server and the baseline."""
    baseline = Baseline(subject, directory, region)
    return await serve_http(baseline.handle_request, address.host, address.port), baseline
