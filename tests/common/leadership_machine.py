"""A Hypothesis state machine that injects faults into a `Zone`.

Tests choose the numbers of examples and steps.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from tests.common.leadership_zone import SETTINGS, TableMode, Zone

NAMES = ("a", "b", "c")
RATES = st.sampled_from((980, 1_000, 1_020))
HOSTS = st.sampled_from(NAMES)
DURATIONS = st.sampled_from((25, 50, 100, 300, 500, 900, 1_000, 1_100, 1_500, 2_000))
MODES = st.sampled_from(TableMode)


class ZoneMachine(RuleBasedStateMachine):
    @initialize(rates=st.tuples(RATES, RATES, RATES), members=st.sampled_from((1, 2, 3)))
    def begin(self, rates, members):
        self.zone = Zone(dict(zip(NAMES, rates, strict=True)))
        for name in NAMES[:members]:
            self.zone.start(name)
        self.zone.advance(500)

    @rule(duration=DURATIONS)
    def pass_time(self, duration):
        self.zone.advance(duration)

    @rule(name=HOSTS, mode=MODES, duration=DURATIONS)
    def change_table_of_one(self, name, mode, duration):
        if name in self.zone.processes:
            self.zone.processes[name].table = mode
            self.zone.advance(duration)

    @rule(mode=MODES, duration=DURATIONS)
    def change_table_of_all(self, mode, duration):
        for process in self.zone.processes.values():
            process.table = mode
        self.zone.advance(duration)

    @rule(name=HOSTS, peers_up=st.booleans(), duration=DURATIONS)
    def change_peers(self, name, peers_up, duration):
        if name in self.zone.processes:
            self.zone.processes[name].peers_up = peers_up
            self.zone.advance(duration)

    @rule(name=HOSTS, duration=DURATIONS)
    def pause_or_resume(self, name, duration):
        if name in self.zone.processes:
            process = self.zone.processes[name]
            process.paused = not process.paused
            self.zone.advance(duration)

    @rule(name=HOSTS, duration=DURATIONS)
    def start_or_restart(self, name, duration):
        self.zone.start(name)
        self.zone.advance(duration)

    @precondition(lambda self: self.zone.late_writes)
    @rule(index=st.integers(0, 3), duration=DURATIONS)
    def apply_late_write(self, index, duration):
        self.zone.apply_late_write(index)
        self.zone.advance(duration)

    @rule(name=HOSTS, duration=DURATIONS)
    def release(self, name, duration):
        if name in self.zone.processes and not self.zone.processes[name].paused:
            self.zone.release(name)
            self.zone.advance(duration)

    def teardown(self):
        if not hasattr(self, "zone"):
            return
        zone = self.zone
        for name in NAMES:
            # The platform replaces a host that was stopped permanently.
            if name not in zone.processes or zone.processes[name].state.stopping:
                zone.start(name)
            process = zone.processes[name]
            process.paused = False
            process.table = TableMode.UP
            process.peers_up = True
        zone.advance(SETTINGS.newcomer_horizon_ms + 4 * SETTINGS.lease_ms)
        assert (
            len(zone.list_deciders()) == 1
        ), "there is not exactly one leader after all faults have ended"
