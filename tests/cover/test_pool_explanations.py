"""What `explain` says of a job is what then happens to it, and asking changes nothing.

Guards against an explanation that comes from other rules than the decision, against one that
changes the leader's state, and against questions that cost the leader much.
"""

from __future__ import annotations

import asyncio
import copy
import json
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import json5
import msgspec
import pytest

from lentilpath._explain import format_explanation
from lentilpath_core.errors import LentilpathError, UnknownName
from lentilpath_core.ids import CustomerId, HostId
from lentilpath_core.pool import (
    NO_CUSTOMER,
    AdvicePolicy,
    CustomerPolicy,
    JobExplanation,
    JobRecord,
    Obstacle,
    StartAnswer,
    StepSpec,
    decide_admission,
    decide_share_admission,
    explain_job,
    find_wait_ms,
    measure_loads,
    measure_shares,
)
from lentilpath_core.resources import Resources
from lentilpath_http import HttpRequest, HttpResponse
from lentilpathd._pool._explain import MAX_STEPS, MAX_TASKS, Explainer
from tests.common.pools import (
    QUEUE,
    TASK_RESOURCES,
    PoolHarness,
    list_starts,
    make_queue,
    make_record,
    make_worker,
)
from tests.cover.test_pool_table_path import InMemoryBus

LARGE = Resources(6_000, 512, 0)
BUYER = CustomerId("buyer")


def explain(
    harness: PoolHarness, *steps: StepSpec, customer: CustomerId = NO_CUSTOMER
) -> JobExplanation:
    record = make_record(99, *steps, customer=customer)
    return explain_job(harness.state, record, harness.queues[QUEUE], harness.now)


@pytest.mark.parametrize(
    "step",
    [
        StepSpec(3, TASK_RESOURCES, 500),
        StepSpec(30, TASK_RESOURCES, 500, most_per_worker=2),
        StepSpec(2, LARGE, 500, gang=True),
        StepSpec(4, LARGE, 500, gang=True),
        StepSpec(9, TASK_RESOURCES, 500, label="r2"),
    ],
)
def test_the_named_workers_are_those_on_which_the_job_then_starts(step: StepSpec):
    harness = PoolHarness()
    harness.add_workers(
        make_worker("w1"), make_worker("w2", rack="r2"), make_worker("w3", leaves_in_ms=2_000)
    )
    explanation = explain(harness, step)
    harness.submit(99, step)
    starts = list_starts(harness.place())
    assert explanation.is_accepted
    assert explanation.steps[0].placed == len(starts)
    assert set(explanation.steps[0].workers) == {each.worker for each in starts}


def test_asking_changes_nothing_and_counts_the_steps_that_go_first():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"))
    for job in (1, 2, 3):
        harness.submit(job, StepSpec(2, LARGE, 500, gang=True))
    harness.place()
    before = copy.deepcopy(harness.state)
    explanation = explain(harness, StepSpec(1, LARGE, 5_000))
    assert (explanation.steps_ahead, explanation.steps_waiting) == (3, 3)
    assert explanation.oldest_report_ms == 0
    assert repr(harness.state) == repr(before)


def test_each_worker_that_takes_no_task_is_counted_with_its_obstacle():
    harness = PoolHarness()
    harness.add_workers(
        make_worker("small", Resources(500, 8_192, 0)),
        make_worker("leaving", leaves_in_ms=2_000),
        make_worker("other", rack="r2"),
        make_worker("full"),
    )
    harness.submit(1, StepSpec(1, Resources(7_500, 64, 0), 800, label="r1"))
    (start,) = list_starts(harness.place())
    harness.answer_start(start, StartAnswer.STARTED)
    (step,) = explain(harness, StepSpec(1, TASK_RESOURCES, 500, label="r1")).steps
    found = {each.obstacle: each.examples for each in step.obstacles}
    assert found == {
        Obstacle.TOO_SMALL: ("small",),
        Obstacle.LEAVING: ("leaving",),
        Obstacle.LABEL: ("other",),
        Obstacle.NO_ROOM: ("full",),
    }
    assert step.starts_in_ms is not None
    assert 0 < step.starts_in_ms <= 1_000


def test_a_job_that_would_be_refused_is_explained_with_its_retry_delay():
    harness = PoolHarness(make_queue(advice=AdvicePolicy(20.0, 1.0, 2_000), target_ms=500))
    harness.add_workers(make_worker("w1"))
    harness.submit(1, StepSpec(400, TASK_RESOURCES, 1_000))
    explanation = explain(harness, StepSpec(1, TASK_RESOURCES, 500))
    assert not explanation.is_accepted
    assert explanation.retry_after_ms > 0
    assert explanation.steps[0].needs_advice
    lines = format_explanation(msgspec.json.decode(msgspec.json.encode(explanation)))
    assert "would be refused" in lines
    assert "advice service" in lines


def make_customer_harness(quota_millicores: int = 0, weight: float = 1.0) -> PoolHarness:
    policy = CustomerPolicy(BUYER, weight, Resources(quota_millicores, 0, 0))
    harness = PoolHarness(customers=(policy,))
    harness.add_workers(make_worker("w1"), make_worker("w2"))
    return harness


@pytest.mark.parametrize(
    ("step", "allowed"),
    [
        (StepSpec(5, TASK_RESOURCES, 500), 2),
        (StepSpec(2, TASK_RESOURCES, 500, gang=True), 2),
        (StepSpec(3, TASK_RESOURCES, 500, gang=True), 0),
    ],
)
def test_no_more_tasks_are_shown_as_placed_than_the_quota_then_lets_start(step, allowed):
    harness = make_customer_harness(quota_millicores=3_000)
    harness.submit(1, StepSpec(1, TASK_RESOURCES, 5_000), customer=BUYER)
    (start,) = list_starts(harness.place())
    harness.answer_start(start, StartAnswer.STARTED)
    explanation = explain(harness, step, customer=BUYER)
    harness.submit(99, step, customer=BUYER)
    (explained,) = explanation.steps
    assert (explained.allowed, explained.placed) == (allowed, allowed)
    assert len(list_starts(harness.place())) == allowed
    assert explained.starts_in_ms == (0 if allowed == step.count else None)
    customer = explanation.customer
    assert customer is not None
    assert (customer.held, customer.quota) == (TASK_RESOURCES, Resources(3_000, 0, 0))
    lines = format_explanation(msgspec.json.decode(msgspec.json.encode(explanation)))
    assert "holds 1000 of 3000 millicores, 512 of no limit MB" in lines


def test_a_job_that_its_quota_can_never_hold_is_explained_with_the_quota_and_no_retry():
    harness = make_customer_harness(quota_millicores=500)
    explanation = explain(harness, StepSpec(1, TASK_RESOURCES, 500), customer=BUYER)
    assert not explanation.is_accepted
    assert "500 millicores" in explanation.reason
    assert explanation.retry_after_ms == 0
    assert explanation.steps[0].allowed == 0


def test_a_job_beyond_its_customers_share_waits_behind_the_others():
    harness = make_customer_harness(weight=0.5)
    harness.pass_time(1)
    for job in range(1, 12):
        harness.submit(job, customer=BUYER, accepted_at=harness.now)
    harness.submit(50, StepSpec(1, TASK_RESOURCES, 50_000))
    explanation = explain(harness, StepSpec(1, TASK_RESOURCES, 5_000), customer=BUYER)
    customer = explanation.customer
    assert customer is not None
    assert customer.is_over_share
    assert customer.within_share_in_ms == 2_001  # the time of a token, rounded up
    assert explanation.steps_ahead == 12
    assert explain(harness, StepSpec(1, TASK_RESOURCES, 500)).customer is None
    lines = format_explanation(msgspec.json.decode(msgspec.json.encode(explanation)))
    assert "over its share for" in lines


def test_a_job_that_its_customers_share_refuses_is_explained_with_that_reason():
    harness = make_customer_harness(weight=0.5)
    harness.pass_time(1)
    for job in range(1, 14):
        step = StepSpec(1 if job <= 10 else 400, TASK_RESOURCES, 1_000)
        harness.submit(job, step, customer=BUYER, accepted_at=harness.now)
    step = StepSpec(1, TASK_RESOURCES, 500)
    explanation = explain(harness, step, customer=BUYER)
    record = make_record(99, step, customer=BUYER)
    policy = harness.queues[QUEUE]
    load = measure_loads(harness.state, harness.now).get(policy)
    assert decide_admission(record, policy, load) is None
    shares = measure_shares(harness.state, harness.now)
    assert explanation.retry_after_ms == decide_share_admission(record, policy, load, shares)
    assert not explanation.is_accepted
    assert "over its share" in explanation.reason
    assert explanation.wait_ms == find_wait_ms(shares.waits_ms, policy.priority)


def test_asking_for_an_unknown_customer_does_not_add_it():
    harness = make_customer_harness(quota_millicores=500)
    before = copy.deepcopy(harness.state)
    explanation = explain(harness, StepSpec(2, TASK_RESOURCES, 500), customer=CustomerId("new"))
    assert explanation.customer is not None
    assert not explanation.customer.is_known
    assert explanation.steps[0].allowed == 1
    assert repr(harness.state) == repr(before)
    lines = format_explanation(msgspec.json.decode(msgspec.json.encode(explanation)))
    assert "not in any configuration" in lines


def test_a_waiting_step_of_equal_rank_goes_first():
    harness = make_customer_harness()
    step = StepSpec(2, LARGE, 500, gang=True)
    harness.submit(1, step)
    assert explain(harness, step).steps_ahead == 1


def test_a_wide_job_is_explained_by_its_first_steps_only():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"))
    explanation = explain(harness, *[StepSpec(1, TASK_RESOURCES, 500)] * MAX_STEPS)
    assert [each.step for each in explanation.steps] == list(range(4))


class StubTerm:
    """Explains with a pool's state, as the leader's term does."""

    def __init__(self) -> None:
        self.harness = PoolHarness()
        self.harness.add_workers(make_worker("w1"))

    def explain(self, record: JobRecord, now: Any) -> JobExplanation:
        if record.queue != QUEUE:
            raise UnknownName(f"no queue {record.queue!r}")
        # The harness has a clock of its own; reports are too old by the machine's.
        return explain_job(self.harness.state, record, self.harness.queues[QUEUE], self.harness.now)


def ask(explainer: Explainer, body: object) -> HttpResponse:
    request = HttpRequest("POST", "/explain", (), json.dumps(body).encode())
    return asyncio.run(explainer.handle_http(request))


class RefusingBus(InMemoryBus):
    """Reports the errors of other hosts by their code alone, as the bus between processes does."""

    async def ask(self, host, topic, message, answer, timeout):
        try:
            return await super().ask(host, topic, message, answer, timeout)
        except LentilpathError as error:
            failure = LentilpathError(str(error))
            failure.code = error.code
            raise failure from error


def make_explainers() -> tuple[Explainer, Explainer]:
    """Return the explainers of a host that leads and of one that does not."""
    hosts: dict[str, InMemoryBus] = {}
    term = StubTerm()
    return (
        Explainer(cast(Any, InMemoryBus("h1", hosts)), lambda: cast(Any, term), lambda: None),
        Explainer(cast(Any, RefusingBus("h2", hosts)), lambda: None, lambda: HostId("h1")),
    )


QUESTION = {"queue": QUEUE, "steps": [{"count": 2, "room": {"millicores": 1000}}]}


def test_a_host_that_does_not_lead_answers_with_the_leaders_explanation():
    _, follower = make_explainers()
    response = ask(follower, QUESTION)
    assert response.status == 200
    assert json.loads(response.body)["steps"][0]["workers"] == ["w1"]


@pytest.mark.parametrize("host", [0, 1])
def test_questions_in_quick_succession_are_refused_by_each_host(host: int):
    explainer = make_explainers()[host]
    assert [ask(explainer, QUESTION).status for _ in range(2)] == [200, 429]


@pytest.mark.parametrize("host", [0, 1])
def test_an_unknown_queue_gets_the_same_answer_from_each_host(host: int):
    assert ask(make_explainers()[host], QUESTION | {"queue": "unknown"}).status == 400


def test_without_a_leader_the_question_is_to_be_repeated():
    bus = SimpleNamespace(host=HostId("h1"), handle=lambda topic, handler: None)
    assert ask(Explainer(cast(Any, bus), lambda: None, lambda: None), QUESTION).status == 503


@pytest.mark.parametrize(
    "body",
    [
        [],
        {"queue": QUEUE},
        {"queue": QUEUE, "steps": []},
        {"queue": QUEUE, "steps": [{"count": 0}]},
        {"queue": QUEUE, "steps": [{"count": 10**9}]},
        {"queue": QUEUE, "steps": [{"count": 1, "after": [0]}]},
        {"queue": QUEUE, "steps": [{"count": 1}] * (MAX_STEPS + 1)},
        {"queue": QUEUE, "steps": [{"count": MAX_TASKS}, {"count": 1}]},
        {"queue": QUEUE, "steps": [{"count": 1, "room": {"millicores": -1}}]},
        {"queue": QUEUE, "steps": [{"count": 1, "estimate_ms": -1}]},
        {"queue": QUEUE, "steps": [{"count": 1, "estimate_ms": 10**400}]},
    ],
)
def test_a_question_that_cannot_be_read_gets_the_reason(body):
    leader, _ = make_explainers()
    response = ask(leader, body)
    assert response.status == 400
    assert json.loads(response.body)["message"]


def test_the_example_of_a_question_can_be_read():
    leader, _ = make_explainers()
    example = Path(__file__).parents[2] / "examples" / "explain-job.json"
    response = ask(leader, json5.loads(example.read_text()))
    assert [each["tasks"] for each in json.loads(response.body)["steps"]] == [4]
