"""The check of worker logs finds duplicate runs, overcommitted workers and unfinished tasks."""

from lentilpath_core.resources import Resources
from lentilpath_standins.truth import (
    find_duplicate_runs,
    find_overcommitted_workers,
    find_unfinished_tasks,
    list_runs,
)

CAPACITIES = {"w1": Resources(1_000, 1_000, 0), "w2": Resources(1_000, 1_000, 0)}


def make_fact(event, at, task="j/0", attempt=1, outcome=None, boot="b", millicores=600):
    resources = {"millicores": millicores, "memory_mib": 1, "accelerators": 0}
    return {
        "event": event,
        "task": task,
        "attempt": attempt,
        "at": at,
        "resources": resources,
        "outcome": outcome,
        "boot": boot,
    }


def run_once(start, end, outcome="succeeded", attempt=1):
    return [
        make_fact("started", start, attempt=attempt),
        make_fact("ended", end, attempt=attempt, outcome=outcome),
    ]


def test_finds_a_task_that_runs_on_two_workers_at_once():
    facts = {"w1": run_once(0, 10), "w2": run_once(9, 20, attempt=2)}
    assert len(find_duplicate_runs(list_runs(facts, {}), frozenset({"j"}))) == 1


def test_finds_a_second_run_within_a_long_first_one():
    facts = {"w1": run_once(0, 100), "w2": run_once(1, 2, attempt=2) + run_once(50, 60, attempt=3)}
    assert len(find_duplicate_runs(list_runs(facts, {}), frozenset({"j"}))) == 2


def test_finds_a_repeated_run_of_unknown_outcome():
    facts = {"w1": run_once(0, 10, "lease_expired"), "w2": run_once(10, 20, attempt=2)}
    runs = list_runs(facts, {})
    assert len(find_duplicate_runs(runs, frozenset())) == 1
    assert find_duplicate_runs(runs, frozenset({"j"})) == []


def test_allows_a_failed_task_to_run_again():
    facts = {"w1": run_once(0, 10, "failed"), "w2": run_once(10, 20, attempt=2)}
    assert find_duplicate_runs(list_runs(facts, {}), frozenset()) == []


def test_a_run_on_a_killed_worker_ends_when_it_was_killed():
    facts = {"w1": [make_fact("started", 0)], "w2": run_once(7, 20, attempt=2)}
    assert find_duplicate_runs(list_runs(facts, {"w1": [5]}), frozenset({"j"})) == []
    assert len(find_duplicate_runs(list_runs(facts, {"w1": [8]}), frozenset({"j"}))) == 1


def test_finds_an_overcommitted_worker():
    overlapping = [make_fact("started", 0), make_fact("started", 1, "j/1")]
    assert len(find_overcommitted_workers({"w1": overlapping}, CAPACITIES)) == 1


def test_a_restarted_worker_runs_no_tasks_of_its_earlier_incarnation():
    facts = [make_fact("started", 0), make_fact("started", 1, "j/1", boot="c")]
    assert find_overcommitted_workers({"w1": facts}, CAPACITIES) == []


def test_names_tasks_that_never_succeeded():
    runs = list_runs({"w1": run_once(0, 1), "w2": []}, {})
    assert find_unfinished_tasks(runs, ["j/0", "j/1"]) == ["j/1"]
