from lentilpath_core.ids import Instant, RegionId, ZoneId
from lentilpath_core.placement import summarize_placement
from lentilpath_core.resources import Resources
from lentilpath_core.workloads import WorkloadKind
from lentilpath_core.zone_choice import ZoneDigest, choose_zone, make_zone_digest
from tests.common.placements import Zone, make_spec

HOME = RegionId("bagmati")
AWAY = RegionId("gandaki")


def digest(zone, region=HOME, free=64_000, waiting=0, oldest_wait_ms=0, accepting=True):
    return ZoneDigest(
        ZoneId(zone),
        region,
        free,
        262_144,
        0,
        128_000,
        524_288,
        0,
        16_000,
        65_536,
        0,
        waiting,
        0,
        0,
        oldest_wait_ms,
        accepting,
    )


def test_prefers_the_zone_with_room():
    full = digest("full", free=0, waiting=500_000)
    choice = choose_zone(make_spec(run_ms=60_000), [full, digest("empty")], HOME)
    assert choice.zone == "empty"
    assert "next full" in choice.reason


def test_prefers_the_zone_with_the_younger_queue():
    old = digest("old", oldest_wait_ms=60_000)
    assert choose_zone(make_spec(), [old, digest("young")], HOME).zone == "young"


def test_moves_input_across_regions_only_if_the_shorter_wait_is_worth_it():
    busy = digest("home", free=0, waiting=32_000)
    there = digest("there", AWAY)
    spec = make_spec(run_ms=60_000)
    assert choose_zone(spec, [busy, there], HOME, input_bytes=1 << 30).zone == "home"
    assert choose_zone(spec, [busy, there], HOME, input_bytes=1 << 20).zone == "there"


def test_keeps_to_allowed_zones_and_regions():
    digests = [digest("one"), digest("two", AWAY)]
    assert choose_zone(make_spec(zones=(ZoneId("two"),)), digests, HOME).zone == "two"
    assert choose_zone(make_spec(regions=(AWAY,)), digests, HOME).zone == "two"
    refused = choose_zone(make_spec(zones=(ZoneId("three"),)), digests, HOME)
    assert refused.zone is None
    assert "only three" in refused.reason


def test_finds_no_zone_for_a_gang_larger_than_every_zone():
    gang = make_spec(tasks=20, cores=8, kind=WorkloadKind.GANG)
    choice = choose_zone(gang, [digest("one"), digest("two")], HOME)
    assert choice.zone is None
    assert choice.considered == 2


def test_leaves_out_a_zone_without_a_leader_while_another_accepts():
    digests = [digest("cut", accepting=False), digest("on", free=0, waiting=64_000)]
    assert choose_zone(make_spec(), digests, HOME).zone == "on"


def test_stale_digests_do_not_send_all_jobs_to_one_zone():
    digests = [digest("one", free=64_000), digest("two", free=63_000), digest("three", free=62_000)]
    chosen = [choose_zone(make_spec(f"job{n}"), digests, HOME).zone for n in range(300)]
    assert min(chosen.count(each.zone) for each in digests) > 50


def test_a_digest_reports_free_resources_and_the_oldest_wait():
    zone = Zone(workers=1, cores=2)
    zone.submit(make_spec("long", tasks=4))
    zone.starts()
    zone.pass_time(7_000)
    reported = make_zone_digest(zone.state, ZoneId("z"), HOME, Instant(zone.now))
    assert (reported.free_millicores, reported.waiting_millicores) == (0, 2_000)
    assert reported.oldest_wait_ms == 7_000
    assert summarize_placement(zone.state, zone.now).largest == Resources(2_000, 32_768)
