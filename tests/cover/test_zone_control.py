from dataclasses import replace

import hypothesis.strategies as st
from hypothesis import Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lentilpath_core.ids import JobId, TaskId, WorkerId
from lentilpath_core.placement import StopMode
from lentilpath_core.states import TaskState
from lentilpath_core.workloads import Policy, WorkloadKind
from lentilpath_core.zone.control import SendStop, TimePassed
from lentilpath_core.zone.inbox import SubmitJob
from lentilpath_core.zone.reports import StartAnswer
from tests.common.zone import FakeZone, make_spec, stop_job, submit_and_read

WORKERS = [WorkerId(f"w{i}") for i in range(3)]


def make_ready_zone() -> FakeZone:
    zone = FakeZone()
    zone.run_without_faults(2)
    return zone


def test_runs_every_task_of_a_job_once():
    zone = make_ready_zone()
    submit_and_read(zone, make_spec("rebuild", tasks=20))
    zone.run_without_faults(12)
    assert zone.list_open_tasks() == []
    assert [zone.count_runs(TaskId(f"rebuild/{i}")) for i in range(20)] == [1] * 20


def test_sends_no_start_of_a_nonidempotent_task_before_its_record_is_durable():
    zone = make_ready_zone()
    submit_and_read(zone, make_spec("notice"))
    assert zone.commands == []
    zone.begin_batch()
    assert zone.commands == []
    zone.finish_batch()
    assert len(zone.commands) == 1


def make_zone_with_waiting_tasks() -> FakeZone:
    """Return a zone whose workers are full, with two durable jobs that wait for them."""
    zone = make_ready_zone()
    submit_and_read(zone, make_spec("blocker", 3, 4_000, run_ms=2_000))
    zone.run_without_faults(1)
    zone.submit(SubmitJob(make_spec("notice", 3)))
    zone.submit(SubmitJob(make_spec("check", 1, idempotent=True, run_ms=60_000)))
    zone.run_without_faults(2)
    assert len(zone.list_open_tasks()) == 7
    return zone


def finish_blockers(zone: FakeZone) -> None:
    zone.advance(2_000)
    for name in WORKERS:
        zone.begin_sync(name)
        zone.answer_sync(name)
        zone.finish_sync(name)


def test_starts_waiting_idempotent_tasks_before_their_start_is_durable():
    zone = make_zone_with_waiting_tasks()
    finish_blockers(zone)
    assert [command.spec.job for command in zone.commands] == ["check"]
    zone.begin_batch()
    zone.finish_batch()
    assert len(zone.commands) == 4


def test_sends_no_start_of_a_job_whose_acceptance_is_not_durable():
    zone = make_ready_zone()
    submit_and_read(zone, make_spec("check", idempotent=True))
    zone.begin_batch()
    assert zone.commands == []
    zone.finish_batch()
    assert len(zone.commands) == 1


def test_starts_only_idempotent_tasks_while_the_table_is_away():
    zone = make_zone_with_waiting_tasks()
    zone.set_table_backing(False)
    finish_blockers(zone)
    zone.handle_event(TimePassed())
    assert [command.spec.job for command in zone.commands] == ["check"]
    zone.run_until_ended(max_rounds=300)
    assert zone.list_open_tasks() == []


def test_starts_a_withdrawn_gang_once_the_table_is_back():
    zone = make_ready_zone()
    submit_and_read(zone, make_spec("plan", 3, 4_000, WorkloadKind.GANG))
    zone.run_without_faults(2)
    submit_and_read(zone, make_spec("route", 3, 4_000, WorkloadKind.GANG))
    zone.set_table_backing(False)
    zone.set_table_backing(True)
    zone.run_until_ended(max_rounds=100)
    assert zone.explain_open_tasks() == []


def test_refuses_no_job_for_its_size_before_the_workers_have_answered():
    zone = FakeZone()
    submit_and_read(zone, make_spec("rebuild", 3, 4_000, WorkloadKind.GANG))
    for _ in range(100):
        zone.advance(100)
        zone.handle_event(TimePassed())
    zone.run_until_ended(max_rounds=40)
    assert [zone.count_runs(TaskId(f"rebuild/{i}")) for i in range(3)] == [1, 1, 1]


def test_refuses_to_start_a_job_whose_input_has_become_stale():
    zone = make_ready_zone()
    policy = Policy(input_written_at_ms=zone.now, input_max_age_ms=5_000)
    submit_and_read(zone, make_spec("blocker", 3, 4_000, run_ms=8_000))
    submit_and_read(zone, replace(make_spec("rebuild", 1, 4_000), policy=policy))
    zone.run_until_ended(max_rounds=100)
    assert zone.count_runs(TaskId("rebuild/0")) == 0
    job = zone.controller.zone.jobs[JobId("rebuild")]
    assert job.refused_because is not None
    assert "input" in job.refused_because


def test_holds_recovered_idempotent_tasks_until_every_worker_has_answered():
    zone = make_zone_with_waiting_tasks()
    zone.set_table_backing(False)
    finish_blockers(zone)
    zone.deliver_start(0, answer_lost=False)
    zone.change_leader(batch_applied=False)
    assert zone.count_runs(TaskId("check/0")) == 1
    for name in WORKERS:
        runs_the_task = any(run.task == "check/0" for run in zone.workers[name].runs.values())
        if not runs_the_task:
            zone.begin_sync(name)
            zone.answer_sync(name)
            zone.finish_sync(name)
    zone.handle_event(TimePassed())
    assert "check" not in [command.spec.job for command in zone.commands]
    zone.run_until_ended(max_rounds=400)
    assert zone.count_runs(TaskId("check/0")) == 1


def test_starts_tasks_at_once_that_a_change_of_leader_left_unstarted():
    zone = make_ready_zone()
    submit_and_read(zone, make_spec("rebuild", 12, run_ms=60_000))
    zone.begin_batch()
    zone.finish_batch()
    zone.commands.clear()
    zone.change_leader(batch_applied=True)
    zone.run_without_faults(4)
    assert [zone.count_runs(TaskId(f"rebuild/{i}")) for i in range(12)] == [1] * 12


def test_gives_up_a_worker_that_never_answers_again():
    zone = make_ready_zone()
    submit_and_read(zone, make_spec("check", 12, idempotent=True, run_ms=3_000))
    zone.run_without_faults(2)
    zone.unresponsive_workers.add(WORKERS[0])
    zone.run_until_ended(max_rounds=200)
    assert zone.explain_open_tasks() == []


def test_tries_no_second_start_on_a_worker_that_was_not_reached():
    zone = make_ready_zone()
    submit_and_read(zone, make_spec("notice"))
    zone.begin_batch()
    zone.finish_batch()
    command = zone.commands.pop()
    unreached = command.effect.worker
    zone.answer_start(command, StartAnswer.UNREACHED)
    zone.begin_batch()
    zone.finish_batch()
    assert [command.effect.worker != unreached for command in zone.commands] == [True]
    zone.run_until_ended(max_rounds=20)
    assert zone.list_open_tasks() == []


def test_does_not_rerun_a_nonidempotent_task_that_was_stopped_halfway():
    zone = make_ready_zone()
    submit_and_read(zone, make_spec("notice", run_ms=60_000))
    zone.run_without_faults(2)
    worker = next(w for w in zone.workers.values() if w.runs)
    zone.stops.append(SendStop(worker.name, TaskId("notice/0"), 1, StopMode.STOP))
    zone.run_without_faults(20)
    record = zone.controller.zone.find_task(TaskId("notice/0"))
    assert record is not None
    assert record.state is TaskState.UNKNOWN
    assert zone.count_runs(TaskId("notice/0")) == 1


def test_reports_a_lost_nonidempotent_task_as_of_unknown_outcome():
    zone = make_ready_zone()
    submit_and_read(zone, make_spec("notice", run_ms=60_000))
    zone.run_without_faults(3)
    for worker in zone.workers.values():
        worker.restart(zone.now)
        worker.ask_all = True
    zone.run_without_faults(3)
    record = zone.controller.zone.find_task(TaskId("notice/0"))
    assert record is not None
    assert record.state is TaskState.UNKNOWN
    assert zone.count_runs(TaskId("notice/0")) == 1


def test_starts_a_task_again_whose_start_never_arrived():
    zone = make_ready_zone()
    submit_and_read(zone, make_spec("notice"))
    zone.begin_batch()
    zone.finish_batch()
    zone.report_unclear_start(0)
    zone.commands.clear()
    zone.advance(1_100)
    zone.run_without_faults(6)
    assert zone.list_open_tasks() == []
    assert zone.count_runs(TaskId("notice/0")) == 1


def test_does_not_treat_a_start_as_lost_after_a_report_older_than_the_start():
    zone = make_ready_zone()
    for name in WORKERS:
        zone.workers[name].ask_all = True
        zone.begin_sync(name)
        zone.answer_sync(name)
    submit_and_read(zone, make_spec("notice"))
    zone.begin_batch()
    zone.finish_batch()
    zone.deliver_start(0, answer_lost=False)
    for name in WORKERS:
        zone.finish_sync(name)
    zone.run_without_faults(6)
    assert zone.count_runs(TaskId("notice/0")) == 1


def test_answers_a_repeated_command_without_a_second_effect():
    zone = make_ready_zone()
    submit_and_read(zone, make_spec("rebuild"))
    zone.read_inbox()
    zone.run_without_faults(4)
    zone.inbox["c1"] = zone.inbox.get("c1") or _resubmit(zone)
    zone.run_without_faults(4)
    assert zone.count_runs(TaskId("rebuild/0")) == 1


def _resubmit(zone: FakeZone):
    command = zone.submit(SubmitJob(make_spec("rebuild")))
    return zone.inbox.pop(command)


def test_a_stopped_job_starts_nothing_more():
    zone = make_ready_zone()
    submit_and_read(zone, make_spec("rebuild", tasks=40, run_ms=60_000))
    zone.run_without_faults(2)
    stop_job(zone, "rebuild")
    zone.run_without_faults(4)
    assert zone.list_open_tasks() == []
    assert all(worker.get_used().millicores == 0 for worker in zone.workers.values())


class LeadersAndWorkers(RuleBasedStateMachine):
    """Under any faults no task runs twice at once, no worker is overcommitted and every job ends.

    A non-idempotent task runs at most once, unless its worker is known to have cut the run short.
    """

    def __init__(self):
        super().__init__()
        self.zone = FakeZone()
        self.jobs = 0
        self.restarted = False

    @rule(
        tasks=st.integers(1, 6),
        millicores=st.sampled_from([500, 1_000, 2_000, 4_000]),
        gang=st.booleans(),
        idempotent=st.booleans(),
        run_ms=st.sampled_from([200, 2_000, 20_000]),
    )
    def submit(self, tasks, millicores, gang, idempotent, run_ms):
        self.jobs += 1
        kind = WorkloadKind.GANG if gang else WorkloadKind.BATCH
        count = min(tasks, 3) if gang else tasks
        spec = make_spec(f"j{self.jobs}", count, millicores, kind, idempotent, run_ms)
        self.zone.submit(SubmitJob(spec))

    @precondition(lambda self: self.jobs > 0)
    @rule(data=st.data())
    def stop(self, data):
        stop_job(self.zone, f"j{data.draw(st.integers(1, self.jobs))}")

    @rule(ms=st.sampled_from([50, 300, 1_200, 4_000, 11_000]))
    def pass_time(self, ms):
        self.zone.advance(ms)
        self.zone.handle_event(TimePassed())

    @rule()
    def read_inbox(self):
        self.zone.read_inbox()

    @rule()
    def begin_batch(self):
        self.zone.begin_batch()

    @rule()
    def finish_batch(self):
        self.zone.finish_batch()

    @precondition(lambda self: self.zone.commands)
    @rule(data=st.data(), lost=st.booleans())
    def deliver_start(self, data, lost):
        index = data.draw(st.integers(0, len(self.zone.commands) - 1))
        self.zone.deliver_start(index, lost)

    @precondition(lambda self: self.zone.commands)
    @rule(data=st.data())
    def lose_start(self, data):
        self.zone.report_unclear_start(data.draw(st.integers(0, len(self.zone.commands) - 1)))

    @rule(name=st.sampled_from(WORKERS))
    def begin_sync(self, name):
        self.zone.begin_sync(name)

    @rule(name=st.sampled_from(WORKERS))
    def answer_sync(self, name):
        self.zone.answer_sync(name)

    @rule(name=st.sampled_from(WORKERS))
    def finish_sync(self, name):
        self.zone.finish_sync(name)

    @rule(name=st.sampled_from(WORKERS))
    def sync_whole(self, name):
        self.zone.begin_sync(name)
        self.zone.answer_sync(name)
        self.zone.finish_sync(name)

    @rule()
    def deliver_stops(self):
        self.zone.deliver_stops()

    @rule(name=st.sampled_from(WORKERS))
    def restart_worker(self, name):
        self.zone.workers[name].restart(self.zone.now)
        self.zone.workers[name].ask_all = True

    @rule(applied=st.booleans())
    def change_leader(self, applied):
        self.zone.change_leader(applied)

    @rule(by_table=st.booleans())
    def change_table(self, by_table):
        self.zone.set_table_backing(by_table)

    @rule()
    def work_quietly(self):
        self.zone.run_without_faults(1)

    @invariant()
    def runs_nonidempotent_tasks_at_most_once(self):
        for job in self.zone.controller.zone.jobs.values():
            if job.spec.policy.idempotent:
                continue
            for task in job.tasks:
                runs = [
                    run
                    for worker in self.zone.workers.values()
                    for run in worker.history
                    if run.task == task
                ]
                # Another run may follow one that its worker is known to have cut short.
                unproven = [run for run in runs if run.state.value in ("running", "succeeded")]
                assert len(unproven) <= 1, f"{task} ran {len(unproven)} times"

    def teardown(self):
        self.zone.run_until_ended(max_rounds=4_000)
        assert self.zone.inbox == {}
        assert self.zone.explain_open_tasks() == []


LeadersAndWorkers.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=60,
    phases=[Phase.explicit, Phase.generate],
)
test_survives_any_mix_of_faults = LeadersAndWorkers.TestCase
