"""Measures processor time and memory, and fits lines to the results."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import TypeVar

import numpy as np

T = TypeVar("T")

MS_PER_SECOND = 1_000.0


def fit_slope(sizes: list[int], costs: list[float]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line through the points."""
    slope, intercept = np.polyfit(sizes, costs, 1)
    return float(slope), float(intercept)


def measure_ms(action: Callable[[], T]) -> tuple[float, T]:
    """Return the processor time of `action` in milliseconds, and its result."""
    gc.collect()
    started = time.process_time()
    result = action()
    return (time.process_time() - started) * MS_PER_SECOND, result


def measure_bytes(action: Callable[[], T]) -> tuple[int, T]:
    """Return the bytes that the result of `action` holds in memory, and the result."""
    gc.collect()
    tracemalloc.start()
    result = action()
    gc.collect()
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held_bytes, result
