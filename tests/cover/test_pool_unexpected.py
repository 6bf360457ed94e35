"""An unexpected error in one part of a leader's work ends neither its term nor the process.

Guards against faults of our own code and of libraries: before, any error that is not one of
`lentilpath_core.errors` ended the term, and 20 of them in a row the process.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from types import ModuleType
from typing import Any

import pytest

from lentilpath_core.pool import AdviceAnswered, LeaseSent, TimePassed
from lentilpath_http import HttpRequest, HttpResponse, create_client, serve_http
from lentilpathd._pool import _effects, _guard, _term
from lentilpathd._pool._guard import run_guarded
from lentilpathd._pool._ports import Deposed
from tests.common import simulated_pool
from tests.common.simulated_pool import SharedRows, run_seed
from tests.common.simulated_workers import Faults, SimulatedClient, SimulatedCluster

ERRORS = (RuntimeError, OverflowError, AttributeError, KeyError, RecursionError, AssertionError)
DROPPABLE = (TimePassed, LeaseSent, AdviceAnswered)
"""Events that recur, so that losing one of them loses nothing else."""


def fail_each(
    owner: ModuleType | type,
    name: str,
    period: int,
    patch: pytest.MonkeyPatch,
    concerns: Callable[..., bool] = lambda *_: True,
) -> None:
    """Let each `period`-th call that `concerns` selects raise an error of another type."""
    former: Any = getattr(owner, name)
    calls, errors = itertools.count(1), itertools.cycle(ERRORS)

    def call(*arguments: object, **named: object) -> object:
        if concerns(*arguments) and next(calls) % period == 0:
            raise next(errors)("x" * 100_000)
        return former(*arguments, **named)

    patch.setattr(owner, name, call)


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(
    ("owner", "name", "period", "concerns"),
    [
        pytest.param(SimulatedClient, "_send", 40, lambda *_: True, id="worker links"),
        pytest.param(SimulatedCluster, "read_workers", 5, lambda *_: True, id="worker list"),
        pytest.param(SharedRows, "follow", 5, lambda *_: True, id="job feed"),
        pytest.param(_term, "place_pool", 7, lambda *_: True, id="placement"),
        pytest.param(
            _term,
            "decide_pool",
            20,
            lambda state, event, now: isinstance(event, DROPPABLE),
            id="events",
        ),
        pytest.param(_effects.EffectExecutor, "_log_run", 9, lambda *_: True, id="effects"),
    ],
)
def test_a_term_outlives_unexpected_errors_and_all_jobs_complete(
    owner: ModuleType | type,
    name: str,
    period: int,
    concerns: Callable[..., bool],
    seed: int,
    monkeypatch: pytest.MonkeyPatch,
):
    terms: list[object] = []

    class CountedTerm(_term.Term):
        def __init__(self, *arguments: Any) -> None:
            terms.append(self)
            super().__init__(*arguments)

    monkeypatch.setattr(simulated_pool, "Term", CountedTerm)
    fail_each(owner, name, period, monkeypatch, concerns)
    problems, timeline = run_seed(seed, Faults(), monkeypatch)
    print(timeline)
    assert not problems
    assert len(terms) == 1


@pytest.mark.parametrize("error", [Deposed("x"), ExceptionGroup("x", [ValueError(), Deposed("x")])])
def test_a_deposed_leader_is_not_kept(error: Exception):
    async def fail() -> None:
        raise error

    with pytest.raises((Deposed, ExceptionGroup)):
        asyncio.run(run_guarded("part", fail))


def test_a_part_that_fails_or_returns_starts_again(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(_guard, "RESTART_SECONDS", 0.0)
    ends = [Deposed("over"), None, ValueError("x"), ExceptionGroup("x", [KeyError("x")])]

    async def run() -> None:
        end = ends.pop()
        if end is not None:
            raise end

    with pytest.raises(Deposed):
        asyncio.run(run_guarded("part", run))
    assert not ends


def test_an_impossible_response_costs_its_own_connection_only(caplog):
    async def answer(request: HttpRequest) -> HttpResponse:
        headers = (("bad name", "x" * 9_999),) if request.target == "/bad" else ()
        return HttpResponse(200, headers, b"")

    async def run() -> int:
        server = await serve_http(answer, "127.0.0.1", 0)
        client = create_client("127.0.0.1", server.get_port())
        with pytest.raises(Exception):  # noqa: B017, PT011
            await client.send(HttpRequest("GET", "/bad"), 5.0)
        response = await client.send(HttpRequest("GET", "/"), 5.0)
        client.close()
        await server.close(0.0)
        return response.status

    assert asyncio.run(run()) == 200
    assert [len(record.getMessage()) < 1_000 for record in caplog.records] == [True]
