"""Formats the report of `lentilpath report burn` as a text table or an HTML page with plots."""

from __future__ import annotations

import html
import io
from datetime import UTC, datetime
from typing import Any

from lentilpath._output import format_table

MS_PER_MINUTE = 60_000
MS_PER_SECOND = 1_000
MAX_LISTED_CAUSES = 8
COLUMNS = ["objective", "target", "good", "bad", "budget left", "urgency", "burn rate over"]
STYLE = (
    "body{font-family:sans-serif;margin:2em;max-width:70em}table{border-collapse:collapse}"
    "td,th{padding:.3em .8em;border-bottom:1px solid #ccc;text-align:left}"
    ".page{color:#b00020}.ticket{color:#a65f00}"
)


def format_burn_text(report: dict[str, Any]) -> str:
    """Return the report as a text table, followed by the most frequent causes."""
    objectives = report["objectives"]
    if not objectives:
        return "no objectives; add some to the configuration (docs/operators/burn.md)"
    rows = [
        [
            entry["objective"],
            _format_target(entry),
            entry["good"],
            entry["bad"],
            _format_percent(entry["budget_left"]),
            entry["urgency"],
            _format_rates(entry),
        ]
        for entry in objectives
    ]
    parts = [f"last {report['hours']} h", format_table(COLUMNS, rows)]
    for entry in objectives:
        if entry["causes"]:
            causes = "; ".join(
                f"{number} x {cause}" for cause, number in entry["causes"][:MAX_LISTED_CAUSES]
            )
            parts.append(f"{entry['objective']} was burned by: {causes}")
    return "\n".join(parts)


def make_burn_page(report: dict[str, Any]) -> str:
    """Return a self-contained HTML page with tables, causes and plots for each objective."""
    sections = "\n".join(_make_section(entry) for entry in report["objectives"])
    if not sections:
        sections = "<p>No objectives are configured.</p>"
    return (
        "<!DOCTYPE html>\n<html lang='en'><head><meta charset='utf-8'>"
        f"<title>Service-level burn</title><style>{STYLE}</style></head><body>"
        f"<h1>Service-level burn, last {report['hours']} hours</h1>\n{sections}\n</body></html>\n"
    )


def _make_section(entry: dict[str, Any]) -> str:
    causes = "".join(
        f"<tr><td>{number}</td><td>{html.escape(cause)}</td></tr>"
        for cause, number in entry["causes"][:MAX_LISTED_CAUSES]
    )
    rates = "".join(
        f"<tr><td>{_format_window(rate['window_ms'])}</td><td>{rate['rate']:.2f}</td>"
        f"<td>{rate['good']}</td><td>{rate['bad']}</td></tr>"
        for rate in entry["rates"]
    )
    return (
        f"<h2>{html.escape(entry['objective'])}</h2>"
        f"<p>Target {_format_target(entry)}; {entry['good']} good, {entry['bad']} bad; budget left "
        f"{_format_percent(entry['budget_left'])}; urgency "
        f"<b class='{entry['urgency']}'>{entry['urgency']}</b></p>"
        f"<table><tr><th>window</th><th>burn rate</th><th>good</th><th>bad</th></tr>{rates}</table>"
        f"{_draw_plot(entry)}"
        f"<table><tr><th>bad events</th><th>cause</th></tr>{causes}</table>"
    )


def _draw_plot(entry: dict[str, Any]) -> str:
    # Imported here because importing matplotlib takes longer than most commands.
    from matplotlib.figure import Figure

    if not entry["series"]:
        return "<p>No events.</p>"
    times = [datetime.fromtimestamp(at / MS_PER_SECOND, UTC) for at, _, _ in entry["series"]]
    allowed = 1 - entry["settings"]["target_per_million"] / 1_000_000
    rates = [bad / (good + bad) / allowed for _, good, bad in entry["series"]]
    figure = Figure(figsize=(9, 4.5), layout="constrained")
    upper, lower = figure.subplots(2, 1, sharex=True)
    upper.step(times, rates, where="post")
    upper.axhline(1, color="grey", linewidth=1)
    upper.set_ylabel("burn rate")
    lower.plot(times, _list_budget_left(entry))
    lower.axhline(0, color="grey", linewidth=1)
    lower.set_ylabel("budget left")
    lower.set_xlabel("time (UTC)")
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg")
    text = buffer.getvalue()
    return text[text.index("<svg") :]


def _list_budget_left(entry: dict[str, Any]) -> list[float]:
    left: list[float] = []
    bad_so_far = 0
    for _, _, bad in entry["series"]:
        bad_so_far += bad
        left.append(1 - bad_so_far / entry["budget_events"])
    return left


def _format_target(entry: dict[str, Any]) -> str:
    settings = entry["settings"]
    target = f"{settings['target_per_million'] / 10_000:g}% {settings['kind']}"
    threshold = settings.get("threshold_ms")
    within = f" within {threshold} ms" if threshold else ""
    return f"{target} of {settings['subject']}{within} in {settings['window_days']} d"


def _format_rates(entry: dict[str, Any]) -> str:
    return ", ".join(
        f"{_format_window(rate['window_ms'])} {rate['rate']:.1f}" for rate in entry["rates"]
    )


def _format_window(window_ms: int) -> str:
    minutes = window_ms // MS_PER_MINUTE
    if minutes < 60:
        return f"{minutes} min"
    return f"{minutes // 60} h" if minutes < 24 * 60 else f"{minutes // 1_440} d"


def _format_percent(fraction: float) -> str:
    return f"{fraction * 100:.1f}%"
