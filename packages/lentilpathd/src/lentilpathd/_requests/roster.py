"""Keeps the runners of each service synchronised with the platform's host list."""

from __future__ import annotations

from collections.abc import Callable

from lentilpath_core.ids import HostId, Instant, ServiceId
from lentilpath_core.requests.policy import RequestPolicy
from lentilpath_core.requests.routing import Distance, RunnerHealth
from lentilpath_core.requests.shares import Share, compute_home_share
from lentilpath_core.settings import HostSettings
from lentilpathd._clock import read_instant
from lentilpathd._directory import Directory
from lentilpathd._events import Event, log_event
from lentilpathd._ports import HostKind, ListedHost
from lentilpathd._requests.runner import Runner
from lentilpathd._requests.service import Service


class ServiceRegistry:
    """All services that have a runner, and their runners."""

    def __init__(
        self,
        settings: HostSettings,
        policy: RequestPolicy,
        directory: Directory,
        create_service: Callable[[ServiceId], Service],
        started_at: Instant,
    ) -> None:
        self.services: dict[ServiceId, Service] = {}
        self._settings = settings
        self._policy = policy
        self._directory = directory
        self._create_service = create_service
        self._started_at = started_at
        self._has_listed_runners = False

    def refresh(self) -> None:
        """Add, update and remove runners according to the current host list."""
        listed = [
            host
            for host in self._directory.list_hosts()
            if host.kind is HostKind.UPSTREAM and host.service is not None
        ]
        for host in listed:
            self._apply_listed_runner(host)
        if listed:
            self._has_listed_runners = True
            self._remove_unlisted({(host.service, host.name) for host in listed})
        for service in self.services.values():
            service.dispatch_waiting()

    def list_runners(self) -> list[Runner]:
        """Return all runners of all services."""
        return [runner for service in self.services.values() for runner in service.runners.values()]

    def list_home_hosts(self, listed: ListedHost) -> tuple[HostId, ...]:
        """Return the entry hosts that share the runner's slots, sorted.

        These are the entry hosts of its zone, or those of all zones if its zone has none.
        """
        peers = [(peer.host, peer.zone) for peer in self._settings.entry_hosts]
        peers.append((self._settings.host, self._settings.zone))
        own_zone = {host for host, zone in peers if zone == listed.zone}
        return tuple(sorted(own_zone or {host for host, _ in peers}))

    def _apply_listed_runner(self, listed: ListedHost) -> None:
        assert listed.service is not None
        service = self.services.get(listed.service)
        if service is None:
            service = self._create_service(listed.service)
            self.services[listed.service] = service
        upstream = listed.get_upstream()
        runner = service.runners.get(upstream)
        if runner is not None and runner.listed.address == listed.address:
            self._update_runner(runner, listed)
            return
        if runner is not None:
            runner.close()
        service.runners[upstream] = self._create_runner(listed)
        log_event(Event.RUNNER_JOINED, runner=listed.name, service=listed.service)

    def _create_runner(self, listed: ListedHost) -> Runner:
        health = RunnerHealth(
            listed.get_upstream(),
            self._classify_distance(listed),
            read_instant(),
            listed_at_start=not self._has_listed_runners,
            leaving=listed.leaving,
        )
        quarantine_ends = Instant(self._started_at + self._policy.restart_quarantine_ms)
        share = self._compute_share(listed)
        return Runner(listed, health, self._policy, share, quarantine_ends)

    def _update_runner(self, runner: Runner, listed: ListedHost) -> None:
        if listed.leaving and not runner.health.leaving:
            log_event(Event.RUNNER_LEAVING, runner=listed.name)
        # The list lags behind what a runner reports itself. A runner that reported that it is
        # leaving stays so until the list has shown it as leaving and then as active again.
        if listed.leaving or runner.listed.leaving:
            runner.health.leaving = listed.leaving
        runner.listed = listed
        runner.home = self._compute_share(listed)

    def _compute_share(self, listed: ListedHost) -> Share:
        return compute_home_share(
            listed.get_upstream(),
            listed.slots,
            listed.connections,
            self.list_home_hosts(listed),
            self._settings.host,
        )

    def _classify_distance(self, listed: ListedHost) -> Distance:
        if listed.zone == self._settings.zone:
            return Distance.ZONE
        if listed.region == self._settings.region:
            return Distance.REGION
        return Distance.OTHER_REGION

    def _remove_unlisted(self, listed: set[tuple[ServiceId | None, str]]) -> None:
        for service in self.services.values():
            for upstream, runner in tuple(service.runners.items()):
                if (service.service, runner.listed.name) not in listed:
                    runner.health.leaving = True
                    runner.close()
                    if runner.count_in_use() == 0:
                        del service.runners[upstream]
