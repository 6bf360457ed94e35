from collections.abc import Iterable
from dataclasses import replace

from msgspec.structs import replace as replace_struct

from lentilpath_core.ids import Epoch, Instant
from lentilpath_core.leadership import (
    POLL_INTERVAL_MS,
    AnswerPromise,
    AskPromises,
    ClockAdvanced,
    HelloReceived,
    ListenerBound,
    Member,
    PromiseAsked,
    ReleaseAnnounced,
    ReleaseRequested,
    ZoneWasRead,
    decide,
    is_released,
)
from lentilpath_core.leadership._rules import get_margin_ms, get_table_deadline
from lentilpath_core.settings import LeadershipSettings
from tests.common.leadership import SETTINGS, FakeHost, FakeRows, create_host, make_member

TAKEOVER_WAIT_MS = SETTINGS.lease_ms + SETTINGS.drift_margin_ms
STEP_MS = 50


def create_leader(rows: FakeRows, members: Iterable[Member] = ()) -> FakeHost:
    host = create_host("a", rows)
    for member in members:
        host.feed(HelloReceived(member))
    host.run(STEP_MS)
    assert host.has_authority()
    return host


def ask_promise(host: FakeHost, epoch: int = 1, asked: Member | None = None) -> bool:
    asked = host.state.member if asked is None else asked
    event = PromiseAsked(make_member("a"), Epoch(epoch), asked, 1, SETTINGS.promise_ms)
    (answer,) = host.feed(event)
    assert isinstance(answer, AnswerPromise)
    return answer.given


def test_takes_a_zone_that_nobody_holds():
    rows = FakeRows()
    host = create_leader(rows)
    assert host.get_lead().epoch == 1
    assert host.get_lead().epoch_version == rows.epoch_version == 1


def test_authority_runs_from_the_moment_of_sending():
    host = create_leader(FakeRows())
    sent_at = host.now
    assert host.get_lead().until == sent_at + SETTINGS.lease_ms - SETTINGS.drift_margin_ms


def test_renews_in_the_same_epoch_and_leaves_the_epoch_row_alone():
    rows = FakeRows()
    host = create_leader(rows)
    host.run(60_000)
    assert host.has_authority()
    assert (rows.get_row().epoch, rows.epoch_version) == (1, 1)


def test_idle_zone_writes_at_most_five_times_a_second():
    rows = FakeRows()
    create_leader(rows).run(60_000)
    assert rows.version <= 5 * 60


def test_loses_authority_when_the_table_is_away():
    host = create_leader(FakeRows(), [make_member("b")])
    host.table_up = False
    host.run(SETTINGS.lease_ms)
    assert not host.has_authority()


def test_recognises_its_own_write_after_a_lost_answer():
    rows = FakeRows()
    host = create_leader(rows)
    host.lose_answers = True
    host.run(10_000)
    assert host.has_authority()
    assert {write.row.holder for write in host.writes} == {host.state.member}


def test_unclear_renewal_does_not_extend_authority():
    rows = FakeRows()
    host = create_leader(rows, [make_member("b")])
    until = host.get_lead().until
    host.drop_writes = True
    host.run(SETTINGS.lease_ms)
    assert host.get_lead().until == until


def test_authority_of_a_late_answer_runs_from_the_moment_of_sending():
    rows = FakeRows()
    host = create_leader(rows, [make_member("b")])
    host.lose_answers = True
    host.run(SETTINGS.renew_every_ms)
    pending = host.state.pending
    assert pending is not None
    state, _ = decide(ZoneWasRead(rows.read()), host.state, Instant(host.now + 500))
    assert state.lead is not None
    assert state.lead.until == get_table_deadline(pending.sent_at, SETTINGS)


def test_repeats_an_unclear_write_unchanged():
    rows = FakeRows()
    host = create_leader(rows)
    host.writes.clear()
    host.drop_writes = True
    host.run(10_000)
    assert len(host.writes) > 1
    assert set(host.writes) == {host.writes[0]}


def test_member_takes_over_only_after_the_lease_and_its_margin():
    rows = FakeRows()
    member = create_host("b", rows)
    create_leader(rows, [member.state.member])
    member.run(STEP_MS)
    member.run(TAKEOVER_WAIT_MS - STEP_MS)
    assert not member.has_authority()
    member.run(2 * STEP_MS)
    assert member.has_authority()
    assert rows.get_row().epoch == 2


def test_deposed_holder_notices_at_its_next_renewal():
    rows = FakeRows()
    member = create_host("b", rows)
    leader = create_leader(rows, [member.state.member])
    member.run(TAKEOVER_WAIT_MS + 2 * STEP_MS)
    leader.run(10 * SETTINGS.renew_every_ms)
    assert leader.state.lead is None
    assert rows.get_row().holder == member.state.member


def test_newcomer_waits_for_the_horizon():
    rows = FakeRows()
    create_leader(rows)
    newcomer = create_host("b", rows)
    newcomer.run(SETTINGS.newcomer_horizon_ms)
    assert not newcomer.has_authority()
    newcomer.run(SETTINGS.drift_margin_ms + 2 * POLL_INTERVAL_MS)
    assert newcomer.has_authority()


def test_restarted_member_waits_for_the_promise_of_its_earlier_process():
    rows = FakeRows()
    create_leader(rows, [make_member("b", 0)])
    restarted = create_host("b", rows)
    restarted.run(SETTINGS.promise_ms + TAKEOVER_WAIT_MS)
    assert not restarted.has_authority(), "the predecessor may still give promises"
    restarted.feed(ListenerBound())
    restarted.run(SETTINGS.promise_ms)
    assert not restarted.has_authority()
    restarted.run(SETTINGS.drift_margin_ms + 2 * POLL_INTERVAL_MS)
    assert restarted.has_authority()


def test_released_zone_is_taken_at_once():
    rows = FakeRows()
    member = create_host("b", rows)
    leader = create_leader(rows, [member.state.member])
    member.run(STEP_MS)
    assert ask_promise(member)
    leader.feed(ReleaseRequested())
    assert leader.state.lead is None
    assert is_released(leader.state)
    member.feed(ReleaseAnnounced())
    assert member.has_authority()
    leader.run(10 * TAKEOVER_WAIT_MS)
    assert not leader.has_authority()


def test_keeps_authority_in_a_table_outage_while_all_members_promise():
    host = create_leader(FakeRows(), [make_member("b"), make_member("c")])
    host.table_up = False
    for _ in range(20):
        host.run(SETTINGS.renew_every_ms)
        if host.promise_rounds:
            host.promise_all()
        assert host.has_authority()
    assert not host.get_lead().backed_by_table


def test_margin_grows_with_the_duration():
    settings = LeadershipSettings(drift_margin_ms=100)
    assert get_margin_ms(2_000, settings) == 100
    assert get_margin_ms(900_000, settings) == 4_500


def test_extension_ends_before_the_horizon():
    host = create_leader(FakeRows())
    sent_at = host.get_lead().table_sent_at
    host.table_up = False
    host.run(2 * SETTINGS.newcomer_horizon_ms)
    end = sent_at + SETTINGS.newcomer_horizon_ms - SETTINGS.drift_margin_ms
    assert host.get_lead().until == end


def test_one_missing_promise_ends_the_authority():
    host = create_leader(FakeRows(), [make_member("b"), make_member("c")])
    host.table_up = False
    host.run(SETTINGS.renew_every_ms)
    for _ in range(5):
        host.run(SETTINGS.renew_every_ms)
        promise_round = host.promise_rounds[-1]
        assert promise_round.members == (make_member("b"), make_member("c"))
        host.promise_rounds[-1] = replace(promise_round, members=promise_round.members[:1])
        host.promise_all()
    assert not host.has_authority()


def test_asks_members_of_a_roster_whose_write_has_an_unknown_outcome():
    host = create_leader(FakeRows(), [make_member("b")])
    host.drop_writes = True
    host.feed(HelloReceived(make_member("c")))
    host.run(2 * SETTINGS.renew_every_ms)
    assert host.promise_rounds[-1].members == (make_member("b"), make_member("c"))


def test_asks_for_promises_when_answers_are_late():
    host = create_leader(FakeRows(), [make_member("b")])
    state = replace(host.state, table_busy=True)
    now = Instant(host.now + 2 * SETTINGS.renew_every_ms)
    _, effects = decide(ClockAdvanced(), state, now)
    assert [type(effect) for effect in effects] == [AskPromises]


def test_waits_by_the_holders_settings_if_they_are_longer():
    rows = FakeRows()
    member = create_host("b", rows)
    create_leader(rows, [member.state.member])
    rows.row = replace_struct(rows.get_row(), lease_ms=2 * SETTINGS.lease_ms)
    member.run(2 * TAKEOVER_WAIT_MS - 4 * STEP_MS)
    assert not member.has_authority()
    member.run(10 * STEP_MS)
    assert member.has_authority()


def test_keeps_its_promise_not_to_take_over():
    rows = FakeRows()
    member = create_host("b", rows)
    create_leader(rows, [member.state.member])
    member.run(TAKEOVER_WAIT_MS - STEP_MS)
    assert ask_promise(member)
    member.run(SETTINGS.promise_ms)
    assert not member.has_authority()


def test_refuses_a_promise_while_its_take_over_may_apply():
    rows = FakeRows()
    member = create_host("b", rows)
    create_leader(rows, [member.state.member])
    member.drop_writes = True
    member.run(TAKEOVER_WAIT_MS + 4 * STEP_MS)
    assert member.state.pending is not None
    assert not ask_promise(member)


def test_refuses_a_promise_asked_of_its_earlier_process():
    member = create_host("b", FakeRows())
    assert not ask_promise(member, asked=make_member("b", 0))


def test_leader_refuses_to_promise_to_an_older_epoch():
    assert not ask_promise(create_leader(FakeRows()), epoch=1)
