"""Seeds that once failed, each with the cause that was found."""

from __future__ import annotations

REGRESSIONS: dict[int, str] = {}
"""Seed to cause; the short run in CI plays them all."""
