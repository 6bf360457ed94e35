from lentilpath_core.placement import StopMode, WaitRule
from lentilpath_core.resources import Resources
from lentilpath_core.states import AttemptOutcome
from lentilpath_core.workloads import PriorityClass, Strategy, WorkloadKind
from tests.common.placements import WALL_OFFSET_MS, Zone, make_spec


def test_starts_as_many_tasks_as_fit_and_no_more():
    zone = Zone(workers=2, cores=4)
    zone.submit(make_spec(tasks=10, cores=1))
    assert len(zone.starts()) == 8
    assert zone.explain("j/8").rule is WaitRule.NO_ROOM
    zone.finish("j/0")
    assert [start.task for start in zone.starts()] == ["j/8"]


def test_starts_urgent_work_first():
    zone = Zone(workers=1, cores=1)
    zone.submit(make_spec("slow"))
    zone.submit(make_spec("fast", priority=PriorityClass.URGENT))
    assert [start.task for start in zone.starts()] == ["fast/0"]


def test_a_gang_starts_whole_or_not_at_all():
    zone = Zone(workers=2, cores=4)
    zone.submit(make_spec("small", tasks=2, cores=3))
    assert len(zone.starts()) == 2
    zone.submit(make_spec("gang", tasks=3, cores=2, kind=WorkloadKind.GANG))
    assert zone.starts() == []
    zone.finish("small/0")
    assert zone.starts() == []
    zone.finish("small/1")
    assert len(zone.starts()) == 3


def test_a_reserved_gang_is_not_starved_by_small_tasks_and_short_ones_fill_in():
    zone = Zone(workers=1, cores=4)
    zone.submit(make_spec("first", tasks=2, cores=2, run_ms=60_000))
    zone.starts()
    zone.submit(make_spec("gang", tasks=2, cores=2, kind=WorkloadKind.GANG))
    zone.starts()
    assert zone.explain("gang/0").rule is WaitRule.RESERVED
    zone.finish("first/0")
    zone.submit(make_spec("long", cores=1, run_ms=120_000))
    zone.submit(make_spec("short", cores=1, run_ms=10_000))
    assert [start.task for start in zone.starts()] == ["short/0"]
    zone.finish("short/0")
    zone.finish("first/1")
    assert {start.task for start in zone.starts()} == {"gang/0", "gang/1"}


def test_spreads_a_service_over_racks_and_workers():
    zone = Zone(workers=4, racks=2)
    zone.submit(make_spec("web", tasks=4, kind=WorkloadKind.SERVICE, strategy=Strategy.SPREAD))
    assert len({start.worker for start in zone.starts()}) == 4


def test_urgent_work_preempts_a_checkpointable_task():
    zone = Zone(workers=1, cores=2)
    zone.submit(make_spec("long", cores=2, run_ms=600_000, checkpointable=True))
    zone.starts()
    zone.submit(make_spec("check", priority=PriorityClass.URGENT))
    (stop,) = zone.stops()
    assert (stop.task, stop.mode) == ("long/0", StopMode.CHECKPOINT)
    assert zone.stops() == []
    zone.finish("long/0", AttemptOutcome.STOPPED)
    assert [start.task for start in zone.starts()] == ["check/0"]


def test_refuses_a_stale_input():
    zone = Zone()
    zone.submit(make_spec("recall", input_written_at_ms=WALL_OFFSET_MS, input_max_age_ms=1_000))
    zone.pass_time(2_000)
    (refusal,) = zone.refusals()
    assert "input" in refusal.reason
    assert zone.explain("recall/0").rule is WaitRule.STALE_INPUT


def test_a_worker_whose_accelerators_change_is_still_found_and_is_in_one_index_only():
    zone = Zone(workers=1, cores=4)
    for accelerators in (2, 0, 1, 0):
        zone.offer("w0", "r0", Resources(4_000, 32_768, accelerators))
        assert bool(zone.state.accelerated_index) is bool(accelerators)
        assert len(zone.state.accelerated_index) + len(zone.state.plain_index) == 1
    zone.submit(make_spec(tasks=2, cores=2))
    assert len(zone.starts()) == 2
