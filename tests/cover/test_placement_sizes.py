import pytest

from lentilpath_core.errors import InvalidJob
from lentilpath_core.ids import RegionId, WallTime, ZoneId
from lentilpath_core.placement import StopMode, WaitRule, decide_placements, find_refusal
from lentilpath_core.resources import Resources
from lentilpath_core.states import AttemptOutcome
from lentilpath_core.workloads import PriorityClass, WorkloadKind, check_job
from tests.common.placements import WALL_OFFSET_MS, Zone, make_spec

WORKER = Resources(8_000, 32_768)
NOW = WallTime(WALL_OFFSET_MS)


def test_the_next_task_is_allocated_the_measured_usage_of_its_workload():
    zone = Zone(workers=1, cores=8)
    zone.submit(make_spec("first", workload="rebuild"))
    zone.starts()
    zone.report("first/0", cores=3)
    zone.finish("first/0")
    zone.submit(make_spec("next", tasks=8, workload="rebuild"))
    starts = zone.starts()
    assert len(starts) == 2
    assert starts[0].room == Resources(3_000, 1_024)


def test_a_task_that_uses_more_takes_free_room_at_once():
    zone = Zone(workers=1, cores=4)
    zone.submit(make_spec("grows"))
    zone.starts()
    zone.report("grows/0", cores=3)
    zone.submit(make_spec("other", tasks=4))
    assert len(zone.starts()) == 1


def test_throttles_a_task_that_outgrew_its_processors_on_a_full_worker():
    zone = Zone(workers=1, cores=2)
    zone.submit(make_spec("both", tasks=2))
    zone.starts()
    zone.report("both/0", cores=2)
    (stop,) = zone.stops()
    assert (stop.mode, stop.millicores) == (StopMode.THROTTLE, 1_000)
    zone.report("both/0", cores=3)
    assert zone.stops() == []


def test_stops_a_task_that_outgrew_its_memory_on_a_full_worker():
    zone = Zone(workers=1, cores=2, memory_mib=2_048)
    zone.submit(make_spec("both", tasks=2, checkpointable=True))
    zone.starts()
    zone.report("both/0", memory_mib=2_000)
    (stop,) = zone.stops()
    assert stop.mode is StopMode.CHECKPOINT
    zone.finish("both/0", AttemptOutcome.STOPPED)
    assert zone.starts() == []
    zone.finish("both/1")
    (start,) = zone.starts()
    assert start.room == Resources(1_000, 2_000)


def test_a_reservation_grows_with_the_learned_size():
    """A reservation of the declared size let a task of the learned size overcommit a worker."""
    zone = Zone(workers=1, cores=2)
    zone.submit(make_spec("seen", workload="w", run_ms=600_000))
    zone.submit(make_spec("full", checkpointable=True, run_ms=600_000))
    zone.starts()
    zone.submit(make_spec("check", workload="w", priority=PriorityClass.URGENT))
    assert [stop.task for stop in zone.stops()] == ["full/0"]
    zone.report("seen/0", cores=2)
    zone.finish("full/0", AttemptOutcome.STOPPED, requeue=False)
    assert zone.starts() == []
    zone.finish("seen/0")
    (start,) = zone.starts()
    assert start.room == Resources(2_000, 1_024)


def test_a_new_leader_refuses_no_accepted_job_before_its_workers_have_joined():
    """A leader that no worker had reported to refused all accepted jobs as too large."""
    zone = Zone(workers=0)
    zone.pass_time(3_600_000)
    zone.submit(make_spec("accepted", tasks=2, cores=4))
    assert zone.decide() == ()
    zone.offer("small", "r0", Resources(2_000, 8_192))
    zone.pass_time(3_600_000)
    assert zone.decide() == ()
    assert zone.explain("accepted/0").rule is WaitRule.TOO_LARGE
    assert "to join" in zone.explain("accepted/0").waits_for
    zone.offer("large", "r0", Resources(8_000, 8_192))
    assert len(zone.starts()) == 2


@pytest.mark.parametrize(
    ("spec", "reason"),
    [
        (make_spec(cores=9), "no worker is so large"),
        (make_spec(tasks=5, cores=5, kind=WorkloadKind.GANG), "have room for 2"),
        (make_spec(zones=(ZoneId("patan"),)), "allows the zones patan"),
        (make_spec(regions=(RegionId("bagmati"),)), "allows the regions bagmati"),
        (make_spec(input_written_at_ms=0, input_max_age_ms=10), "ms old"),
    ],
)
def test_says_on_submission_why_a_job_can_never_run(spec, reason):
    refusal = find_refusal(spec, [WORKER, WORKER], NOW, RegionId("lumbini"), ZoneId("butwal"))
    assert refusal is not None
    assert reason in refusal


def test_does_not_refuse_what_fits():
    assert find_refusal(make_spec(tasks=2, kind=WorkloadKind.GANG), [WORKER], NOW) is None


@pytest.mark.parametrize(
    "policy",
    [{"min_replicas": 2}, {"deadline_ms": 0}, {"input_max_age_ms": 10}, {"retry_limit": -1}],
)
def test_refuses_a_policy_that_contradicts_itself(policy):
    with pytest.raises(InvalidJob):
        check_job(make_spec(**policy))


def test_never_starts_work_with_a_bounded_input_age_while_the_wall_time_is_unknown():
    zone = Zone()
    zone.submit(make_spec("recall", input_written_at_ms=WALL_OFFSET_MS, input_max_age_ms=1_000))
    assert decide_placements(zone.state, zone.now, 10) == ()
    assert zone.explain("recall/0").rule is WaitRule.STALE_INPUT
    assert len(zone.starts()) == 1


def test_work_that_was_seen_to_use_more_than_any_worker_has_gets_a_whole_worker():
    zone = Zone(workers=1, cores=4, memory_mib=8_192)
    zone.submit(make_spec("seen", cores=2, workload="w"))
    zone.starts()
    zone.report("seen/0", cores=4)
    zone.finish("seen/0")
    zone.submit(make_spec("next", cores=3, workload="w"))
    starts = zone.starts()
    starts += zone.starts()
    assert [start.room for start in starts] == [Resources(4_000, 1_024)]
