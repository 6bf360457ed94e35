# mypy: no-check-untyped-defs
import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilpath._burn import format_burn_text, make_burn_page
from lentilpath_core.burn import (
    BUCKET_MS,
    Urgency,
    compute_burn,
    list_task_observations,
    merge_log,
    record_event,
)
from lentilpath_core.configuration import (
    CellConfiguration,
    ObjectiveKind,
    ObjectiveSettings,
    read_configuration,
)
from lentilpath_core.states import AttemptOutcome
from lentilpath_core.workloads import PriorityClass
from lentilpath_core.zone.journal import AttemptEnded, AttemptStarting
from tests.common.operators import create_cell
from tests.cover.test_operators import SUBMIT, run_in_event_loop

NOW = 1_796_108_400_000
HOUR_MS = 3_600_000
OBJECTIVE = ObjectiveSettings(ObjectiveKind.REQUEST_ANSWERED, "boxplanner", 990_000)


def make_log(*events):
    log = {}
    for count, good, hours_ago in events:
        for _ in range(count):
            record_event(log, "o", good, "overloaded", NOW - int(hours_ago * HOUR_MS))
    return log


def compute_report(*events):
    return compute_burn("o", OBJECTIVE, make_log(*events).get("o", {}), NOW)


def test_a_rate_of_one_uses_up_exactly_the_budget():
    report = compute_report((990, True, 0.01), (10, False, 0.01))
    assert {round(rate.rate, 6) for rate in report.rates} == {1.0}
    assert report.budget_left == pytest.approx(0.0)
    assert report.causes == (("overloaded", 10),)


def test_no_event_burns_nothing():
    report = compute_report()
    assert (report.budget_left, report.urgency) == (1.0, Urgency.NONE)


def test_a_page_needs_a_long_and_a_short_window():
    assert compute_report((80, True, 0.01), (20, False, 0.01)).urgency is Urgency.PAGE
    recovered = compute_report((80, True, 0.9), (20, False, 0.9), (20, True, 0.01))
    rates = {rate.window_ms: rate.rate for rate in recovered.rates}
    assert rates[HOUR_MS] > 14.4
    assert recovered.urgency is Urgency.TICKET
    slow = compute_report((960, True, 48), (40, False, 48), (98, True, 1), (2, False, 1))
    assert slow.urgency is Urgency.TICKET


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 3 * BUCKET_MS), st.sampled_from("ab"))))
def test_counts_of_many_hosts_add_up(events):
    whole, first, second = {}, {}, {}
    for number, (good, at, cause) in enumerate(events):
        record_event(whole, "o", good, cause, NOW + at)
        record_event(first if number % 2 else second, "o", good, cause, NOW + at)
    merge_log(first, second)
    assert first == whole


def test_task_events_are_judged_by_the_objectives_of_their_priority():
    configuration = CellConfiguration(
        objectives={
            "wait": ObjectiveSettings(ObjectiveKind.TASK_WAIT, "urgent", 990_000, 2_300),
            "ends": ObjectiveSettings(ObjectiveKind.TASK_SUCCESS, "urgent", 990_000),
            "other": ObjectiveSettings(ObjectiveKind.TASK_WAIT, "normal", 990_000, 2_300),
        }
    )
    job = msgspec.convert({"accepted_at": NOW}, JobStub)
    starting = AttemptStarting("j/0", 1, "w", NOW + 2_301, "first fit")
    (late,) = list_task_observations(starting, lambda name: job, configuration)
    assert (late.objective, late.good, late.cause) == ("wait", False, "late starts of team packing")
    again = AttemptStarting("j/0", 2, "w", NOW + 9_000, "again")
    assert list_task_observations(again, lambda name: job, configuration) == ()
    failed = AttemptEnded("j/0", 1, "w", AttemptOutcome.FAILED, NOW, NOW + 5)
    (seen,) = list_task_observations(failed, lambda name: job, configuration)
    assert (seen.objective, seen.good, seen.cause) == ("ends", False, "failed on w")
    stopped = AttemptEnded("j/0", 1, "w", AttemptOutcome.STOPPED, NOW, NOW + 5)
    assert list_task_observations(stopped, lambda name: job, configuration) == ()


class PolicyStub(msgspec.Struct):
    priority: PriorityClass = PriorityClass.URGENT


class SpecStub(msgspec.Struct):
    team: str = "packing"
    policy: PolicyStub = msgspec.field(default_factory=PolicyStub)


class JobStub(msgspec.Struct):
    accepted_at: int
    spec: SpecStub = msgspec.field(default_factory=SpecStub)


DOCUMENT = {
    "services": {"boxplanner": {}},
    "objectives": {
        "answers": {
            "kind": "request_time",
            "subject": "boxplanner",
            "target_per_million": 900_000,
            "threshold_ms": 300,
        },
        "starts": {
            "kind": "task_wait",
            "subject": "normal",
            "target_per_million": 900_000,
            "threshold_ms": 1,
        },
    },
}


@run_in_event_loop
async def test_the_report_joins_the_counts_of_all_hosts():
    read_configuration(DOCUMENT)
    cell = await create_cell()
    first, second = cell.hosts.values()
    await first.post("/v1/config/apply", {"text": json.dumps(DOCUMENT)})
    first.operators.burn.record_request("boxplanner", True, 100, "")
    first.operators.burn.record_request("boxplanner", True, 301, "")
    second.operators.burn.record_request("boxplanner", False, 5, "overloaded <b>")
    await first.run(SUBMIT)
    await first.operators.accountant.step(NOW)
    await second.operators.burn.flush()
    status, report = await first.post("/v1/report/burn?hours=2", b"", method="GET")
    assert status == 200
    answers = next(o for o in report["objectives"] if o["objective"] == "answers")
    assert (answers["good"], answers["bad"]) == (1, 2)
    assert answers["urgency"] == "page"
    text = format_burn_text(report)
    assert "1 x overloaded <b>; 1 x took over 300 ms" in text
    page = make_burn_page(report)
    assert "<svg" in page
    assert "overloaded &lt;b&gt;" in page
    assert "src=" not in page
    status, answer = await first.post("/v1/report/burn?hours=x", b"", method="GET")
    assert (status, answer["error"]) == (400, "invalid-input")


def test_a_cell_without_objectives_says_how_to_add_some():
    assert "configuration" in format_burn_text({"hours": 1, "objectives": []})
    assert "No objectives" in make_burn_page({"hours": 1, "objectives": []})
