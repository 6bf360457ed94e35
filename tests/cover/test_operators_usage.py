# mypy: no-check-untyped-defs

import pytest

from lentilpath_core.audit import BrokenChain
from lentilpath_core.states import AttemptOutcome
from lentilpath_core.usage import ALLOWED_LATENESS_MS, PERIOD_MS, get_period_start
from lentilpath_core.zone.journal import AttemptEnded, AttemptStarting, JobAccepted
from lentilpathd._clock import read_wall_time
from lentilpathd._operators._accounts import SealedUsageReader
from tests.common.operators import NOW, create_cell
from tests.cover.test_operators import SUBMIT, run_in_event_loop
from tests.cover.test_usage import SPEC

PERIOD_START = get_period_start(NOW)
SEAL_DELAY_MS = PERIOD_MS + ALLOWED_LATENESS_MS
"""Time from the start of a period until it can be sealed."""


async def create_cell_with_job():
    cell = await create_cell()
    cell.hosts["za-0"].zone.journal(JobAccepted(SPEC, PERIOD_START, "za-0"))
    return cell, cell.hosts["za-0"].zone, cell.hosts["za-0"].operators.accountant


async def read_usage(cell, day="2026-12-01"):
    """Return the total held time in ms and the ids of the usage lines of a day."""
    _, answer = await cell.hosts["zb-0"].run(f"usage customer spoon on {day}")
    table = answer["table"]
    column = table["columns"].index("held_ms")
    return sum(row[column] for row in table["rows"]), [row[0] for row in table["rows"]]


@run_in_event_loop
async def test_a_sealed_line_is_explained_with_its_seal():
    cell, zone, accountant = await create_cell_with_job()
    zone.run_attempt("j/0", 1, PERIOD_START + 10, PERIOD_START + 2_010)
    await accountant.step(PERIOD_START + SEAL_DELAY_MS)
    total, (line,) = await read_usage(cell)
    assert total == 2_000
    _, answer = await cell.hosts["zb-0"].run(f"explain line {line}")
    facts = {row[0]: row[1] for row in answer["table"]["rows"]}
    assert facts["sealed in"] in next(key for key in cell.objects.objects if "manifest" in key)
    assert facts["worker"] == "w-1"
    assert facts["decision"] == "first fit"
    assert facts["processor"] == "3000000 millicore ms"


@run_in_event_loop
async def test_an_open_line_is_listed_and_says_that_it_may_change():
    cell = await create_cell()
    await cell.hosts["za-0"].run(SUBMIT)
    now = read_wall_time()
    cell.hosts["za-0"].zone.run_attempt("nightly/0", 1, now - 500, now)
    _, answer = await cell.hosts["zb-0"].run("usage customer spoon")
    line = answer["table"]["rows"][-1][0]
    _, answer = await cell.hosts["zb-0"].run(f"explain line {line}")
    assert answer["table"]["rows"][-1][0] == "sealed"
    status, answer = await cell.hosts["zb-0"].run("explain line za:2026-12-01T0000:x/0:1@w")
    assert (status, answer["error"]) == (404, "unknown-name")


@run_in_event_loop
async def test_a_changed_sealed_object_is_detected():
    cell, zone, accountant = await create_cell_with_job()
    zone.run_attempt("j/0", 1, PERIOD_START + 10, PERIOD_START + 2_010)
    zone.run_attempt("j/1", 1, PERIOD_START + PERIOD_MS, PERIOD_START + PERIOD_MS + 5)
    await accountant.step(PERIOD_START + PERIOD_MS + SEAL_DELAY_MS)
    sealed = SealedUsageReader(cell.hosts["zb-0"].context)
    assert await sealed.verify_chain("za") == (2, 2)
    key = next(key for key in cell.objects.objects if "/lines-" in key)
    original = cell.objects.objects[key]
    cell.objects.objects[key] = original.replace(b'"held_ms":', b'"held_ms":1')
    with pytest.raises(BrokenChain):
        await sealed.verify_chain("za")
    status, answer = await cell.hosts["zb-0"].run("usage customer spoon on 2026-12-01")
    assert (status, answer["error"]) == (500, "broken-chain")
    _, answer = await cell.hosts["zb-0"].post("/v1/report/seals", b"", method="GET")
    assert [row[:2] for row in answer["table"]["rows"]] == [["za", "broken"], ["zb", "whole"]]
    assert answer["outcome"] == "refused"
    del cell.objects.objects[key]
    with pytest.raises(BrokenChain):
        await sealed.verify_chain("za")
    cell.objects.objects[key] = original
    _, answer = await cell.hosts["zb-0"].post("/v1/report/seals", b"", method="GET")
    assert [row[1:4] for row in answer["table"]["rows"]] == [["whole", 2, 2], ["whole", 0, 0]]


@run_in_event_loop
async def test_a_change_of_leader_neither_loses_nor_doubles_a_line():
    cell = await create_cell(hosts_per_zone=2)
    old, new = cell.hosts["za-0"], cell.hosts["za-1"]
    old.zone.journal(JobAccepted(SPEC, PERIOD_START, "za-0"))
    old.zone.run_attempt("j/0", 1, PERIOD_START + 10, PERIOD_START + 110)
    old.zone.journal(AttemptStarting("j/1", 1, "w-1", PERIOD_START + 50, "first fit"))
    await old.operators.accountant.step(PERIOD_START + SEAL_DELAY_MS)
    new.zone.state = old.zone.state
    new.zone.leading = True
    new.zone.journal(
        AttemptEnded(
            "j/1", 1, "w-1", AttemptOutcome.SUCCEEDED, PERIOD_START + 60, PERIOD_START + 260
        )
    )
    await new.operators.accountant.step(PERIOD_START + PERIOD_MS + SEAL_DELAY_MS)
    # The old leader does not know of its successor yet and tries to seal the same period.
    with pytest.raises(Exception, match="another host"):
        await old.operators.accountant.step(PERIOD_START + PERIOD_MS + SEAL_DELAY_MS)
    await old.operators.accountant.step(PERIOD_START + PERIOD_MS + SEAL_DELAY_MS)
    total, lines = await read_usage(cell)
    assert total == 300
    assert len(set(lines)) == len(lines)


@run_in_event_loop
async def test_a_seal_whose_answer_was_lost_is_made_once():
    cell, zone, accountant = await create_cell_with_job()
    zone.run_attempt("j/0", 1, PERIOD_START + 10, PERIOD_START + 110)
    cell.table.lose_answers = 1
    with pytest.raises(Exception, match="lost"):
        await accountant.step(PERIOD_START + SEAL_DELAY_MS)
    await accountant.step(PERIOD_START + SEAL_DELAY_MS)
    await accountant.step(PERIOD_START + PERIOD_MS + SEAL_DELAY_MS)
    assert (await read_usage(cell))[0] == 100
    assert (await SealedUsageReader(cell.hosts["zb-0"].context).verify_chain("za"))[0] == 1


@run_in_event_loop
async def test_batches_that_the_zone_archived_before_they_were_read_are_billed():
    cell, zone, accountant = await create_cell_with_job()
    await accountant.step(PERIOD_START + 1)
    zone.run_attempt("j/0", 1, PERIOD_START + 10, PERIOD_START + 110)
    zone.archive(4)
    zone.run_attempt("j/1", 1, PERIOD_START + 10, PERIOD_START + 210)
    await accountant.step(PERIOD_START + 2)
    assert accountant._ledger.missing_batches == 0
    zone.archive(6)
    # A new leader starts from a ledger that is older than the journal's rows.
    accountant._ledger = None
    await accountant.step(PERIOD_START + SEAL_DELAY_MS)
    assert (await read_usage(cell))[0] == 300
    assert accountant._ledger.missing_batches == 0


@run_in_event_loop
async def test_missing_batches_are_counted_instead_of_ignored():
    cell, zone, accountant = await create_cell_with_job()
    zone.run_attempt("j/0", 1, PERIOD_START + 10, PERIOD_START + 110)
    del cell.table.rows["journal/za/000000000002"]
    await accountant.step(PERIOD_START + 1)
    assert accountant._ledger.missing_batches == 1
