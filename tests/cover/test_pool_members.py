"""A slow host knows of much faster ones, and of their word that they can lead."""

from __future__ import annotations

from lentilpath_core.ids import HostId, Incarnation, Instant, RegionId, ZoneId
from lentilpath_core.settings import Address
from lentilpathd._peers import PeerBus
from lentilpathd._pool._members import MEMBER_SILENT_MS, Members
from lentilpathd._pool._messages import Hello, KnownHost
from lentilpathd._pool._settings import PoolHostSettings

ADDRESS = Address("127.0.0.1", 1)
ZONE, REGION = ZoneId("z"), RegionId("r")
NOW = Instant(10_000)


def make_members(cores: float = 0.5) -> Members:
    settings = PoolHostSettings(
        HostId("own"), ZONE, REGION, ADDRESS, ADDRESS, ADDRESS, ADDRESS, 6_000, 6_000, cores
    )
    return Members(settings, PeerBus(settings.host, Incarnation("own.1"), ZONE))


def greet(members: Members, host: str, cores: float, can_lead: bool = True) -> None:
    members.note_hello(HostId(host), Hello(ADDRESS, ZONE, REGION, cores, can_lead), NOW)


def test_the_fastest_host_that_can_lead_is_found():
    members = make_members()
    greet(members, "slow", 0.5)
    assert members.find_faster(NOW) is None
    greet(members, "fast", 2.0)
    greet(members, "faster", 2.2, can_lead=False)
    assert members.find_faster(NOW) == "fast"
    assert members.find_faster(Instant(NOW + MEMBER_SILENT_MS + 1)) is None


def test_a_host_that_is_a_little_faster_is_not_worth_a_change():
    members = make_members(cores=1.0)
    greet(members, "other", 1.4)
    assert members.find_faster(NOW) is None


def test_a_successor_is_named_only_where_hosts_differ_much():
    members = make_members()
    greet(members, "a", 2.0)
    greet(members, "b", 2.1)
    assert members.choose_successor(NOW) is None
    greet(members, "c", 0.5)
    assert members.choose_successor(NOW) == "b"


def test_hosts_that_the_leader_tells_of_count_but_for_the_leader():
    members = make_members()
    members.take_told((KnownHost(HostId("lead"), ADDRESS, ZONE, REGION, 2.0),))
    assert members.knows_faster(None)
    assert not members.knows_faster(HostId("lead"))
