from lentilpath_core.ids import JobId, WorkerId
from lentilpath_core.placement import AttemptFinished, TaskFound, WaitRule, WorkerRemoved
from lentilpath_core.resources import Resources
from lentilpath_core.states import AttemptOutcome, WorkerState
from lentilpath_core.workloads import PriorityClass, WorkloadKind
from tests.common.placements import Zone, make_spec


def run_rounds(zone, rounds, bad_workers=(), bad_jobs=()):
    """Run rounds in which every running task ends, and return the number of starts by worker.

    Tasks on bad workers and tasks of bad jobs fail, all others succeed.
    """
    starts_by_worker: dict[str, int] = {}
    for _ in range(rounds):
        zone.pass_time(1_000)
        for start in zone.starts():
            starts_by_worker[start.worker] = starts_by_worker.get(start.worker, 0) + 1
        for task, start in tuple(zone.running.items()):
            failing = start.worker in bad_workers or task.partition("/")[0] in bad_jobs
            zone.finish(task, AttemptOutcome.FAILED if failing else AttemptOutcome.SUCCEEDED)
    return starts_by_worker


def test_quarantines_a_worker_that_fails_all_and_readmits_it_when_a_probe_succeeds():
    zone = Zone(workers=4, cores=2)
    zone.submit(make_spec("work", tasks=5_000, retry_limit=100))
    run_rounds(zone, 20, bad_workers={"w1"})
    assert zone.state.workers[WorkerId("w1")].quarantined_until is not None
    starts = run_rounds(zone, 120, bad_workers={"w1"})
    assert starts.get("w1", 0) <= 4
    assert starts["w0"] > 100
    run_rounds(zone, 400)
    assert zone.state.workers[WorkerId("w1")].quarantined_until is None
    assert run_rounds(zone, 10)["w1"] > 10


def test_holds_back_work_that_fails_everywhere_and_refuses_it_in_the_end():
    zone = Zone(workers=6, cores=4)
    zone.submit(make_spec("broken", tasks=100, retry_limit=1_000))
    starts = run_rounds(zone, 30, bad_jobs={"broken"})
    assert zone.explain("broken/99").rule is WaitRule.HELD_BACK
    assert all(worker.quarantined_until is None for worker in zone.state.workers.values())
    assert sum(starts.values()) < 60
    refusals = []
    for _ in range(200):
        zone.pass_time(60_000)
        refusals += zone.refusals()
        for task in tuple(zone.running):
            zone.finish(task, AttemptOutcome.FAILED)
    assert [refusal.job for refusal in refusals] == ["broken"]


def test_one_success_releases_work_that_was_held_back():
    zone = Zone(workers=6, cores=4)
    zone.submit(make_spec("flaky", tasks=100, retry_limit=1_000))
    run_rounds(zone, 10, bad_jobs={"flaky"})
    assert zone.explain("flaky/99").rule is WaitRule.HELD_BACK
    starts = run_rounds(zone, 120)
    assert sum(starts.values()) >= 100


def test_a_failed_task_waits_longer_after_each_failure_and_tries_another_worker():
    zone = Zone(workers=2, cores=1)
    zone.submit(make_spec("flaky", retry_limit=10))
    (first,) = zone.starts()
    zone.finish("flaky/0", AttemptOutcome.FAILED)
    assert zone.starts() == []
    assert zone.explain("flaky/0").rule is WaitRule.BACKOFF
    zone.pass_time(1_600)
    (second,) = zone.starts()
    assert second.worker != first.worker
    assert second.attempt == first.attempt + 1


def test_a_recovering_zone_limits_its_retries():
    zone = Zone(workers=4, cores=100, memory_mib=1 << 20)
    zone.submit(make_spec("many", tasks=400, idempotent=True))
    assert len(zone.starts()) == 400
    for task in tuple(zone.running):
        zone.finish(task, AttemptOutcome.LOST)
    assert len(zone.starts()) < 50
    zone.pass_time(10_000)
    assert 20 <= len(zone.starts()) < 100
    zone.pass_time(200_000)
    zone.decide()
    assert len(zone.running) == 400


def test_a_draining_worker_never_takes_a_service_below_its_minimum():
    zone = Zone(workers=4, cores=2)
    spec = make_spec("web", tasks=4, cores=2, kind=WorkloadKind.SERVICE, min_replicas=4)
    zone.submit(spec)
    zone.starts()
    drain(zone, "w0")
    assert zone.stops() == []


def test_moves_replicas_off_a_draining_worker_one_at_a_time():
    zone = Zone(workers=4, cores=4)
    zone.submit(make_spec("web", tasks=4, kind=WorkloadKind.SERVICE, min_replicas=3))
    zone.starts()
    drain(zone, zone.running["web/0"].worker)
    (stop,) = zone.stops()
    assert zone.stops() == []
    zone.finish(stop.task, AttemptOutcome.STOPPED)
    (start,) = zone.starts()
    assert start.worker != stop.worker


def test_a_replica_that_was_not_seen_running_does_not_count():
    zone = Zone(workers=2, cores=4, racks=1)
    zone.submit(make_spec("web", tasks=2, kind=WorkloadKind.SERVICE, min_replicas=1))
    zone.starts()
    zone.report("web/0")
    drain(zone, zone.running["web/0"].worker, report_tasks=False)
    assert zone.stops() == []
    zone.report("web/1")
    assert len(zone.stops()) == 1


def drain(zone, name, report_tasks=True):
    for task in tuple(zone.running) if report_tasks else ():
        zone.report(task)
    worker = zone.state.workers[name]
    zone.offer(name, worker.rack, worker.capacity, WorkerState.DRAINING)


def test_a_worker_that_is_offered_after_its_tasks_were_found_has_the_room_they_leave():
    """Tasks found before their worker joined made its preemptible resources negative."""
    zone = Zone(workers=0)
    spec = make_spec("found", tasks=3, checkpointable=True)
    for task in spec.list_tasks():
        zone.handle_event(TaskFound(spec, task, 1, WorkerId("late")))
    zone.offer("late", "r0", Resources(4_000, 8_192))
    worker = zone.state.workers[WorkerId("late")]
    assert worker.free == Resources(1_000, 5_120)
    assert worker.preemptible[PriorityClass.NORMAL] == Resources(3_000, 3_072)
    for task in spec.list_tasks():
        outcome = AttemptOutcome.SUCCEEDED
        zone.handle_event(AttemptFinished(task, 1, WorkerId("late"), outcome, 1_000))
    assert worker.free == worker.capacity
    assert worker.preemptible[PriorityClass.NORMAL] == Resources()


def test_a_task_keeps_its_room_while_its_worker_is_away():
    zone = Zone(workers=1, cores=4)
    zone.submit(make_spec("work", tasks=3))
    zone.starts()
    zone.handle_event(WorkerRemoved(WorkerId("w0")))
    zone.offer("w0", "r0", Resources(4_000, 8_192))
    assert zone.state.workers[WorkerId("w0")].free == Resources(1_000, 5_120)
    assert zone.state.jobs[JobId("work")].tasks_per_rack == {"r0": 3}


def test_removed_workers_leave_no_state_behind():
    zone = Zone(workers=2)
    for number in range(50):
        zone.offer(f"x{number}", "r0", Resources(4_000, 8_192))
        zone.handle_event(WorkerRemoved(WorkerId(f"x{number}")))
    state = zone.state
    assert len(state.workers_by_ordinal) == 3
    assert (len(state.workers), sum(state.capacities.values()), len(state.plain_index)) == (2, 2, 2)


def test_asks_again_for_a_stop_that_had_no_effect():
    zone = Zone(workers=4, cores=4)
    zone.submit(make_spec("web", tasks=2, kind=WorkloadKind.SERVICE))
    zone.starts()
    drain(zone, zone.running["web/0"].worker)
    (stop,) = zone.stops()
    zone.pass_time(29_000)
    assert zone.stops() == []
    zone.pass_time(1_000)
    assert zone.stops() == [stop]
