"""An unusable answer of the platform is a failure of that call, and never of the leader.

Guards against answers of workers, of the advice service and of the table, and against entries of
the registry, that raise errors which nobody expects: each ended the leader's term.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import logging
from collections.abc import Callable
from typing import Any, cast

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilpath_core.errors import InvalidSettings, LentilpathError, OutcomeUnknown
from lentilpath_core.ids import HostId, Instant, RowVersion
from lentilpath_core.pool import MAX_INTEGER, RecordRun, StepKey, WorkerReported
from lentilpath_http import (
    HttpRequest,
    HttpResponse,
    RequestNotSent,
    TransferBounds,
    create_client,
)
from lentilpath_platform.advice import PlatformAdvice
from lentilpath_platform.registry import PlatformRegistry
from lentilpath_platform.store import PlatformTable
from lentilpath_platform.workers import PlatformWorker
from lentilpathd._pool import _leadership, _lease_watch
from lentilpathd._pool._ports import (
    AnswerProgress,
    OtherLife,
    PartitionRow,
    PartitionRows,
    RefusedByFence,
)
from lentilpathd._pool._records import EPOCH_KEY, LEASE_KEY, EpochRow, LeaseRow, encode_record
from lentilpathd._pool._succession import (
    LEADER_TIMEOUT_MS,
    decode_snapshot,
    find_takeover_wait,
    may_take_over,
)
from lentilpathd._pool._worker_rows import WorkerShares
from tests.common.fleet.deployment import CONFIG
from tests.common.pools import PoolHarness, make_job_id, make_worker
from tests.common.tables import ADDRESS, OnePartitionTable, make_leadership
from tests.cover.test_pool_registry import ENTRY

HUGE = 10**30
DEEP = b"[" * 100_000
SCALARS = st.none() | st.booleans() | st.integers(-HUGE, HUGE) | st.floats() | st.text(max_size=9)
JSON = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=5) | st.dictionaries(st.text(max_size=6), inner),
    max_leaves=10,
)
TASKS = st.sampled_from(
    [f"{make_job_id(1)}.0.0.0", f"{make_job_id(1)}.0.0.-1", f"{make_job_id(1)}.0.0.9", "x", "a.b"]
)
RUNNING = st.tuples(TASKS | SCALARS, SCALARS | st.just(1), st.just("") | SCALARS, SCALARS)
FINISHED = st.tuples(
    st.integers(0, 5) | SCALARS, TASKS | SCALARS, st.just(1) | JSON, st.just("done"), SCALARS
)
REPORTS = st.fixed_dictionaries(
    {"clockMs": st.integers(0, 9_999) | SCALARS, "born": st.just(1)},
    optional={
        "running": st.lists(RUNNING | JSON, max_size=3) | JSON,
        "finished": st.lists(FINISHED | JSON, max_size=3) | JSON,
    },
)


def encode(value: object) -> bytes:
    return json.dumps(value).encode()


class ScriptedClient:
    """Answers every request with the same bytes."""

    def __init__(self, body: bytes, status: int = 200) -> None:
        self._response = HttpResponse(status, (), body)

    async def send(
        self,
        request: HttpRequest,
        timeout: float,
        transfer: TransferBounds | None = None,
        report_progress: Callable[[], None] = lambda: None,
        is_identifying: bool = False,
    ) -> HttpResponse:
        return self._response


def make_worker_client(body: bytes) -> PlatformWorker:
    return PlatformWorker(make_worker("w1"), cast(Any, 1), cast(Any, ScriptedClient(body)))


@settings(max_examples=500)
@given(REPORTS.map(encode) | JSON.map(encode) | st.binary(max_size=60) | st.just(DEEP))
def test_any_answer_to_a_renewal_is_handled_or_counts_as_none(body: bytes):
    try:
        report = asyncio.run(make_worker_client(body).renew(0, None, 0, 1.0))
    except (OutcomeUnknown, OtherLife, RefusedByFence):
        return
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"))
    harness.submit(1)
    worker = next(iter(harness.state.workers.values()))
    harness.handle_event(
        WorkerReported(worker.worker, worker.life, report, Instant(harness.now - 1))
    )
    step = harness.state.jobs[make_job_id(1)].steps[StepKey(make_job_id(1), 0, 0)]
    assert not step.done
    assert step.recording <= {0}
    assert 0 <= report.clock <= MAX_INTEGER
    for effect in harness.effects:
        if isinstance(effect, RecordRun):
            assert encode_record(effect.record)
    harness.place()


@pytest.mark.parametrize(
    "run", [[5, 1, "", 50], ["a.0.0.0", [1], "", 50], ["a.0.0.0", {}, "", 50], []]
)
def test_a_listed_run_of_wrong_type_counts_as_no_answer(run: list[object]):
    body = encode({"clockMs": 5, "born": 1, "running": [run]})
    with pytest.raises(OutcomeUnknown):
        asyncio.run(make_worker_client(body).renew(0, None, 0, 1.0))


@settings(max_examples=200)
@given(JSON.map(encode) | st.binary(max_size=60) | st.just(DEEP), st.integers(200, 599))
def test_any_answer_of_the_advice_service_and_the_table_is_used_or_a_failure(
    body: bytes, status: int
):
    async def run() -> None:
        client = cast(Any, ScriptedClient(body, status))
        table = PlatformTable(client, AnswerProgress())
        for call in (
            PlatformAdvice(client).ask(StepKey(make_job_id(1), 0, 0), (), 1.0),
            table.read_partition("t", "p", "", "", 1.0),
            table.follow("t", RowVersion(1), 1.0, 1.0),
        ):
            try:
                await call
            except LentilpathError:
                continue

    asyncio.run(run())


@pytest.mark.parametrize("valid_ms", [-1, HUGE, "5", None])
def test_a_permission_of_unusable_validity_is_none(valid_ms: object):
    body = encode({"allowed": [["w1", "t"]], "validMs": valid_ms})
    with pytest.raises(OutcomeUnknown):
        asyncio.run(
            PlatformAdvice(cast(Any, ScriptedClient(body))).ask(
                StepKey(make_job_id(1), 0, 0), (), 1.0
            )
        )


def test_a_row_whose_value_cannot_be_decoded_leaves_the_other_rows_of_the_answer(caplog):
    good = base64.b64encode(b"value").decode()
    rows = [{"table": "t", "key": "a", "value": "x"}, {"table": "t", "key": "b", "value": good}]
    table = PlatformTable(
        cast(Any, ScriptedClient(encode({"rows": rows, "rowVersion": 1}))), AnswerProgress()
    )
    with caplog.at_level(logging.INFO):
        read = asyncio.run(table.read_partition("t", "p", "", "", 1.0))
    assert [(row.key, row.value) for row in read.rows] == [("a", b""), ("b", b"value")]
    assert sum("LP571" in record.getMessage() for record in caplog.records) == 1


def test_a_table_that_repeats_a_page_is_not_read_for_ever():
    page = encode({"rows": [{"table": "t", "key": "a"}], "hasMore": True})
    with pytest.raises(OutcomeUnknown):
        asyncio.run(
            PlatformTable(cast(Any, ScriptedClient(page)), AnswerProgress()).read_partition(
                "t", "p", "", "", 1.0
            )
        )


@pytest.mark.parametrize(
    ("host", "port"), [("127.0.0.1", 99_999), ("127.0.0.1", -1), ("x" * 99, 5), ("a\0b", 5)]
)
def test_an_unusable_address_is_a_request_that_was_not_sent(host: str, port: int):
    client = create_client(host, port)
    with pytest.raises(RequestNotSent):
        asyncio.run(client.send(HttpRequest("GET", "/"), 1.0))


def put(table: OnePartitionTable, key: str, value: bytes) -> None:
    table.version += 1
    table.rows[key] = PartitionRow("", key, value, RowVersion(table.version))


ENTRIES = st.builds(
    lambda changes: encode(ENTRY | changes),
    st.dictionaries(
        st.sampled_from([*ENTRY, "remainingMs"]),
        JSON
        | st.sampled_from(["h:0", "h:99999", ":5", "h:-1", "x" * 9_000])
        | st.fixed_dictionaries({"cpu": st.integers(-HUGE, HUGE)}),
        min_size=1,
        max_size=2,
    ),
)


@settings(max_examples=300)
@given(st.text(max_size=9), ENTRIES | JSON.map(encode) | st.binary(max_size=60) | st.just(DEEP))
def test_any_entry_of_the_registry_is_skipped_or_can_be_stored(key: str, value: bytes):
    table = OnePartitionTable()
    put(table, key, value)
    put(table, "good", encode(ENTRY))
    listed = asyncio.run(PlatformRegistry(table).read_workers(1.0))
    assert "good" in [each.worker for each in listed]
    for row in WorkerShares(cast(Any, 1)).replace_workers(listed, {})[0].values():
        assert len(row) < 65_536


@pytest.mark.parametrize(
    "change",
    [{"born": HUGE}, {"address": "h:99999"}, {"address": ":9"}, {"labels": ["x" * 70_000]}],
)
def test_an_entry_that_nothing_can_work_with_is_skipped(change: dict[str, object]):
    table = OnePartitionTable()
    put(table, "bad", encode(ENTRY | change))
    assert asyncio.run(PlatformRegistry(table).read_workers(1.0)) == ()


@pytest.mark.parametrize("change", [{"version": HUGE}, {"version": -1}])
def test_a_version_that_no_later_one_could_follow_is_invalid(change: dict[str, Any]):
    table = OnePartitionTable()
    put(table, "config", encode(CONFIG | change))
    with pytest.raises(InvalidSettings):
        asyncio.run(PlatformRegistry(table).read_configuration(1.0))


ROUTE = cast(dict[str, Any], cast(Any, CONFIG)["routes"][0])
CONFIGURATIONS = st.builds(
    lambda changes, route: encode(CONFIG | changes | {"routes": [ROUTE | route]}),
    st.dictionaries(st.sampled_from(["version", "services", "tenants"]), JSON, max_size=1),
    st.dictionaries(st.sampled_from([*ROUTE, "advice", "public"]), JSON, max_size=2),
)


@settings(max_examples=300)
@given(CONFIGURATIONS | JSON.map(encode) | st.binary(max_size=60) | st.just(DEEP))
def test_any_configuration_is_usable_or_reported_as_invalid(value: bytes):
    table = OnePartitionTable()
    put(table, "config", value)
    try:
        found, _ = asyncio.run(PlatformRegistry(table).read_configuration(1.0))
    except InvalidSettings:
        return
    assert found is not None
    assert 0 <= found.version <= MAX_INTEGER
    for queue in found.queues.values():
        assert queue.max_attempts >= 0
        assert queue.target_ms >= 0


GOOD_EPOCH = encode_record(EpochRow(cast(Any, 7), HostId("h1"), cast(Any, "h1.1")))
GOOD_LEASE = encode_record(LeaseRow(cast(Any, 7), HostId("h1"), ADDRESS, 1_000))
LATE_LEASE = encode_record(LeaseRow(cast(Any, 7), HostId("h1"), ADDRESS, 10**12))
BAD_VALUES = [
    b"",
    b"x",
    b"\x91" * 100_000,
    encode_record(EpochRow(cast(Any, -1), *cast(Any, "ab"))),
]


def read_rows(epoch: bytes, lease: bytes) -> PartitionRows:
    rows = (
        PartitionRow("cell", EPOCH_KEY, epoch, RowVersion(3)),
        PartitionRow("cell", LEASE_KEY, lease, RowVersion(4)),
    )
    return PartitionRows(rows, RowVersion(4), 50_000)


@pytest.mark.parametrize("bad", BAD_VALUES)
def test_either_row_of_the_leadership_suffices_to_go_on(bad: bytes):
    assert decode_snapshot(read_rows(bad, GOOD_LEASE)).epoch == 7
    for lease in (bad, LATE_LEASE):
        snapshot = decode_snapshot(read_rows(GOOD_EPOCH, lease))
        assert snapshot.epoch == 7
        wait_ms = find_takeover_wait(snapshot.lease)
        free = [
            may_take_over(snapshot, HostId("h2"), ADDRESS, unchanged_ms, watched_ms)
            for unchanged_ms in (0, wait_ms)
            for watched_ms in (0, LEADER_TIMEOUT_MS)
        ]
        assert free == [False, False, False, True]
    with pytest.raises(OutcomeUnknown):
        decode_snapshot(read_rows(bad, bad))


@pytest.mark.parametrize("bad", BAD_VALUES)
def test_a_host_takes_over_although_the_row_of_the_epoch_cannot_be_read(bad: bytes, monkeypatch):
    monkeypatch.setattr(_lease_watch, "POLL_INTERVAL_MS", 1)
    table = OnePartitionTable()
    asyncio.run(make_leadership(table).acquire())
    put(table, EPOCH_KEY, bad)
    now = itertools.count(1_000_000, 100)
    monkeypatch.setattr(_leadership, "read_instant", lambda: Instant(next(now)))
    assert asyncio.run(make_leadership(table, "h2").acquire()) == 2
