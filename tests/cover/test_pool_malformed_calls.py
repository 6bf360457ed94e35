"""A malformed call gets a definite error, stores nothing and is logged.

Guards against submissions that end the leader's process (counts of 10^9, negative amounts, integers
of over 64 bits) and against calls that are answered 500, which says nothing about their effect.
"""

from __future__ import annotations

import json
import logging
import tracemalloc
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilpath_core.pool import MAX_INTEGER, StepSpec
from lentilpath_core.pool._validity import MAX_JOB_STEPS
from lentilpath_http import HttpLimits
from lentilpath_platform import callers
from lentilpathd._pool._records import decode_job
from tests.cover.test_pool_answers import JOB, ScriptedTable, call, make_jobs

HUGE = 10**30
MAX_PARSED_BYTES = 33_554_432
"""A sixth of the smallest entry host's memory, 200 MB."""
STEP_FIELDS = ("count", "cpu", "memMb", "gpu", "estRuntimeMs", "antiAffinity", "targetMs")
JOB_FIELDS = ("repeatCount", "startAtMs", "intervalMs")
JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-HUGE, HUGE) | st.floats() | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=12,
)
NAMES = st.sampled_from([*STEP_FIELDS, "after", "affinity", "mayMiss", "checkpointing"])
NUMBERS = st.integers(-HUGE, HUGE)
STEPS = st.lists(
    st.dictionaries(st.sampled_from(STEP_FIELDS), NUMBERS, max_size=2)
    | st.dictionaries(NAMES, JSON, max_size=3),
    min_size=1,
    max_size=4,
)
BODIES = st.binary(max_size=200) | JSON.map(lambda each: json.dumps(each).encode())
JOBS = st.builds(
    lambda steps, rest: json.dumps(rest | {"steps": steps}).encode(),
    STEPS,
    st.dictionaries(st.sampled_from([*JOB_FIELDS, "spec"]), NUMBERS | JSON, max_size=2),
)


def submit(body: bytes, deadline: str = "400") -> tuple[int, ScriptedTable]:
    table = ScriptedTable()
    return call("POST", make_jobs(table, state=None), body, deadline).status, table


def is_within_bounds(step: StepSpec) -> bool:
    room = step.room
    amounts = (room.millicores, room.memory_mib, room.accelerators, step.estimate_ms)
    return step.count >= 1 and all(0 <= each <= MAX_INTEGER for each in amounts)


@settings(max_examples=300)
@given(BODIES | JOBS)
def test_any_body_is_stored_in_a_form_that_leaders_can_work_with_or_refused(body: bytes):
    status, table = submit(body)
    assert status in (200, 400)
    assert len(table.rows) == (1 if status == 200 else 0)
    for row in table.rows.values():
        assert all(is_within_bounds(step) for step in decode_job(row.value).steps)


@pytest.mark.parametrize("value", [-1, 10**9, HUGE])
def test_a_job_that_no_leader_could_hold_in_memory_is_refused(value: int):
    many: list[dict[str, int]] = [{}] * 20_000
    for body in ({"steps": [{"count": value}]}, {"steps": [{}], "repeatCount": value}):
        assert submit(json.dumps(body).encode())[0] == 400
    assert submit(json.dumps({"steps": many}).encode())[0] == 400


def test_many_steps_in_a_body_of_legal_size_take_little_memory():
    body = b'{"steps":[' + b"{}," * 340_000 + b"{}]}"
    assert len(body) < HttpLimits().max_body_bytes
    tracemalloc.start()
    try:
        assert submit(body)[0] == 400
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < MAX_PARSED_BYTES


@pytest.mark.parametrize("field", [*STEP_FIELDS, *JOB_FIELDS])
@pytest.mark.parametrize("value", [-2, HUGE])
def test_a_number_that_no_record_can_hold_is_refused_by_name(field: str, value: int):
    step = {field: value} if field in STEP_FIELDS else {}
    rest: dict[str, Any] = {field: value} if field in JOB_FIELDS else {}
    assert submit(json.dumps(rest | {"steps": [step]}).encode())[0] == 400


def test_a_spec_longer_than_any_row_is_refused_without_a_call_to_the_table():
    status, table = submit(b'{"steps": [{}], "spec": "%s"}' % (b"x" * 65_537))
    assert (status, table.writes) == (400, 0)


def test_no_records_are_made_of_the_steps_of_a_job_that_has_too_many(monkeypatch):
    made: list[object] = []
    monkeypatch.setattr(callers, "_make_step", made.append)
    status, table = submit(b'{"steps": [' + b"{}," * MAX_JOB_STEPS + b"{}]}")
    assert status == 400
    assert (made, table.rows) == ([], {})


def test_deep_nesting_invalid_text_and_long_bodies_are_refused_with_a_bounded_line(caplog):
    deep = b"[" * 100_000
    for body in (deep, b'{"steps":[{}],"x":' + deep, b'{"spec":"\xff"}', b'{"steps":[{"count":'):
        assert submit(body)[0] == 400
    with caplog.at_level(logging.INFO):
        assert submit(json.dumps({"steps": [{"count": "9" * 1_000_000}]}).encode())[0] == 400
    lines = [record.getMessage() for record in caplog.records]
    assert any(line.startswith("LP541") for line in lines)
    assert all(len(line) < 2_000 for line in lines)


@pytest.mark.parametrize("deadline", ["nan", "inf", "-inf", "1e400", "1e300", "-5", "x", "9" * 99])
def test_an_unusable_deadline_does_not_fail_the_call(deadline: str):
    assert submit(b'{"steps":[{}]}', deadline)[0] == 200


@pytest.mark.parametrize(("method", "status"), [("POST", 504), ("DELETE", 504), ("GET", 503)])
def test_after_an_unexpected_error_the_answer_does_not_claim_that_nothing_was_done(
    method: str, status: int, caplog
):
    jobs = make_jobs(ScriptedTable())
    for name in ("submit", "cancel", "get_state"):
        setattr(jobs, name, None)
    with caplog.at_level(logging.INFO):
        assert call(method, jobs, b'{"steps":[{}]}').status == status
    assert any("LP570" in record.getMessage() for record in caplog.records)
    assert not any(
        JOB in record.getMessage() and "stored" in record.getMessage() for record in caplog.records
    )
