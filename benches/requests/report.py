"""Writes the figures of the bench as a page."""

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


def write_report(figures: list[Any], hop: tuple[float, float], seconds: float, full: float) -> str:
    """Return the page."""
    lines = [HEAD.format(run_ms=192 / full * 1_000, capacity=full, seconds=seconds)]
    for load in dict.fromkeys(figure.load for figure in figures):
        lines += [f"\n## {load}\n", TABLE_HEAD]
        lines += [write_row(figure) for figure in figures if figure.load == load]
        lines += [
            f"\nKeyed requests of {f.subject}: {dict(f.keyed)}"
            for f in figures
            if f.load == load and f.keyed
        ]
    lines += ["\n## Targets\n", *judge_targets(figures, hop, full)]
    return "\n".join(lines) + "\n"


TABLE_HEAD = (
    "| subject | offered | goodput /s | wait median ms | p99 | p99.9 | urgent p99 |"
    " refused as not run | unknown | wrong | excess slots | excess connections |"
    " zone KB | other region KB | peer KB |"
    " processor ms a request |\n" + "|---" * 16 + "|"
)


def write_row(figure: Any) -> str:
    """Return one row of the report's table."""
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


def judge_targets(figures: list[Any], hop: tuple[float, float], full: float) -> list[str]:
    """Return one line for each target of the issue."""
    own = {figure.load: figure for figure in figures if figure.subject == "lentilpath"}
    lines = []
    overload = own.get("3 times overload")
    calm = own.get("60% of the slots")
    if overload and calm:
        part = overload.goodput / overload.capacity
        lines.append(
            judge("goodput under 3 times overload, of capacity", part >= 0.95, f"{part:.1%}")
        )
        text = f"{overload.urgent_p99:.1f} ms against {calm.urgent_p99:.1f} ms at 60%"
        reached = overload.urgent_p99 <= 2 * calm.urgent_p99
        lines.append(judge("urgent p99 wait in overload at most twice that at 60%", reached, text))
        run_ms = 192 / full * 1_000
        whole = (overload.urgent_p99 + run_ms) / (calm.urgent_p99 + run_ms)
        lines.append(
            judge(
                "urgent p99 response time in overload at most twice that at 60%",
                whole <= 2,
                f"{whole:.2f} times",
            )
        )
    wrong = {
        name: sum(getattr(figure, name) for figure in own.values())
        for name in ("lost", "doubled", "mixed", "falsely_refused")
    }
    lines.append(
        judge("none lost, doubled, mixed or falsely refused", not any(wrong.values()), str(wrong))
    )
    excess = sum(figure.slot_excess + figure.connection_excess for figure in own.values())
    lines.append(judge("no slot or connection exceeded", excess == 0, str(excess)))
    late = sum(figure.late_work for figure in own.values())
    lines.append(judge("no new work at a leaving runner after 2 s", late == 0, str(late)))
    added = hop[1] - hop[0]
    text = f"{added:.2f} ms ({hop[0]:.2f} direct, {hop[1]:.2f} through an entry host)"
    lines.append(judge("added latency of our hop at most 1 ms median", added <= 1, text))
    return lines


def judge(target: str, reached: bool, text: str) -> str:
    """Return one line that says whether a target was reached, with the figures."""
    return f"- {target}: **{'reached' if reached else 'not reached'}** ({text})"
