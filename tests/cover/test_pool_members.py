"""Hosts learn from heartbeats which hosts are faster, can lead and reach the table."""

from __future__ import annotations

from lentilpath_core.ids import HostId, Incarnation, Instant, RegionId, ZoneId
from lentilpath_core.settings import Address
from lentilpathd._peers import PeerBus
from lentilpathd._pool._members import MAX_HOSTS, MEMBER_TIMEOUT_MS, Members, fingerprint_hosts
from lentilpathd._pool._messages import Heartbeat, KnownHost
from lentilpathd._pool._settings import PoolHostSettings

ADDRESS = Address("127.0.0.1", 1)
ZONE, REGION = ZoneId("z"), RegionId("r")
NOW = Instant(10_000)


def make_members(cores: float = 0.5) -> Members:
    settings = PoolHostSettings(
        HostId("own"), ZONE, REGION, ADDRESS, ADDRESS, ADDRESS, ADDRESS, 6_000, 6_000, cores
    )
    bus = PeerBus(settings.host, Incarnation("own.1"), ZONE)
    return Members(settings, bus, lambda: True)


def receive_heartbeat(
    members: Members, host: str, cores: float, can_lead: bool = True, up_ms: int = 60_000
) -> None:
    members.record_heartbeat(
        HostId(host), Heartbeat(ADDRESS, ZONE, REGION, cores, can_lead, up_ms), NOW
    )


def test_the_fastest_host_that_can_lead_is_found():
    members = make_members()
    receive_heartbeat(members, "slow", 0.5)
    assert members.find_faster_host(NOW) is None
    receive_heartbeat(members, "fast", 2.0)
    receive_heartbeat(members, "faster", 2.2, can_lead=False)
    assert members.find_faster_host(NOW) == "fast"
    assert members.find_faster_host(Instant(NOW + MEMBER_TIMEOUT_MS + 1)) is None


def test_a_host_that_is_a_little_faster_is_not_worth_a_change():
    members = make_members(cores=1.0)
    receive_heartbeat(members, "other", 1.4)
    assert members.find_faster_host(NOW) is None


def test_a_successor_is_named_only_where_hosts_differ_much():
    members = make_members()
    receive_heartbeat(members, "a", 2.0)
    receive_heartbeat(members, "b", 2.1, up_ms=59_990)
    assert members.choose_successor(NOW) is None
    receive_heartbeat(members, "c", 0.5)
    assert members.choose_successor(NOW) == "b"


def test_hosts_listed_by_the_leader_count_except_the_leader_itself():
    members = make_members()
    members.update_advertised((KnownHost(HostId("lead"), ADDRESS, ZONE, REGION, 2.0),), 1)
    assert members.knows_faster_host(None)
    assert not members.knows_faster_host(HostId("lead"))


def test_during_a_rolling_restart_the_host_restarted_last_is_the_successor():
    members = make_members(cores=1.0)
    receive_heartbeat(members, "a", 1.0)
    receive_heartbeat(members, "b", 1.0, up_ms=59_900)
    assert members.choose_successor(NOW) is None
    receive_heartbeat(members, "c", 1.0, up_ms=5_000)
    receive_heartbeat(members, "d", 1.0, up_ms=3_000, can_lead=False)
    assert members.choose_successor(NOW) == "c"
    receive_heartbeat(members, "slow", 0.5, up_ms=1_000)
    assert members.choose_successor(NOW) == "c"


def test_hosts_that_reach_the_table_are_preferred_as_relays():
    members = make_members()
    receive_heartbeat(members, "cut", 1.0, can_lead=False)
    assert members.list_relay_hosts(NOW) == ("cut",)
    receive_heartbeat(members, "able", 1.0)
    assert members.list_relay_hosts(NOW) == ("able",)
    listed = KnownHost(HostId("told"), ADDRESS, ZONE, REGION, 1.0, True)
    outdated = KnownHost(HostId("cut"), ADDRESS, ZONE, REGION, 1.0, True)
    members.update_advertised((listed, outdated), 1)
    assert members.list_relay_hosts(NOW) == ("able", "told")


def test_the_list_of_hosts_is_sent_again_only_when_it_has_changed():
    members = make_members()
    receive_heartbeat(members, "a", 1.0)
    first = members.list_known_hosts(NOW)
    assert fingerprint_hosts(first) == fingerprint_hosts(tuple(reversed(first)))
    members.update_advertised(first, fingerprint_hosts(first))
    assert members.make_heartbeat(NOW).hosts_mark == fingerprint_hosts(first)
    members.update_advertised((), 0)
    assert members.make_heartbeat(NOW).hosts_mark == fingerprint_hosts(first)
    receive_heartbeat(members, "b", 1.0)
    assert fingerprint_hosts(members.list_known_hosts(NOW)) != fingerprint_hosts(first)


def test_heartbeats_under_ever_new_names_do_not_fill_the_memory():
    """Guards against a sender whose name changes with each message."""
    members = make_members()
    for number in range(3 * MAX_HOSTS):
        receive_heartbeat(members, f"h{number}", 1.0)
    assert len(members.list_hosts(NOW)) <= MAX_HOSTS + 1
    later = Instant(NOW + MEMBER_TIMEOUT_MS + 1)
    members.record_heartbeat(HostId("new"), Heartbeat(ADDRESS, ZONE, REGION), later)
    assert members.list_hosts(later) == ("own", "new")
