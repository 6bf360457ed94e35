"""The example deployments have the specified sizes, and can be reduced and moved to loopback."""

from pathlib import Path

import pytest

from lentilpath_core.errors import InvalidSettings
from lentilpath_core.resources import Resources
from lentilpath_standins.cell import list_addresses, move_to_loopback, read_cell, reduce_cell
from lentilpath_standins.deployment import list_hosts

EXAMPLES = Path(__file__).parents[2] / "examples"
SIZES = {
    "harbor-spoon": (8, Resources(32_000, 131_072), "boxplanner"),
    "dhungedhara": (7, Resources(16_000, 65_536), "grant-desk"),
}


@pytest.mark.parametrize("name", sorted(SIZES))
def test_an_example_has_the_expected_sizes(name):
    entry_hosts, capacity, service = SIZES[name]
    cell = read_cell(EXAMPLES / name / "deployment.json5")
    assert cell.service == service
    assert len(cell.entry_hosts) == entry_hosts
    assert len({host.region for host in cell.entry_hosts}) == 3
    assert [worker.capacity for worker in cell.workers] == [capacity] * 24
    assert [(runner.slots, runner.connections) for runner in cell.runners] == [(8, 64)] * 24
    addresses = list(list_addresses(cell))
    assert len(addresses) == len(set(addresses))
    assert len(list_hosts(cell)) == entry_hosts + 48


@pytest.mark.parametrize("name", sorted(SIZES))
def test_every_entry_host_knows_all_others(name):
    cell = read_cell(EXAMPLES / name / "deployment.json5")
    for host in cell.entry_hosts:
        known = {(peer.host, peer.zone, peer.address) for peer in host.entry_hosts}
        others = {(h.host, h.zone, h.peers) for h in cell.entry_hosts if h.host != host.host}
        assert known == others


def test_a_reduced_cell_knows_only_the_hosts_that_are_left():
    cell = move_to_loopback(
        reduce_cell(read_cell(EXAMPLES / "dhungedhara/deployment.json5"), 1, 2, 3)
    )
    assert [len(host.entry_hosts) for host in cell.entry_hosts] == [2, 2, 2]
    assert (len(cell.workers), len(cell.runners)) == (6, 9)
    assert {address.host for address in list_addresses(cell)} == {"127.0.0.1"}
    peers = {peer.address for host in cell.entry_hosts for peer in host.entry_hosts}
    assert peers == {host.peers for host in cell.entry_hosts}


def test_a_misspelt_key_of_a_deployment_file_is_named(tmp_path):
    text = (EXAMPLES / "harbor-spoon/deployment.json5").read_text()
    file = tmp_path / "deployment.json5"
    file.write_text(text.replace("runners:", "runers:", 1))
    with pytest.raises(InvalidSettings, match="unknown key 'runers'"):
        read_cell(file)
