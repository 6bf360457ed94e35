"""A planned handover waits until commands of the earlier leader can no longer take effect."""

import asyncio
from typing import cast

import pytest

from lentilpath_core.errors import OutcomeUnknown, WorkerUnavailable
from lentilpath_core.ids import (
    Epoch,
    Instant,
    RackId,
    RowVersion,
    TaskId,
    WorkerId,
    WorkerTime,
    ZoneId,
)
from lentilpath_core.resources import Resources
from lentilpath_core.settings import WorkerLeaseSettings
from lentilpath_core.zone.control import (
    ListedWorker,
    SendStart,
    WorkersListed,
    create_controller,
)
from lentilpath_core.zone.reports import StartAnswer
from lentilpath_core.zone.state import create_zone_state
from lentilpathd._authority import NO_UNCONFIRMED_START, Authority, Leadership
from lentilpathd._clock import read_instant
from lentilpathd._ports import Worker
from lentilpathd._zone._term import COMMAND_VALIDITY_MS, Term
from lentilpathd._zone._worker_link import WorkerLink
from tests.common.zone import make_spec

ZONE = ZoneId("z")
WORKER = WorkerId("w")
START = SendStart(WORKER, TaskId("job/0"), 1)
LEASES = WorkerLeaseSettings()


class PermanentLeadership:
    def get_authority(self):
        return Authority(Epoch(1), Instant(read_instant() + 60_000), backed_by_table=True)


class FixedOutcomeWorker:
    def __init__(self, outcome):
        self.outcome = outcome

    async def start(self, command, timeout):
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome


def start_on(outcome) -> WorkerLink:
    term = Term(ZONE, Epoch(1), RowVersion(1), cast(Leadership, PermanentLeadership()))
    worker = cast(Worker, FixedOutcomeWorker(outcome))
    link = WorkerLink(WORKER, worker, term, LEASES, lambda event: None)
    link._worker_clock = (WorkerTime(0), read_instant())

    async def scenario() -> None:
        link.send_start(START, make_spec("job"))
        await link.wait_for_commands()

    asyncio.run(scenario())
    return link


def test_a_start_of_unknown_outcome_delays_the_handover_until_it_cannot_take_effect():
    before = read_instant()
    link = start_on(OutcomeUnknown("answer lost"))
    assert (
        before + COMMAND_VALIDITY_MS
        <= link.get_commands_end()
        <= read_instant() + COMMAND_VALIDITY_MS
    )


@pytest.mark.parametrize(
    "outcome", [StartAnswer.STARTED, StartAnswer.REFUSED, WorkerUnavailable("refused")]
)
def test_a_start_of_known_outcome_does_not_delay_the_handover(outcome):
    assert start_on(outcome).get_commands_end() == NO_UNCONFIRMED_START


def test_next_leader_waits_for_late_renewals_of_the_earlier_one():
    listed = WorkersListed(
        (ListedWorker(WORKER, RackId("rack"), Resources(1, 1, 0), leaving=False),)
    )
    ends = [
        create_controller(create_zone_state(ZONE), Epoch(2), LEASES, listed, Instant(0), late_ms)
        .workers[WORKER]
        .lease_bound
        for late_ms in (0, COMMAND_VALIDITY_MS)
    ]
    assert ends[1] - ends[0] == COMMAND_VALIDITY_MS
