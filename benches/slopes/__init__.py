"""Measures the cost per worker, task, event and host, from which docs/CAPACITY.md is derived."""
