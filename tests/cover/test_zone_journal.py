import asyncio
from typing import cast

import msgspec
import pytest

from lentilpath_core.ids import (
    Epoch,
    HostId,
    Instant,
    JobId,
    JournalSequence,
    RowVersion,
    WallTime,
    WriteId,
)
from lentilpath_core.leadership import get_epoch_key
from lentilpath_core.zone.control import JournalWrite
from lentilpath_core.zone.journal import (
    JobAccepted,
    JobCancelled,
    JournalBatch,
    get_batch_key,
    get_journal_prefix,
)
from lentilpath_core.zone.state import apply_batch, create_zone_state
from lentilpathd._authority import Authority, Leadership
from lentilpathd._ports import Transaction
from lentilpathd._zone._errors import Deposed
from lentilpathd._zone._recovery import BrokenJournal, check_epoch, recover_zone
from lentilpathd._zone._snapshots import (
    decode_archive,
    encode_snapshot,
    get_archive_prefix,
    store_snapshot,
)
from lentilpathd._zone._term import Term
from lentilpathd._zone._writer import write_batch
from tests.common.platform import MemoryObjects, MemoryTable
from tests.common.zone import ZONE, make_spec

EPOCH_KEY = get_epoch_key(ZONE)
NO_LEADERSHIP = cast(Leadership, None)


class Journal:
    """An in-memory table and object store, and the leader's term that writes to them."""

    def __init__(self):
        self.table = MemoryTable()
        self.objects = MemoryObjects()
        self.batches = []
        self.term = asyncio.run(self.begin_term(1))

    async def begin_term(self, epoch):
        write = Transaction(WriteId(f"take-over-{epoch}"), puts=((EPOCH_KEY, str(epoch)),))
        await self.table.commit(write, 1.0)
        return Term(ZONE, Epoch(epoch), self.table.get(EPOCH_KEY).version, NO_LEADERSHIP)

    def make_write(self, sequence, inbox_keys=(), writer=None):
        spec = make_spec(f"job-{sequence}")
        events = (JobAccepted(spec, WallTime(sequence), HostId("h1")),)
        batch = JournalBatch(
            ZONE, JournalSequence(sequence), self.term.epoch, writer or f"w{sequence}", events
        )
        return JournalWrite(batch, inbox_keys)

    async def write(self, sequence, inbox_keys=()):
        write = self.make_write(sequence, inbox_keys)
        await write_batch(self.table, self.term, write)
        self.batches.append(write.batch)

    async def recover(self):
        return (await recover_zone(self.table, self.objects, ZONE)).state

    def replay(self):
        state = create_zone_state(ZONE)
        for batch in self.batches:
            apply_batch(state, batch)
        return state


@pytest.fixture
def journal():
    return Journal()


def test_recovers_what_was_written(journal):
    async def run():
        for sequence in range(1, 251):
            await journal.write(sequence)
        return await journal.recover()

    assert asyncio.run(run()) == journal.replay()


def test_recognises_its_own_batch_after_a_lost_answer(journal):
    async def run():
        journal.table.lose_answers = 1
        await journal.write(1)
        return await journal.recover()

    assert asyncio.run(run()) == journal.replay()
    assert journal.table.commits == 3


def test_removes_an_inbox_command_with_the_batch_that_records_it(journal):
    async def run():
        key = "inbox/portland-dock/c1"
        await journal.table.commit(Transaction(WriteId("a"), puts=((key, "command"),)), 1.0)
        await journal.write(1, inbox_keys=(key,))
        return journal.table.get(key)

    assert asyncio.run(run()).version == 0


def test_a_deposed_leader_cannot_add_to_the_journal(journal):
    async def run():
        await journal.write(1)
        await journal.begin_term(2)
        with pytest.raises(Deposed):
            await journal.write(2)
        return await journal.recover()

    assert asyncio.run(run()).sequence == 1


def test_a_batch_of_another_writer_is_not_taken_for_its_own(journal):
    async def run():
        await journal.write(1)
        with pytest.raises(Deposed):
            await write_batch(journal.table, journal.term, journal.make_write(1, writer="other"))

    asyncio.run(run())


def test_refuses_to_lead_after_a_take_over_that_it_missed(journal):
    async def run():
        await journal.begin_term(2)
        stale = Authority(Epoch(1), Instant(0), True, journal.term.epoch_version)
        with pytest.raises(Deposed):
            await check_epoch(journal.table, ZONE, stale)

    asyncio.run(run())


def store(journal, sequence):
    return store_snapshot(
        journal.table,
        journal.objects,
        journal.term,
        JournalSequence(sequence),
        encode_snapshot(journal.replay()),
        journal.batches,
    )


def test_recovers_from_a_snapshot_and_the_journal_after_it(journal):
    async def run():
        for sequence in range(1, 151):
            await journal.write(sequence)
        await store(journal, 150)
        rows = await journal.table.scan(get_journal_prefix(ZONE), "", 500, 1.0)
        assert rows == ()
        await journal.write(151)
        return await journal.recover()

    assert asyncio.run(run()) == journal.replay()


def test_archives_every_batch_that_a_snapshot_replaces(journal):
    async def run():
        for sequence in range(1, 11):
            await journal.write(sequence)
        await store(journal, 10)

    asyncio.run(run())
    keys = [key for key in journal.objects.objects if key.startswith(get_archive_prefix(ZONE))]
    archived = [batch for key in keys for batch in decode_archive(journal.objects.objects[key])]
    assert archived == journal.batches


def test_archives_the_batches_of_an_earlier_leader(journal):
    async def run():
        for sequence in range(1, 6):
            await journal.write(sequence)
        journal.term = await journal.begin_term(2)
        recovered = await recover_zone(journal.table, journal.objects, ZONE)
        assert recovered.batches == journal.batches

    asyncio.run(run())


def test_loses_nothing_when_the_object_store_fails_before_the_pointer_moves(journal):
    async def run():
        for sequence in range(1, 11):
            await journal.write(sequence)
        journal.objects.down = True
        with pytest.raises(Exception, match="object store is down"):
            await store(journal, 10)
        return await journal.recover()

    assert asyncio.run(run()) == journal.replay()


def test_a_deposed_leader_cannot_truncate_the_journal(journal):
    async def run():
        for sequence in range(1, 11):
            await journal.write(sequence)
        await journal.begin_term(2)
        await store(journal, 10)
        return await journal.recover()

    assert asyncio.run(run()) == journal.replay()


def test_refuses_a_journal_with_a_missing_batch(journal):
    async def run():
        for sequence in range(1, 4):
            await journal.write(sequence)
        key = get_batch_key(ZONE, JournalSequence(2))
        await journal.table.commit(Transaction(WriteId("x"), deletes=(key,)), 1.0)
        with pytest.raises(BrokenJournal, match="missing"):
            await journal.recover()

    asyncio.run(run())


def test_refuses_an_unreadable_batch(journal):
    async def run():
        key = get_batch_key(ZONE, JournalSequence(1))
        broken = Transaction(WriteId("x"), ((key, RowVersion(0)),), ((key, "{"),))
        await journal.table.commit(broken, 1.0)
        with pytest.raises(BrokenJournal, match="unreadable"):
            await journal.recover()

    asyncio.run(run())


def test_a_snapshot_holds_the_whole_state(journal):
    state = journal.replay()
    cancelled = JobCancelled(JobId("job-1"), WallTime(9), "mira")
    batch = JournalBatch(ZONE, JournalSequence(1), Epoch(1), "w", (cancelled,))
    apply_batch(state, batch)
    decoded = msgspec.msgpack.decode(encode_snapshot(state), type=type(state))
    assert decoded == state
