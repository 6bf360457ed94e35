"""Carries out what the decision core of a term has decided."""

from __future__ import annotations

from functools import singledispatchmethod

from lentilpath_core.ids import Epoch
from lentilpath_core.pool import (
    AskAdvice,
    BlameRuns,
    ClearRun,
    DeleteJob,
    ForgetCrash,
    GiveUpRun,
    PaceRun,
    PoolEffect,
    PoolState,
    RecordFinal,
    RecordRun,
    RecordWorkers,
    ReleaseWorker,
    StartRun,
    StopRun,
)
from lentilpathd._events import Event, log_event
from lentilpathd._metrics import Metric
from lentilpathd._pool._advice import AdviceDispatcher
from lentilpathd._pool._context import PoolContext
from lentilpathd._pool._records import format_task, make_run_key
from lentilpathd._pool._removal import JobRemover
from lentilpathd._pool._worker_links import WorkerLinks
from lentilpathd._pool._writer import RecordWriter

RunEffect = StartRun | StopRun | PaceRun | GiveUpRun | ClearRun


class EffectExecutor:
    """Sends, records, counts and logs the effects of one term."""

    def __init__(
        self,
        context: PoolContext,
        epoch: Epoch,
        state: PoolState,
        links: WorkerLinks,
        writer: RecordWriter,
        remover: JobRemover,
        advice: AdviceDispatcher,
    ) -> None:
        self._context = context
        self._epoch = epoch
        self._state = state
        self._links = links
        self._writer = writer
        self._remover = remover
        self._advice = advice

    @singledispatchmethod
    def execute(self, effect: PoolEffect) -> None:
        """Carry out one effect."""
        raise TypeError(f"unknown pool effect: {effect!r}")

    @execute.register
    def _(self, effect: StartRun) -> None:
        queue = self._state.jobs[effect.task.job].record.queue
        self._context.metrics.count(Metric.RUN_STARTED, queue, str(effect.tier))
        self._context.metrics.record_time(Metric.START_WAIT, effect.waited_ms, queue)
        self._log_run(
            Event.RUN_STARTED,
            effect,
            life=effect.life,
            waited_ms=effect.waited_ms,
            tier=effect.tier,
            resumed=bool(effect.checkpoint),
            config=self._state.configuration.version,
        )
        link = self._links.get(effect.worker, effect.life)
        if link is not None:
            link.send_start(effect)

    @execute.register
    def _(self, effect: StopRun) -> None:
        link = self._links.get(effect.worker, effect.life)
        if link is None:
            # The run may be on a life of the worker that was listed only just now.
            self._links.open_missing()
            link = self._links.get(effect.worker, effect.life)
        if link is not None and not link.send_stop(effect):
            return
        self._context.metrics.count(Metric.RUN_STOPPED, effect.reason.value)
        self._log_run(Event.RUN_STOPPED, effect, life=effect.life, reason=effect.reason.value)

    @execute.register
    def _(self, effect: GiveUpRun) -> None:
        link = self._links.get(effect.worker, effect.life)
        if link is not None:
            link.cancel_start(effect.task, effect.run)
        self._context.metrics.count(Metric.RUN_GIVEN_UP, effect.reason.value)
        self._log_run(
            Event.RUN_GIVEN_UP,
            effect,
            life=effect.life,
            reason=effect.reason.value,
            confirmed=effect.is_confirmed,
            report_age_ms=effect.report_age_ms,
            suspected=effect.is_suspected,
        )

    @execute.register
    def _(self, effect: ClearRun) -> None:
        self._log_run(Event.RUN_CLEARED, effect, life=effect.life)

    @execute.register
    def _(self, effect: BlameRuns) -> None:
        log_event(
            Event.RUNS_BLAMED,
            worker=effect.worker,
            life=effect.life,
            evidence=effect.evidence.value,
            runs=[f"{format_task(task)} run {run}" for task, run in effect.runs],
            epoch=self._epoch,
        )

    @execute.register
    def _(self, effect: PaceRun) -> None:
        self._log_run(Event.RUN_PACED, effect, percent=effect.percent)
        link = self._links.get(effect.worker, effect.life)
        if link is not None:
            link.send_pace(effect)

    @execute.register
    def _(self, effect: ForgetCrash) -> None:
        self._writer.forget_end(make_run_key(effect.task, effect.run, effect.end))

    @execute.register
    def _(self, effect: DeleteJob) -> None:
        self._remover.queue(effect.job)

    @execute.register
    def _(self, effect: AskAdvice) -> None:
        self._advice.queue(effect)

    @execute.register
    def _(self, effect: RecordRun | RecordFinal | RecordWorkers) -> None:
        self._writer.queue(effect)
        if isinstance(effect, RecordRun):
            self._context.metrics.count(Metric.RUN_ENDED, effect.record.end.value)
        elif isinstance(effect, RecordFinal):
            self._context.metrics.count(Metric.JOB_ENDED, effect.final.state.value)

    @execute.register
    def _(self, effect: ReleaseWorker) -> None:
        log_event(Event.WORKER_RELEASED, worker=effect.worker, life=effect.life)
        self._links.close(effect.worker, effect.life)

    def _log_run(self, event: Event, effect: RunEffect, **more: object) -> None:
        log_event(
            event,
            task=format_task(effect.task),
            run=effect.run,
            worker=effect.worker,
            epoch=self._epoch,
            **more,
        )
