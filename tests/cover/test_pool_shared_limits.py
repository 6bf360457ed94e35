"""Limits of a host's HTTP connections follow the machine that its settings describe."""

from __future__ import annotations

import json

import pytest

from lentilpath_http import HttpLimits, SharedLimits
from lentilpath_platform.settings import parse_settings
from lentilpathd._pool._shared_limits import derive_shared_limits
from tests.cover.test_pool_settings import FILE

JOB_BYTES = 4_000
BURST_REQUESTS = 800
MEMORY_OF_AN_IDLE_PROCESS_BYTES = 64_000_000


def derive(**limits: float) -> SharedLimits:
    return derive_shared_limits(parse_settings(json.dumps({**FILE, "limits": limits})).host)


@pytest.mark.parametrize("memory_mb", [200, 300.0, 2_000])
@pytest.mark.parametrize("max_fds", [1_024, 4_100, 65_536])
def test_the_limits_leave_room_on_the_machine_and_for_bursts_of_ordinary_requests(
    memory_mb, max_fds
):
    limits = derive(memoryMb=memory_mb, maxFds=max_fds)
    spare_bytes = memory_mb * 1_000_000 - MEMORY_OF_AN_IDLE_PROCESS_BYTES
    assert BURST_REQUESTS * 2 * JOB_BYTES <= limits.max_held_bytes <= spare_bytes / 4
    assert 400 <= limits.max_connections <= max_fds // 2


def test_a_single_request_of_the_largest_size_fits_into_the_smallest_memory():
    limits = HttpLimits()
    one_request_bytes = limits.max_head_bytes + limits.max_body_bytes
    assert derive(memoryMb=1, maxFds=8).max_held_bytes >= one_request_bytes


def test_a_slow_processor_parses_fewer_small_pieces():
    assert derive(cpuShare=0.25, cores=2).max_small_pieces_per_second == 5_000
