# mypy: no-check-untyped-defs
import copy

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilpath_core.configuration import (
    ConfigChange,
    InvalidConfiguration,
    PatchMismatch,
    apply_change,
    apply_patch,
    digest_document,
    drop_nulls,
    find_price_rule,
    get_zone_quota,
    list_differences,
    make_patch,
    make_request_policy,
    parse_document_text,
    read_configuration,
)
from lentilpath_core.requests.policy import RequestPolicy
from lentilpath_core.resources import Resources

TEXT = """
// The packing floors come first.
{
  teams: {packing: {quota: {millicores: 64000}, zones: {za: {millicores: 1000}}}},
  customers: {spoon: {price_rule: "standard", in_flight: 7}},
  services: {boxplanner: {requests: {queue_wait_ms: 500}}},
  price_rules: {standard: {per_core_hour_micros: 40000}},
  objectives: {
    swaps: {kind: "request_time", subject: "boxplanner", target_per_million: 999000,
            threshold_ms: 300},
  },
}
"""


def test_reads_json_with_comments():
    configuration = read_configuration(parse_document_text(TEXT))
    assert get_zone_quota(configuration, "packing", "zb") == Resources(64_000)
    assert get_zone_quota(configuration, "packing", "za") == Resources(1_000)
    assert get_zone_quota(configuration, "other", "za") == Resources()
    policy = make_request_policy(configuration, "boxplanner", "spoon")
    assert (policy.queue_wait_ms, policy.customer_in_flight) == (500, 7)
    assert make_request_policy(configuration, "other", None) == RequestPolicy()
    assert find_price_rule(configuration, "spoon").per_core_hour_micros == 40_000
    assert find_price_rule(configuration, "nobody").name == "free"


def test_lists_every_schema_error_at_once():
    with pytest.raises(InvalidConfiguration) as caught:
        read_configuration(
            {
                "teems": {},
                "teams": {"t": {"quota": {"millicores": "many"}}},
                "customers": [],
                "objectives": {"o": {"kind": "speed", "subject": "s"}},
                "keys": {"mira": {"role": "king"}},
            }
        )
    problems = "\n".join(caught.value.problems)
    for expected in (
        "teems: unknown key; did you mean teams?",
        "teams.t.quota.millicores",
        "customers: give an object",
        "objectives.o.kind",
        "objectives.o: target_per_million is missing",
        "keys.mira.role",
        "keys.mira: sha256 is missing",
    ):
        assert expected in problems


def test_lists_every_unusable_value_at_once():
    with pytest.raises(InvalidConfiguration) as caught:
        read_configuration(
            {
                "teams": {"a b": {"quota": {"millicores": -1}}},
                "customers": {"c": {"price_rule": "gone", "burst": 0}},
                "services": {"s": {"requests": {"min_pool_fraction": 2}}},
                "objectives": {
                    "o": {"kind": "task_wait", "subject": "s", "target_per_million": 1_000_000}
                },
                "keys": {"mira": {"sha256": "abc", "role": "reader"}},
            }
        )
    problems = "\n".join(caught.value.problems)
    for expected in (
        "teams.'a b'",
        "teams.a b.quota.millicores",
        "no rule 'gone'",
        "customers.c.burst",
        "min_pool_fraction",
        "target_per_million",
        "threshold_ms",
        "objectives.o.subject",
        "keys.mira.sha256",
        "none is administrator",
    ):
        assert expected in problems


@pytest.mark.parametrize("text", ["", "{", "{a: 1, a: 2}", "[" * 5_000, "{teams: NaN}"])
def test_refuses_broken_texts_with_a_typed_error(text):
    with pytest.raises(InvalidConfiguration):
        read_configuration(parse_document_text(text))


VALUES = st.recursive(
    st.integers(0, 3) | st.booleans() | st.text(max_size=2),
    lambda inner: st.lists(inner, max_size=2)
    | st.dictionaries(st.sampled_from("abc"), inner, max_size=3),
)
DOCUMENTS = st.dictionaries(st.sampled_from("abc"), VALUES, max_size=3)


@given(DOCUMENTS, DOCUMENTS)
def test_a_patch_leads_from_the_old_document_to_the_new_and_back(old, new):
    before = copy.deepcopy(old)
    patched = apply_patch(old, make_patch(old, new))
    assert digest_document(patched) == digest_document(new)
    assert digest_document(apply_patch(new, make_patch(new, old))) == digest_document(before)
    assert old == before
    assert (list_differences(old, new) == []) == (digest_document(old) == digest_document(new))


def test_a_patch_on_another_document_is_noticed():
    change = ConfigChange(2, digest_document({"a": 1, "b": 2}), "o", 0, "c", "", {"b": 2}, {})
    assert apply_change({"a": 1}, change) == {"a": 1, "b": 2}
    with pytest.raises(PatchMismatch):
        apply_change({"a": 3}, change)


def test_members_that_are_null_are_left_out():
    assert drop_nulls({"a": None, "b": [{"c": None}]}) == {"b": [{}]}
