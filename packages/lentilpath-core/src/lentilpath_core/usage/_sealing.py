"""Usage lines of a period, and corrections of earlier periods."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from lentilpath_core.ids import CustomerId, WallTime, get_job_of_task
from lentilpath_core.language import format_time
from lentilpath_core.usage._intervals import (
    Gap,
    Interval,
    get_attempt_key,
    list_gaps,
    list_intervals,
)
from lentilpath_core.usage._ledger import ALLOWED_LATENESS_MS, PERIOD_MS, Ledger
from lentilpath_core.usage._messages import (
    BilledSpan,
    JobTerms,
    LineKind,
    TaskAccount,
    UsageLine,
)
from lentilpath_core.usage._prices import PriceRule, ResourceTime, compute_charge_units

FindPriceRule = Callable[[CustomerId], PriceRule]
"""Returns the price rule of a customer."""
PERIOD_NAME_LENGTH = len("2026-12-01T05:00")


@dataclass(frozen=True, slots=True)
class _TaskBilling:
    """Values shared by all lines of one task."""

    ledger: Ledger
    account: TaskAccount
    terms: JobTerms
    rule: PriceRule


def can_seal_period(ledger: Ledger, now: WallTime) -> bool:
    """Return whether the oldest unsealed period can be sealed at `now`."""
    return now >= ledger.period + PERIOD_MS + ALLOWED_LATENESS_MS


def format_period(period: WallTime) -> str:
    """Return the name of the period that starts at `period`, such as `2026-12-01T0510`."""
    return format_time(period)[:PERIOD_NAME_LENGTH].replace(":", "")


def iterate_open_lines(
    ledger: Ledger, find_rule: FindPriceRule, now: WallTime, customer: CustomerId | None = None
) -> Iterator[list[UsageLine]]:
    """Yield, task by task, the lines that are not sealed yet, of one customer or of all.

    This does not change the ledger, which must not be changed until the iteration ends.
    """
    for task in _iterate_changed_tasks(ledger, find_rule, customer):
        lines: list[UsageLine] = []
        start = ledger.period
        while start < now:
            end = WallTime(min(start + PERIOD_MS, now))
            lines.extend(_list_period_lines(task, start, end, now))
            start = WallTime(start + PERIOD_MS)
        lines.extend(_list_corrections(task, now))
        yield lines


def list_open_lines(
    ledger: Ledger, find_rule: FindPriceRule, now: WallTime
) -> tuple[UsageLine, ...]:
    """Return all lines of `iterate_open_lines`."""
    return tuple(line for lines in iterate_open_lines(ledger, find_rule, now) for line in lines)


def seal_period_by_task(ledger: Ledger, find_rule: FindPriceRule) -> Iterator[list[UsageLine]]:
    """Seal the oldest unsealed period: yield its lines task by task and record them as billed.

    The period is sealed when the iteration ends; the ledger must not be used otherwise until then.
    """
    start = ledger.period
    end = WallTime(start + PERIOD_MS)
    for task in _iterate_changed_tasks(ledger, find_rule, None):
        yield [*_list_period_lines(task, start, end, end), *_list_corrections(task, end)]
        _record_billed(task, start, end)
        task.account.changed = _may_bill_more(task, end)
    ledger.period = end


def seal_period(ledger: Ledger, find_rule: FindPriceRule) -> tuple[UsageLine, ...]:
    """Return all lines of `seal_period_by_task`."""
    return tuple(line for lines in seal_period_by_task(ledger, find_rule) for line in lines)


def _iterate_changed_tasks(
    ledger: Ledger, find_rule: FindPriceRule, customer: CustomerId | None
) -> Iterator[_TaskBilling]:
    for account in ledger.tasks.values():
        if not account.changed:
            continue
        terms = ledger.jobs.get(get_job_of_task(account.task))
        if terms is not None and customer in (None, terms.customer):
            yield _TaskBilling(ledger, account, terms, find_rule(terms.customer))


def _may_bill_more(task: _TaskBilling, end: WallTime) -> bool:
    facts = task.account.facts.values()
    return any(not fact.outcome or max(fact.ended_at, fact.decided_at) >= end for fact in facts)


def _list_task_intervals(task: _TaskBilling, now: WallTime) -> tuple[Interval, ...]:
    return list_intervals(task.account.facts.values(), now, task.account.floor_at)


def _list_period_lines(
    task: _TaskBilling, start: WallTime, end: WallTime, now: WallTime
) -> list[UsageLine]:
    intervals = _list_task_intervals(task, now)
    lines: list[UsageLine] = []
    for interval in intervals:
        started_at = max(interval.started_at, start)
        ended_at = min(interval.ended_at, end)
        if started_at < ended_at:
            held_ms = ended_at - started_at
            lines.append(
                _make_line(task, start, interval, LineKind.HELD, started_at, ended_at, held_ms)
            )
        elif _is_empty_line_due(task, interval, start, end):
            at = interval.started_at
            kind = LineKind.HELD if interval.fact.started_at > 0 else LineKind.UNREPORTED
            lines.append(_make_line(task, start, interval, kind, at, at, 0))
    for gap in list_gaps(intervals):
        if _is_gap_due(task, gap, start, end):
            lines.append(_make_gap_line(task, start, gap))
    return lines


def _is_empty_line_due(
    task: _TaskBilling, interval: Interval, start: WallTime, end: WallTime
) -> bool:
    # An attempt of zero length has its line in the period of its decision or, if that period is
    # already sealed, in the oldest unsealed one.
    if interval.ended_at > interval.started_at or not interval.fact.outcome:
        return False
    if _get_interval_key(interval) in task.account.billed:
        return False
    at = max(interval.started_at, task.ledger.period)
    return start <= at < end


def _is_gap_due(task: _TaskBilling, gap: Gap, start: WallTime, end: WallTime) -> bool:
    shown = task.account.gaps.get(_get_interval_key(gap.after))
    at = max(gap.after.started_at, task.ledger.period)
    return start <= at < end and shown != (gap.before.ended_at, gap.after.started_at)


def _list_corrections(task: _TaskBilling, now: WallTime) -> list[UsageLine]:
    """Return correction lines for the differences between the billed and the known times."""
    lines: list[UsageLine] = []
    for interval in _list_task_intervals(task, now):
        spans = _get_spans(task, interval)
        held = _measure_overlaps(interval, spans, task.ledger.period)
        for number, (span, held_ms) in enumerate(zip(spans, held, strict=True), 1):
            if held_ms != span.held_ms:
                lines.append(_make_correction(task, interval, span, held_ms, number))
    return lines


def _get_spans(task: _TaskBilling, interval: Interval) -> list[BilledSpan]:
    spans = task.account.billed.get(_get_interval_key(interval))
    if spans:
        return spans
    period = task.ledger.period
    return [BilledSpan(task.rule, period, period, 0)]


def _measure_overlaps(
    interval: Interval, spans: list[BilledSpan], period: WallTime
) -> tuple[int, ...]:
    # Each span covers the time since the end of the span before it; the first span also covers all
    # earlier time, and the last one extends to `period`.
    held: list[int] = []
    start = WallTime(0)
    for index, span in enumerate(spans):
        is_last = index == len(spans) - 1
        end = period if is_last else span.ended_at
        overlap = min(interval.ended_at, end) - max(interval.started_at, start)
        held.append(max(0, overlap))
        start = end
    return tuple(held)


def _record_billed(task: _TaskBilling, start: WallTime, end: WallTime) -> None:
    intervals = _list_task_intervals(task, end)
    for interval in intervals:
        key = _get_interval_key(interval)
        billed = task.account.billed.get(key, [])
        holds_nothing = interval.ended_at <= interval.started_at
        if holds_nothing and not interval.fact.outcome and not billed:
            continue
        if interval.started_at >= end and not billed:
            continue
        held = _measure_overlaps(interval, billed, start)
        spans = [
            BilledSpan(span.rule, span.started_at, span.ended_at, held_ms)
            for span, held_ms in zip(billed, held, strict=True)
        ]
        before_ms = max(0, min(interval.ended_at, start) - interval.started_at)
        unbilled_ms = before_ms - sum(held)
        period_ms = max(0, min(interval.ended_at, end) - max(interval.started_at, start))
        task.account.billed[key] = _extend_spans(
            spans, task.rule, start, end, period_ms + unbilled_ms
        )
    for gap in list_gaps(intervals):
        if gap.after.started_at < end:
            shown = (gap.before.ended_at, gap.after.started_at)
            task.account.gaps[_get_interval_key(gap.after)] = shown


def _extend_spans(
    spans: list[BilledSpan], rule: PriceRule, start: WallTime, end: WallTime, held_ms: int
) -> list[BilledSpan]:
    if held_ms == 0:
        return spans
    if spans and spans[-1].rule == rule:
        last = spans[-1]
        extended = BilledSpan(rule, last.started_at, end, last.held_ms + held_ms)
        return [*spans[:-1], extended]
    return [*spans, BilledSpan(rule, start, end, held_ms)]


def _make_line(
    task: _TaskBilling,
    period: WallTime,
    interval: Interval,
    kind: LineKind,
    started_at: WallTime,
    ended_at: WallTime,
    held_ms: int,
    *,
    suffix: str = "",
    cause: str | None = None,
    rule: PriceRule | None = None,
    corrects: str = "",
) -> UsageLine:
    terms = task.terms
    fact = interval.fact
    rule = rule or task.rule
    attempt_id = f"{task.account.task}:{_get_interval_key(interval)}"
    amounts = ResourceTime(
        held_ms * terms.millicores, held_ms * terms.memory_mib, held_ms * terms.accelerators
    )
    return UsageLine(
        line=f"{task.ledger.zone}:{format_period(period)}:{attempt_id}{suffix}",
        kind=kind,
        zone=task.ledger.zone,
        period=period,
        customer=terms.customer,
        team=terms.team,
        job=terms.job,
        task=task.account.task,
        attempt=fact.attempt,
        worker=fact.worker,
        started_at=started_at,
        ended_at=ended_at,
        held_ms=held_ms,
        millicores=terms.millicores,
        memory_mib=terms.memory_mib,
        accelerators=terms.accelerators,
        decided_at=fact.decided_at,
        decision=fact.decision or "started while the table was away",
        cause=interval.cause if cause is None else cause,
        basis=interval.basis,
        price=rule,
        charge_units=compute_charge_units(rule, amounts),
        corrects=corrects,
    )


def _make_gap_line(task: _TaskBilling, period: WallTime, gap: Gap) -> UsageLine:
    return _make_line(
        task,
        period,
        gap.after,
        LineKind.GAP,
        gap.before.ended_at,
        gap.after.started_at,
        0,
        suffix=":gap",
        cause=gap.cause,
    )


def _make_correction(
    task: _TaskBilling, interval: Interval, span: BilledSpan, held_ms: int, number: int
) -> UsageLine:
    earlier = f"up to {format_time(task.ledger.period)}"
    if span.held_ms == 0:
        cause = f"reported after its period was sealed, {earlier}: {interval.cause}"
    else:
        cause = f"{earlier} was {span.held_ms} ms, is {held_ms} ms: {interval.cause}"
    return _make_line(
        task,
        task.ledger.period,
        interval,
        LineKind.CORRECTION,
        interval.started_at,
        min(interval.ended_at, task.ledger.period),
        held_ms - span.held_ms,
        suffix=":correction" if number == 1 else f":correction{number}",
        cause=cause,
        rule=span.rule,
        corrects=f"{task.account.task}:{_get_interval_key(interval)}",
    )


def _get_interval_key(interval: Interval) -> str:
    return get_attempt_key(interval.fact.attempt, interval.fact.worker)
