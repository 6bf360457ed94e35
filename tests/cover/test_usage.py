# mypy: no-check-untyped-defs
from itertools import pairwise

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from lentilpath_core.ids import CustomerId, JobId, TeamId
from lentilpath_core.resources import Resources
from lentilpath_core.states import AttemptOutcome
from lentilpath_core.usage import (
    PERIOD_MS,
    UNITS_PER_MICRO,
    Ledger,
    LineKind,
    PriceRule,
    apply_event,
    create_ledger,
    format_charge,
    list_open_lines,
    prune_ledger,
    seal_period,
)
from lentilpath_core.workloads import JobSpec, WorkloadKind
from lentilpath_core.zone.journal import AttemptEnded, AttemptStarting, JobAccepted

START = 1_796_083_200_000
RULE = PriceRule("standard", 7_001, 13, 1_000_003)
SPEC = JobSpec(
    JobId("j"),
    TeamId("packing"),
    CustomerId("spoon"),
    WorkloadKind.BATCH,
    4,
    Resources(1_500, 700, 1),
)


def find_price_rule(customer):
    return RULE


def make_ledger():
    ledger = create_ledger("za", START)
    apply_event(JobAccepted(SPEC, START, "za-0"), ledger)
    return ledger


def make_start(attempt, at, task="j/0", worker="w-1"):
    return AttemptStarting(task, attempt, worker, START + at, f"decision {attempt}")


def make_end(attempt, start, end, outcome=AttemptOutcome.SUCCEEDED, task="j/0", worker="w-1"):
    return AttemptEnded(task, attempt, worker, outcome, START + start, START + end)


def make_loss(attempt, at=0, task="j/0", worker="w-1"):
    return AttemptEnded(task, attempt, worker, AttemptOutcome.LOST, 0, START + at)


def seal_batches(ledger, *batches):
    lines = []
    for events in batches:
        for event in events:
            apply_event(event, ledger)
        lines.extend(seal_period(ledger, find_price_rule))
    return lines


def sum_held_ms_and_charges(lines):
    return (sum(line.held_ms for line in lines), sum(line.charge_units for line in lines))


def test_a_line_names_task_worker_interval_resources_decision_and_price():
    (line,) = seal_batches(make_ledger(), [make_start(1, 5), make_end(1, 10, 2_010)])
    assert line.line == "za:2026-12-01T0000:j/0:1@w-1"
    assert (line.kind, line.held_ms) == (LineKind.HELD, 2_000)
    assert (line.decision, line.price.name) == ("decision 1", "standard")
    assert line.get_resource_time().millicore_ms == 1_500 * 2_000


def test_charges_are_exact():
    hour = 3_600_000
    ledger = make_ledger()
    lines = seal_batches(ledger, *[[]] * 5, [make_start(1, 0), make_end(1, 0, hour)])
    micros = 7_001 * 3 / 2 + 13 * 700 / 1_024 + 1_000_003
    assert sum_held_ms_and_charges(lines)[1] == micros * UNITS_PER_MICRO
    assert format_charge(sum_held_ms_and_charges(lines)[1]).startswith("1010513+")


def test_a_long_interval_is_billed_by_periods_and_then_corrected_by_the_report():
    ledger = make_ledger()
    first = seal_batches(ledger, [make_start(1, 100)], [])
    assert [line.held_ms for line in first] == [PERIOD_MS - 100, PERIOD_MS]
    assert "provisional" in first[0].basis.value
    later = seal_batches(ledger, [make_end(1, 400, PERIOD_MS + 7)])
    assert [(line.kind, line.held_ms) for line in later] == [
        (LineKind.CORRECTION, PERIOD_MS + 7 - 400 - (2 * PERIOD_MS - 100))
    ]
    assert "was" in later[0].cause
    assert sum_held_ms_and_charges([*first, *later])[0] == PERIOD_MS + 7 - 400


def test_a_gap_is_shown_with_its_cause():
    lines = seal_batches(
        make_ledger(),
        [
            make_start(1, 0),
            make_end(1, 10, 50, AttemptOutcome.LEASE_EXPIRED),
            make_start(2, 80),
            make_end(2, 90, 150),
        ],
    )
    (gap,) = (line for line in lines if line.kind is LineKind.GAP)
    assert (gap.started_at - START, gap.ended_at - START) == (50, 90)
    assert gap.charge_units == 0
    assert "lease_expired" in gap.cause
    assert "decision 2" in gap.cause


def test_intervals_of_one_task_never_overlap():
    lines = seal_batches(
        make_ledger(),
        [
            make_start(1, 0),
            make_end(1, 10, 100, AttemptOutcome.FAILED),
            make_start(2, 60),
            make_end(2, 70, 200),
        ],
    )
    assert sum_held_ms_and_charges(lines)[0] == 190
    assert "30 ms" in lines[1].cause


def test_an_attempt_that_no_worker_reported_costs_nothing_until_it_is_reported():
    ledger = make_ledger()
    first = seal_batches(ledger, [make_start(1, 0), make_loss(1, 500)])
    assert [(line.kind, line.held_ms) for line in first] == [(LineKind.UNREPORTED, 0)]
    later = seal_batches(ledger, [make_end(1, 10, 60)])
    assert [(line.kind, line.held_ms) for line in later] == [(LineKind.CORRECTION, 50)]


def test_a_lost_attempt_that_was_billed_is_refunded():
    ledger = make_ledger()
    first = seal_batches(ledger, [make_start(1, 0)])
    later = seal_batches(ledger, [make_loss(1, PERIOD_MS + 5)])
    assert sum_held_ms_and_charges([*first, *later]) == (0, 0)


def test_a_duplicate_report_after_the_task_was_forgotten_changes_nothing():
    ledger = make_ledger()
    seal_batches(ledger, [make_start(1, 0), make_end(1, 10, 60)], *[[]] * 10)
    prune_ledger(ledger, lambda job: True)
    prune_ledger(ledger, lambda job: False)
    assert not ledger.tasks
    assert seal_batches(ledger, [make_end(1, 10, 60)]) == []


def test_open_lines_are_the_ones_that_will_be_sealed():
    ledger = make_ledger()
    for event in (make_start(1, 0), make_end(1, 10, PERIOD_MS + 60)):
        apply_event(event, ledger)
    open_lines = list_open_lines(ledger, find_price_rule, START + 2 * PERIOD_MS)
    assert sorted(open_lines, key=lambda line: line.line) == seal_batches(ledger, [], [])


def test_a_new_price_holds_from_its_period_on_and_corrections_use_the_old_one():
    ledger = make_ledger()
    apply_event(make_start(1, 0), ledger)
    dear = PriceRule("dear", 70_010)
    first = seal_period(ledger, find_price_rule)
    second = seal_period(ledger, lambda customer: dear)
    apply_event(make_end(1, 60_000, 2 * PERIOD_MS - 60_000), ledger)
    third = seal_period(ledger, lambda customer: dear)
    assert [line.price.name for line in (*first, *second)] == ["standard", "dear"]
    assert [(line.price.name, line.held_ms) for line in third] == [
        ("standard", -60_000),
        ("dear", -60_000),
    ]


def test_an_open_attempt_that_an_earlier_one_displaces_is_refunded_once():
    ledger = make_ledger()
    lines = seal_batches(
        ledger, [make_start(2, 0)], [make_start(1, 0)], [], [make_end(1, 0, 0), make_end(2, 0, 100)]
    )
    assert sum_held_ms_and_charges(lines)[0] == 100


OUTCOMES = st.sampled_from(
    [AttemptOutcome.SUCCEEDED, AttemptOutcome.FAILED, AttemptOutcome.LEASE_EXPIRED]
)


@st.composite
def draw_task_events(draw):
    """Events of up to three tasks: starts, ends, lost attempts, late reports; runs may overlap."""
    events = []
    for task in range(draw(st.integers(1, 3))):
        at = 0
        for attempt in range(1, draw(st.integers(1, 4)) + 1):
            name, worker = f"j/{task}", f"w-{draw(st.integers(1, 2))}"
            start = max(0, at + draw(st.integers(-PERIOD_MS // 2, PERIOD_MS)))
            at = start + draw(st.integers(0, 2 * PERIOD_MS))
            events.append(make_start(attempt, start, name, worker))
            if draw(st.booleans()):
                events.append(make_loss(attempt, at, name, worker))
                if draw(st.booleans()):
                    continue
            events.append(make_end(attempt, start, at, draw(OUTCOMES), name, worker))
    return events


@given(draw_task_events(), st.data())
def test_the_sum_does_not_depend_on_order_repetition_or_delay_of_reports(events, data):
    periods = 20
    plain = make_ledger()
    expected = sum_held_ms_and_charges(seal_batches(plain, events, *[[]] * periods))
    order = data.draw(st.permutations(events))
    repeated = data.draw(st.lists(st.sampled_from(events), max_size=4))
    batches = [[] for _ in range(6)]
    for event in [*order, *repeated]:
        batches[data.draw(st.integers(0, 5))].append(event)
    ledger = make_ledger()
    lines = []
    for events_of_period in [*batches, *[[]] * (periods - 5)]:
        lines.extend(seal_batches(ledger, events_of_period))
        # Simulates a change of leader: the new leader continues from the stored ledger.
        ledger = msgspec.json.decode(msgspec.json.encode(ledger), type=Ledger)
    assert sum_held_ms_and_charges(lines) == expected
    assert len({line.line for line in lines}) == len(lines)


@given(draw_task_events())
def test_no_interval_of_a_task_is_billed_twice(events):
    lines = seal_batches(make_ledger(), events, *[[]] * 20)
    for task in {line.task for line in lines}:
        held = [line for line in lines if line.task == task and line.kind is LineKind.HELD]
        ordered = sorted((line.started_at, line.ended_at) for line in held if line.held_ms)
        assert all(a[1] <= b[0] for a, b in pairwise(ordered))
