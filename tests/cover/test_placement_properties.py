from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lentilpath_core.ids import TaskId, TeamId, WallTime, get_job_of_task
from lentilpath_core.placement import QuotaSet, StopTask, WaitRule, find_refusal
from lentilpath_core.resources import NO_RESOURCES, Resources
from lentilpath_core.states import AttemptOutcome, WorkerState
from lentilpath_core.workloads import PriorityClass, Strategy, WorkloadKind
from tests.common.placements import Zone, make_spec

CAPACITY = Resources(4_000, 8_192)
TEAMS = st.sampled_from(["a", "b", "c"])
OUTCOMES = st.sampled_from(
    [AttemptOutcome.SUCCEEDED] * 3 + [AttemptOutcome.FAILED, AttemptOutcome.LOST]
)


class AnyLoad(RuleBasedStateMachine):
    """After any sequence of events, allocations fit in the workers and gangs have started whole."""

    def __init__(self):
        super().__init__()
        self.zone = Zone(workers=4, cores=4, memory_mib=8_192)
        self.stops = {}
        self.withdrawn = set()
        self.number = 0

    @rule(
        kind=st.sampled_from(WorkloadKind),
        priority=st.sampled_from(PriorityClass),
        strategy=st.sampled_from(Strategy),
        tasks=st.integers(1, 6),
        cores=st.integers(1, 5),
        team=TEAMS,
        checkpointable=st.booleans(),
        stoppable=st.booleans(),
        run_ms=st.sampled_from([500, 30_000, 3_600_000]),
        deadline_ms=st.sampled_from([None, 60_000]),
        workload=st.sampled_from(["", "shared"]),
    )
    def submit(self, kind, tasks, cores, team, run_ms, workload, **policy):
        self.number += 1
        spec = make_spec(
            f"j{self.number}",
            tasks,
            cores,
            kind=kind,
            team=team,
            run_ms=run_ms,
            workload=workload,
            **policy,
        )
        self.zone.submit(spec)

    @rule()
    def decide(self):
        before = set(self.zone.running)
        waiting = {
            name: set(job.waiting) | set(job.delayed) for name, job in self.zone.state.jobs.items()
        }
        for decision in self.zone.decide():
            if isinstance(decision, StopTask):
                assert decision.task in before, "only a running task is stopped"
                self.stops[(decision.task, decision.attempt)] = decision
        self.check_gangs(set(self.zone.running) - before, waiting)

    def check_gangs(self, started, waiting):
        for job in {get_job_of_task(task) for task in started}:
            if self.zone.specs[job].kind is WorkloadKind.GANG:
                ready = {task for task in waiting[job] if get_job_of_task(task) == job}
                left = set(self.zone.state.jobs[job].waiting)
                assert not left, f"{job} started {started & ready} and left {left} waiting"

    @precondition(lambda self: self.zone.running)
    @rule(data=st.data(), outcome=OUTCOMES)
    def finish(self, data, outcome):
        task = data.draw(st.sampled_from(sorted(self.zone.running)))
        again = outcome is not AttemptOutcome.SUCCEEDED
        self.zone.finish(
            task, outcome, requeue=again and get_job_of_task(task) not in self.withdrawn
        )

    @precondition(lambda self: self.stops)
    @rule()
    def end_stopped(self):
        stops, self.stops = self.stops, {}
        for (task, attempt), _ in stops.items():
            running = self.zone.running.get(task)
            if running is not None and running.attempt == attempt:
                again = get_job_of_task(task) not in self.withdrawn
                self.zone.finish(task, AttemptOutcome.STOPPED, requeue=again)

    @precondition(lambda self: self.zone.specs)
    @rule(data=st.data())
    def withdraw(self, data):
        job = data.draw(st.sampled_from(sorted(self.zone.specs)))
        self.withdrawn.add(job)
        self.zone.withdraw(job)

    @precondition(lambda self: self.zone.running)
    @rule(data=st.data(), cores=st.integers(1, 5), memory_mib=st.sampled_from([512, 4_096]))
    def report(self, data, cores, memory_mib):
        self.zone.report(data.draw(st.sampled_from(sorted(self.zone.running))), cores, memory_mib)

    @rule(
        number=st.integers(0, 3), state=st.sampled_from([WorkerState.ACTIVE] * 2 + [*WorkerState])
    )
    def offer(self, number, state):
        self.zone.offer(f"w{number}", f"r{number % 2}", CAPACITY, state)

    @rule(team=TEAMS, cores=st.integers(0, 8))
    def set_quota(self, team, cores):
        self.zone.handle_event(QuotaSet(TeamId(team), Resources(cores * 1_000, cores * 2_048)))

    @rule(milliseconds=st.sampled_from([50, 1_000, 15_000, 100_000, 4_000_000]))
    def pass_time(self, milliseconds):
        self.zone.pass_time(milliseconds)

    @invariant()
    def worker_allocations_fit_in_capacity(self):
        for worker in self.zone.state.workers.values():
            allocated = NO_RESOURCES
            for allocation in worker.allocations.values():
                allocated += allocation.resources
            assert allocated.fits_in(worker.capacity)
            assert worker.free == worker.capacity - allocated
            reserved = NO_RESOURCES
            for reservation in worker.reservations:
                reserved += reservation.task_resources.multiply(
                    reservation.tasks_per_worker[worker.worker]
                )
            assert worker.unreserved == worker.free - reserved

    @invariant()
    def aggregates_match_allocations(self):
        state = self.zone.state
        used = waiting = NO_RESOURCES
        for allocation in state.allocations.values():
            used += allocation.resources
        for job in state.jobs.values():
            waiting += job.spec.resources.multiply(len(job.waiting))
        assert state.allocated == used
        assert state.waiting == waiting
        assert set(state.allocations) == set(self.zone.running)

    @invariant()
    def every_waiting_task_has_a_reason(self):
        for job in self.zone.state.jobs.values():
            for task in (*job.waiting, *job.delayed):
                assert self.zone.explain(task).text

    def teardown(self):
        """Run all work to its end; a task may be left waiting only for a valid reason."""
        zone = self.zone
        for number in range(4):
            self.offer(number, WorkerState.ACTIVE)
        for _ in range(150):
            zone.pass_time(30_000)
            self.decide()
            self.end_stopped()
            for task in sorted(zone.running):
                if zone.specs[get_job_of_task(TaskId(task))].kind is not WorkloadKind.SERVICE:
                    zone.finish(task)
        services = any(spec.kind is WorkloadKind.SERVICE for spec in zone.specs.values())
        for job in zone.state.jobs.values():
            for task in (*job.waiting, *job.delayed):
                # Long work may wait forever for resources that are guaranteed to other teams, and
                # work declared larger than the zone waits for workers to join.
                explanation = zone.explain(task)
                valid_reason = explanation.rule is WaitRule.TEAM_QUOTA
                if self.is_too_large(job.spec):
                    valid_reason = explanation.rule is WaitRule.TOO_LARGE
                assert services or valid_reason, (job.spec, explanation)

    def is_too_large(self, spec):
        if spec.kind is WorkloadKind.GANG:
            return True  # The gang's learned size may be too large even if that of one task is not.
        return find_refusal(spec, [CAPACITY], WallTime(0)) is not None


TestAnyLoad = AnyLoad.TestCase
TestAnyLoad.settings = settings(max_examples=40, stateful_step_count=30)
