# mypy: no-check-untyped-defs
import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilpath_core.errors import InvalidCommand
from lentilpath_core.language import (
    HELP_TOPICS,
    Comparison,
    Condition,
    Drain,
    ListRows,
    ShowUsage,
    Submit,
    UnreadableCommand,
    filter_table,
    format_time,
    list_next_keywords,
    parse_command,
)
from lentilpath_core.language import Table as Rows
from lentilpath_core.workloads import PriorityClass, WorkloadKind

NOW = 1_796_108_400_000
"""2026-12-01T07:00:00Z"""
WORDS = (
    *["submit", "batch", "job", "since", "05:00", "=", ",", "~", "where", "x", "1e9h", "team"],
    '"',
)


def test_reads_every_example_of_the_help():
    for topic in HELP_TOPICS.values():
        parse_command(topic.example, NOW)


def test_reads_a_submission_with_units():
    command = parse_command(
        "submit gang g tasks=8 cpu=500m memory=2GiB accelerators=1 run=2s team=t customer=c "
        'priority=urgent zones=za,zb idempotent=yes deadline=1h param.path="a b"',
        NOW,
    )
    assert isinstance(command, Submit)
    spec = command.spec
    assert spec.kind is WorkloadKind.GANG
    assert (spec.resources.millicores, spec.resources.memory_mib) == (500, 2_048)
    assert (spec.run_ms, spec.policy.deadline_ms) == (2_000, 3_600_000)
    assert spec.policy.zones == ("za", "zb")
    assert spec.policy.priority is PriorityClass.URGENT
    assert spec.policy.idempotent
    assert spec.parameters == (("path", "a b"),)


def test_reads_times_of_the_past_and_of_the_future():
    history = parse_command("history job j since 05:00", NOW)
    assert format_time(history.since) == "2026-12-01T05:00:00.000Z"
    assert parse_command("history job j since 08:00", NOW).since == NOW - 23 * 3_600_000
    drain = parse_command("drain worker w by 06:00", NOW)
    assert isinstance(drain, Drain)
    assert format_time(drain.by) == "2026-12-02T06:00:00.000Z"
    usage = parse_command("usage customer c on 2026-11-30", NOW)
    assert isinstance(usage, ShowUsage)
    assert format_time(usage.day_start) == "2026-11-30T00:00:00.000Z"


def test_takes_keywords_as_names():
    assert parse_command("stop job job", NOW).job == "job"
    assert parse_command("tasks where team = team and zone = limit", NOW) == ListRows(
        "tasks",
        (
            Condition("team", Comparison.EQUAL, ("team",)),
            Condition("zone", Comparison.EQUAL, ("limit",)),
        ),
    )


@pytest.mark.parametrize(
    ("text", "column", "suggestions"),
    [
        ("stpo job x", 1, ("stop",)),
        ("stop jbo x", 6, ("job",)),
        ("tasks where taem = x", 13, ("team",)),
        ("submit batch j tsaks=4 team=t customer=c", 16, ("tasks",)),
        ("submit batch j tasks=many team=t customer=c", 16, ()),
        ("submit batch j tasks=1 tasks=2 team=t customer=c", 24, ()),
        ("drain worker", 14, ()),
        ("usage customer c on 2026-13-01", 21, ()),
        ("why task j", 10, ()),
        ("jobs limit 3 4", 14, ()),
        ("set quota team t cup=4", 18, ("cpu",)),
        ("", 1, ("help",)),
    ],
)
def test_points_at_the_column_of_an_error_and_suggests(text, column, suggestions):
    with pytest.raises(UnreadableCommand) as caught:
        parse_command(text, NOW)
    assert caught.value.column == column
    assert set(suggestions) <= set(caught.value.suggestions)


def test_offers_the_words_that_may_follow():
    assert list_next_keywords("stop ") == ("job",)
    assert list_next_keywords("tasks where a = b ") == ("and", "limit", "since")
    assert list_next_keywords("nonsense") == ()


@given(st.text(max_size=60))
def test_any_text_is_a_command_or_a_typed_error(text):
    with contextlib.suppress(InvalidCommand):
        parse_command(text, NOW)


@given(st.lists(st.sampled_from(WORDS)))
def test_any_order_of_words_is_a_command_or_a_typed_error(words):
    with contextlib.suppress(InvalidCommand):
        parse_command(" ".join(words), NOW)


def test_compares_numbers_as_numbers():
    rows = Rows(("n", "name"), ((9, "a"), (10, "b"), (None, "c")))
    above = (Condition("n", Comparison.GREATER, ("9",)),)
    assert filter_table(rows, above, None).rows == ((10, "b"),)
    neither = (Condition("name", Comparison.UNEQUAL, ("a", "b")),)
    assert filter_table(rows, neither, None).rows == ((None, "c"),)
