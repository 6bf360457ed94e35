"""Print the comparison of the engines; see `--help` for how to select parts of it."""

from __future__ import annotations

import argparse

from benches.measure.cell import Cell
from benches.measure.engines import ENGINES
from benches.measure.figures import create_rows, print_table
from benches.measure.loads import LOADS, SIZES, create_load


def main() -> None:
    """Run the selected loads with the selected engines and print a table for each."""
    parser = argparse.ArgumentParser(prog="python -m benches.measure", description=__doc__)
    parser.add_argument("--load", action="append", choices=tuple(LOADS))
    parser.add_argument("--size", action="append", choices=[size.name for size in SIZES])
    parser.add_argument("--engine", action="append", choices=[each.name for each in ENGINES])
    parser.add_argument("--seed", type=int, default=20)
    chosen = parser.parse_args()
    engines = [each for each in ENGINES if not chosen.engine or each.name in chosen.engine]
    for size in SIZES:
        if chosen.size and size.name not in chosen.size:
            continue
        for name in chosen.load or LOADS:
            load = create_load(name, size, chosen.seed)
            outcomes = [Cell(engine, load).run() for engine in engines]
            print_table(
                f"{size.name}, {name}",
                [engine.name for engine in engines],
                create_rows(load, outcomes),
            )


if __name__ == "__main__":
    main()
