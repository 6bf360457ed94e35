# mypy: no-check-untyped-defs
import asyncio
import json
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilpath_core.audit import (
    FIRST_DIGEST,
    BrokenChain,
    CommandRecord,
    find_chain_error,
    seal_lines,
    verify_sealed_object,
)
from lentilpath_core.errors import NoLeader
from lentilpathd._clock import read_wall_time
from lentilpathd._operators import _audit
from tests.common.operators import create_cell

SUBMIT = "submit batch nightly tasks=2 team=packing customer=spoon zones=za"
DAY_MS = 86_400_000


def make_chain(texts):
    objects = []
    previous = FIRST_DIGEST
    for lines in texts:
        sealed = seal_lines(lines, previous)
        objects.append((sealed.data, sealed.digest))
        previous = sealed.digest
    return objects, previous


LINE = st.text(alphabet=st.characters(exclude_characters="\n", exclude_categories=["Cs"]))


@given(st.lists(st.lists(LINE, max_size=4), min_size=1, max_size=4))
def test_a_whole_chain_is_accepted_and_read_back(texts):
    objects, last = make_chain(texts)
    assert find_chain_error(objects, last) is None
    assert [list(verify_sealed_object(*item).lines) for item in objects] == texts


def test_a_changed_or_missing_object_breaks_the_chain():
    objects, last = make_chain([["a"], ["b"], ["c"]])
    changed = [objects[0], (objects[1][0].replace(b"b", b"x"), objects[1][1]), objects[2]]
    assert "object 2" in find_chain_error(changed, last)
    assert "object 2" in find_chain_error([objects[0], objects[2]], last)
    assert "ends with" in find_chain_error(objects[:2], last)
    forged = seal_lines(["x"], objects[0][1])
    replaced = [objects[0], (forged.data, forged.digest), objects[2]]
    assert "object 3" in find_chain_error(replaced, last)
    with pytest.raises(BrokenChain):
        verify_sealed_object(objects[0][0] + b"!", objects[0][1])


def test_every_command_is_in_the_trail_with_its_outcome():
    async def scenario():
        cell = await create_cell()
        host = cell.hosts["zb-0"]
        await host.run(SUBMIT)
        await host.run("stop job other")
        await host.run("stop job nightly", dry_run=True)
        await host.run("jobs")
        await host.run("jbos")
        await host.operators.trail.flush()
        _, answer = await cell.hosts["za-0"].run("audit")
        return [(row[3], row[4].partition(":")[0]) for row in answer["table"]["rows"]]

    assert sorted(asyncio.run(scenario())) == [
        ("jbos", "invalid-command"),
        ("jobs", "answered"),
        ("stop job nightly", "dry-run"),
        ("stop job other", "unknown-name"),
        (SUBMIT, "accepted"),
    ]


def test_records_wait_for_the_table_to_come_back():
    async def scenario():
        cell = await create_cell()
        host = cell.hosts["zb-0"]
        cell.table.down = True
        await host.run("jobs")
        await host.operators.trail.flush()
        cell.table.down = False
        cell.table.lose_answers = 1
        await host.operators.trail.flush()
        await host.operators.trail.flush()
        _, answer = await host.run("audit")
        return answer["table"]["rows"]

    assert [row[3] for row in asyncio.run(scenario())] == ["jobs"]


def test_the_name_of_an_ended_job_is_free_again_with_its_record_archived():
    async def scenario():
        cell = await create_cell()
        host = cell.hosts["za-0"]
        await host.run(SUBMIT)
        await host.run("submit service desk team=packing customer=spoon zones=za")
        await host.run("stop job nightly")
        record = json.loads(next(v.value for k, v in cell.table.rows.items() if "audit/" in k))[0]
        host.zone.leading = False
        with pytest.raises(NoLeader):
            await host.operators.trail.archive(record["at"] + 3 * DAY_MS)
        host.zone.leading = True
        assert await host.operators.trail.archive(record["at"] + 3 * DAY_MS) == 3
        return [key for key in cell.table.rows if key.startswith("job/")]

    assert asyncio.run(scenario()) == ["job/desk"]


def test_old_rows_move_to_chained_objects_and_stay_listed():
    async def scenario():
        cell = await create_cell()
        host = cell.hosts["za-0"]
        await host.run(SUBMIT, id="c1")
        trail = host.operators.trail
        records = [
            json.loads(v.value)[0] for k, v in cell.table.rows.items() if k.startswith("audit/")
        ]
        at = records[0]["at"]
        assert await trail.archive(at) == 0
        assert await trail.archive(at + 3 * DAY_MS) == 1
        assert not [key for key in cell.table.rows if key.startswith(("audit/", "command/"))]
        listed = await trail.list_records(at - 5 * DAY_MS)
        (key,) = cell.objects.objects
        cell.objects.objects[key] = cell.objects.objects[key].replace(b"nightly", b"morning")
        with pytest.raises(BrokenChain):
            await trail.list_records(at - 5 * DAY_MS)
        return listed

    assert asyncio.run(scenario()).table.rows[0][3] == SUBMIT


def make_query(number, at=None):
    at = read_wall_time() if at is None else at
    return CommandRecord(f"q{number}", "mira", "reader", at, "za-0", "jobs", "answered", "")


def list_ids(listed):
    return [row[5] for row in listed.table.rows]


class CommitPausingTable:
    """Adds records to a trail while a row of it is being written."""

    def __init__(self, table, trail, records):
        self.table, self.trail, self.records = table, trail, records

    def __getattr__(self, name):
        return getattr(self.table, name)

    async def commit(self, transaction, timeout):
        while self.records:
            self.trail.add(self.records.pop(0))
        return await self.table.commit(transaction, timeout)


def test_no_record_is_lost_if_the_buffer_overflows_while_a_row_is_written(monkeypatch):
    monkeypatch.setattr(_audit, "MAX_BUFFERED_RECORDS", 4)

    async def scenario():
        cell = await create_cell()
        trail = cell.hosts["za-0"].operators.trail
        for number in range(4):
            trail.add(make_query(number))
        added = [make_query(number) for number in range(4, 8)]
        trail._context = replace(trail._context, table=CommitPausingTable(cell.table, trail, added))
        await trail.flush()
        return list_ids(await trail.list_records(read_wall_time() - DAY_MS))

    assert sorted(asyncio.run(scenario())) == [f"q{number}" for number in range(8)]


def test_a_list_from_the_beginning_has_the_archived_records():
    async def scenario():
        cell = await create_cell()
        trail = cell.hosts["za-0"].operators.trail
        trail.add(make_query(1))
        await trail.flush()
        assert await trail.archive(read_wall_time() + 3 * DAY_MS) == 1
        listed = await trail.list_records(0)
        cell.objects.objects.clear()
        assert list_ids(await trail.list_records(0)) == []
        return listed

    assert list_ids(asyncio.run(scenario())) == ["q1"]


def test_a_list_that_is_cut_says_from_which_time_on_and_can_be_continued(monkeypatch):
    monkeypatch.setattr(_audit, "MAX_LISTED_ROWS", 4)
    monkeypatch.setattr(_audit, "ROWS_PER_SCAN", 2)

    async def scenario():
        cell = await create_cell()
        host = cell.hosts["za-0"]
        start = read_wall_time() - DAY_MS // 2
        for number in range(10):
            host.operators.trail.add(make_query(number, start + number * 60_000))
        await host.operators.trail.flush()
        found, since = [], start
        while since is not None:
            listed = await host.operators.trail.list_records(since)
            found.extend(list_ids(listed))
            since = listed.cut_at
        _, answer = await host.run("audit")
        return sorted(set(found)), answer["message"]

    found, message = asyncio.run(scenario())
    assert found == [f"q{number}" for number in range(10)]
    assert "audit since" in message


def test_a_list_that_begins_in_the_middle_of_a_row_has_its_later_records():
    async def scenario():
        cell = await create_cell()
        trail = cell.hosts["za-0"].operators.trail
        start = read_wall_time()
        for number in range(3):
            trail.add(make_query(number, start + 200 * number))
        await trail.flush()
        return list_ids(await trail.list_records(start + 100))

    assert asyncio.run(scenario()) == ["q1", "q2"]
