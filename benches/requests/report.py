"""Formats the figures of the request benchmark as a Markdown page."""

from __future__ import annotations

from typing import Any

HEAD = """# Measures of the request path

Written by `make measure-requests`; do not edit. One machine, real processes on loopback: 7 entry
hosts (3, 2 and 2 in three zones, each zone in a region of its own), 24 runners of 8 slots and 64
connections, {run_ms:.0f} ms a request (spread evenly by half to both sides), so {capacity:.0f}
requests a second fill all slots. Callers are spread evenly over the zones; a fifth of the requests
is urgent. Each load lasts {seconds:g} s (overload twice, rolling restart eight times that) instead
of the minutes that the issue names. Link latencies are not imitated. The machine ran other work at
the same time. A waiting time is the time from planned arrival to answer, less the run time, of
answered requests. Goodput counts answers from one run time after the start to the end of the load.

The baselines use the same HTTP code: `round-robin` takes each runner in turn without limits,
`least-connections` the runner with the fewest requests of its own host; both send again, up to 3
times, what a runner refused before it began.

`excess` counts requests and connections that reached a runner beyond its 8 slots or 64 connections.
`wrong` adds lost, doubled, mixed and falsely refused requests. The zone is cut by a switch in the
entry hosts that makes runners and peers of other zones unreachable for new connections and for
idle ones; the zone keeps the platform's list.
"""


def format_report(
    figures: list[Any], hop_ms: tuple[float, float], seconds: float, capacity: float
) -> str:
    """Return the page with one table for each load and the verdicts on the targets.

    `hop_ms` holds the median of a direct request and of one through an entry host, in ms.
    `seconds` is the duration of a load and `capacity` the requests per second of all slots.
    """
    lines = [HEAD.format(run_ms=192 / capacity * 1_000, capacity=capacity, seconds=seconds)]
    for load in dict.fromkeys(figure.load for figure in figures):
        lines += [f"\n## {load}\n", TABLE_HEAD]
        lines += [format_row(figure) for figure in figures if figure.load == load]
        lines += [
            f"\nKeyed requests of {f.subject}: {dict(f.keyed)}"
            for f in figures
            if f.load == load and f.keyed
        ]
    lines += ["\n## Targets\n", *format_targets(figures, hop_ms, capacity)]
    return "\n".join(lines) + "\n"


TABLE_HEAD = (
    "| subject | offered | goodput /s | wait median ms | p99 | p99.9 | urgent p99 |"
    " refused as not run | unknown | wrong | excess slots | excess connections |"
    " zone KB | other region KB | peer KB |"
    " processor ms a request |\n" + "|---" * 16 + "|"
)


def format_row(figure: Any) -> str:
    """Return the table row of one subject under one load."""
    wrong = figure.lost + figure.doubled + figure.mixed + figure.falsely_refused
    cells = [
        figure.subject,
        figure.offered,
        f"{figure.goodput:.0f}",
        *(f"{value:.1f}" for value in figure.waits.values()),
        f"{figure.urgent_p99:.1f}",
        figure.refused,
        figure.unknown,
        wrong,
        figure.slot_excess,
        figure.connection_excess,
        *(figure.bytes.get(name, 0) // 1_024 for name in ("here", "far", "peers")),
        f"{figure.cpu_ms:.2f}",
    ]
    return "| " + " | ".join(map(str, cells)) + " |"


def format_targets(figures: list[Any], hop_ms: tuple[float, float], capacity: float) -> list[str]:
    """Return one line for each target, saying whether it was reached."""
    lentilpath_figures = {
        figure.load: figure for figure in figures if figure.subject == "lentilpath"
    }
    lines = []
    overload = lentilpath_figures.get("3 times overload")
    normal = lentilpath_figures.get("60% of the slots")
    if overload and normal:
        goodput_share = overload.goodput / overload.capacity
        lines.append(
            format_verdict(
                "goodput under 3 times overload, of capacity",
                goodput_share >= 0.95,
                f"{goodput_share:.1%}",
            )
        )
        text = f"{overload.urgent_p99:.1f} ms against {normal.urgent_p99:.1f} ms at 60%"
        reached = overload.urgent_p99 <= 2 * normal.urgent_p99
        lines.append(
            format_verdict("urgent p99 wait in overload at most twice that at 60%", reached, text)
        )
        run_ms = 192 / capacity * 1_000
        response_time_ratio = (overload.urgent_p99 + run_ms) / (normal.urgent_p99 + run_ms)
        lines.append(
            format_verdict(
                "urgent p99 response time in overload at most twice that at 60%",
                response_time_ratio <= 2,
                f"{response_time_ratio:.2f} times",
            )
        )
    wrong = {
        name: sum(getattr(figure, name) for figure in lentilpath_figures.values())
        for name in ("lost", "doubled", "mixed", "falsely_refused")
    }
    lines.append(
        format_verdict(
            "none lost, doubled, mixed or falsely refused", not any(wrong.values()), str(wrong)
        )
    )
    excess = sum(
        figure.slot_excess + figure.connection_excess for figure in lentilpath_figures.values()
    )
    lines.append(format_verdict("no slot or connection exceeded", excess == 0, str(excess)))
    late = sum(figure.late_starts for figure in lentilpath_figures.values())
    lines.append(format_verdict("no new work at a leaving runner after 2 s", late == 0, str(late)))
    added = hop_ms[1] - hop_ms[0]
    text = f"{added:.2f} ms ({hop_ms[0]:.2f} direct, {hop_ms[1]:.2f} through an entry host)"
    lines.append(format_verdict("added latency of our hop at most 1 ms median", added <= 1, text))
    return lines


def format_verdict(target: str, reached: bool, text: str) -> str:
    """Return the line of one target with its verdict and figures."""
    return f"- {target}: **{'reached' if reached else 'not reached'}** ({text})"
