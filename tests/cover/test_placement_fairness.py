from lentilpath_core.ids import TeamId
from lentilpath_core.placement import QuotaSet, StopMode, WaitRule
from lentilpath_core.resources import Resources
from lentilpath_core.states import AttemptOutcome
from lentilpath_core.workloads import PriorityClass, WorkloadKind
from tests.common.placements import Zone, make_spec

HOUR_MS = 3_600_000


def set_guarantee(zone, team, cores):
    zone.handle_event(QuotaSet(TeamId(team), Resources(cores * 1_000, cores * 4_096)))


def test_many_tasks_of_one_team_do_not_starve_another_team():
    zone = Zone(workers=1, cores=4)
    zone.submit(make_spec("flood", tasks=100, team="flooding"))
    zone.starts()
    zone.submit(make_spec("other", tasks=2, team="patient"))
    zone.finish("flood/0")
    zone.finish("flood/1")
    assert {start.task for start in zone.starts()} == {"other/0", "other/1"}


def test_a_team_reclaims_its_guarantee_from_borrowers():
    zone = Zone(workers=1, cores=4)
    set_guarantee(zone, "owner", 2)
    set_guarantee(zone, "borrower", 2)
    lent = make_spec("lent", tasks=4, team="borrower", run_ms=HOUR_MS, checkpointable=True)
    zone.submit(lent)
    assert len(zone.starts()) == 4
    zone.submit(make_spec("own", tasks=2, team="owner", run_ms=HOUR_MS))
    assert zone.stops() == []
    stopped = []
    for _ in range(40):
        zone.pass_time(1_000)
        for stop in zone.stops():
            assert stop.mode is StopMode.CHECKPOINT
            stopped.append(stop.task)
            zone.finish(stop.task, AttemptOutcome.STOPPED)
    assert len(stopped) == 2
    assert {"own/0", "own/1"} <= set(zone.running)


def test_long_work_that_cannot_be_preempted_does_not_borrow_a_guarantee():
    zone = Zone(workers=1, cores=4)
    set_guarantee(zone, "owner", 2)
    zone.submit(make_spec("long", tasks=4, team="borrower", run_ms=HOUR_MS))
    assert len(zone.starts()) == 2
    explanation = zone.explain("long/3")
    assert explanation.rule is WaitRule.TEAM_QUOTA
    assert "team quota" in explanation.text


def test_two_gangs_never_wait_for_each_other():
    zone = Zone(workers=2, cores=4)
    for name in ("one", "two"):
        zone.submit(make_spec(name, tasks=2, cores=4, kind=WorkloadKind.GANG, team=name))
    zone.submit(make_spec("small", tasks=50, cores=1, team="busy", run_ms=2_000))
    finished = set()
    for _ in range(300):
        zone.pass_time(500)
        zone.decide()
        for task in sorted(zone.running)[:2]:
            finished.add(task)
            zone.finish(task)
    assert {"one/0", "one/1", "two/0", "two/1"} <= finished


def test_background_work_that_waited_long_is_not_starved_by_normal_work():
    zone = Zone(workers=1, cores=1)
    zone.submit(make_spec("first", run_ms=HOUR_MS))
    zone.starts()
    zone.submit(make_spec("survey", priority=PriorityClass.BACKGROUND))
    zone.pass_time(HOUR_MS)
    zone.submit(make_spec("late"))
    zone.finish("first/0")
    assert [start.task for start in zone.starts()] == ["survey/0"]


def test_keeps_room_that_urgent_work_used_free_of_work_that_cannot_be_preempted():
    zone = Zone(workers=1, cores=10)
    zone.submit(make_spec("check", tasks=2, priority=PriorityClass.URGENT))
    zone.starts()
    zone.finish("check/0")
    zone.finish("check/1")
    zone.submit(make_spec("firm", tasks=20))
    zone.submit(make_spec("soft", tasks=20, checkpointable=True, team="b"))
    starts = zone.starts()
    assert len([start for start in starts if start.task.startswith("firm")]) <= 8
    assert len(starts) == 10


def test_cancelled_jobs_leave_the_queue():
    zone = Zone(workers=1, cores=1)
    for number in range(300):
        zone.submit(make_spec(f"job{number}", tasks=10, run_ms=5_000))
    zone.starts()
    for number in range(299):
        zone.withdraw(f"job{number}")
    zone.finish(next(iter(zone.running)), requeue=False)
    assert [start.task for start in zone.starts()] == ["job299/0"]
    assert zone.state.waiting == Resources(9_000, 9 * 1_024)


def test_a_job_never_stops_its_own_tasks_to_make_room_for_itself():
    zone = Zone(workers=1, cores=2)
    survey = make_spec(
        "survey",
        tasks=4,
        priority=PriorityClass.BACKGROUND,
        stoppable=True,
        deadline_ms=60_000,
        run_ms=50_000,
    )
    zone.submit(survey)
    assert len(zone.starts()) == 2
    for _ in range(20):
        zone.pass_time(500)
        assert zone.stops() == []
