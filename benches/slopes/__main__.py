"""Prints all slopes from which docs/CAPACITY.md is derived."""

import asyncio
import platform

from benches.slopes.idle import print_idle_slopes
from benches.slopes.links import print_link_slopes
from benches.slopes.zone import print_zone_slopes


def main() -> None:
    """Print the tables of all slopes."""
    print(f"machine: {platform.machine()}, Python {platform.python_version()}")
    print("\n## The leader of a zone, in process\n")
    print_zone_slopes()
    print("\n## Exchanges, on loopback\n")
    asyncio.run(print_link_slopes())
    print("\n## Daemons of an idle zone, as processes\n")
    print_idle_slopes()


if __name__ == "__main__":
    main()
