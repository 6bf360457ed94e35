"""Customers' usage: lines that trace to task, worker, interval, resources and decision."""

from lentilpath_core.usage._lines import (
    UsageLine,
    find_usage_line,
    list_usage_lines,
    make_line_id,
)

__all__ = ["UsageLine", "find_usage_line", "list_usage_lines", "make_line_id"]
