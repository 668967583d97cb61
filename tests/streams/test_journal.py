"""The journal of streams: what is written where, and what a restart brings back."""

from collections.abc import Callable

from attrs import define, field
from hypothesis import given, strategies as st
from nose2.tools import params

from pistachiolever.core.checksummed_lines import encode_line
from pistachiolever.streams.const import (
    JOURNAL_FILES,
    MAX_JOURNAL_FILE_BYTES,
    MIN_JOURNAL_FILE_BYTES,
)
from pistachiolever.streams.journal import StreamJournal
from pistachiolever.streams.models import StreamOrigin, StreamReport
from pistachiolever.streams.table import StreamTable
from tests.support.cases import CaseTest

OLD = StreamOrigin("s", "v1")
NEW = StreamOrigin("s", "v2")
LEFT_MS = 5_000


@define
class Member:
    """The journal of a member and its files, which outlive it."""

    data_by_file: dict[str, bytes] = field(
        factory=lambda: dict.fromkeys(JOURNAL_FILES, b"")
    )
    journal: StreamJournal = field(factory=lambda: StreamJournal(StreamTable()))

    def report(self, key: str, *origins: StreamOrigin, now: float = 0.0) -> None:
        """Learn of a stream."""
        reports = {key: StreamReport(list(origins), LEFT_MS)}
        self.journal.add(self.journal.table.merge(reports, now))

    def save(self, now: float = 0.0) -> str:
        """Write what is unsaved; return the file, empty if there is nothing."""
        write = self.journal.next_write(now)
        if write is None:
            return ""
        before = b"" if write.is_first else self.data_by_file[write.file]
        self.data_by_file[write.file] = before + write.data
        self.journal.handle_written(write)
        return write.file

    def restart(self, now: float = 0.0) -> int:
        """Restart with the files; return the number of damaged lines."""
        self.journal = StreamJournal(StreamTable())
        return sum(
            self.journal.restore(name, data, now)
            for name, data in self.data_by_file.items()
        )

    def origins(self, key: str, now: float = 0.0) -> set[StreamOrigin]:
        """Return where a stream began."""
        return set(self.journal.table.origins(key, now))


STARTS = st.lists(st.tuples(st.sampled_from("abcd"), st.sampled_from([OLD, NEW])))


class RestartTest(CaseTest):
    """What was saved is known after a restart, and nothing else."""

    @given(st.lists(STARTS, max_size=6))
    def test_saved_streams_are_restored(
        self, batches: list[list[tuple[str, StreamOrigin]]]
    ) -> None:
        member = Member()
        for batch in batches:
            for key, origin in batch:
                member.report(key, origin)
            member.save()
            known = {key: member.origins(key) for key in "abcd"}
            self.assertEqual(member.restart(), 0)
            self.assertEqual({key: member.origins(key) for key in "abcd"}, known)

    # ORDER: of a stream that two versions began, only the first one would be known.
    def test_second_version_of_a_saved_stream_is_saved(self) -> None:
        member = Member()
        member.report("a", OLD)
        member.save()
        member.report("a", NEW)
        member.save()
        member.restart()
        self.assertEqual(member.origins("a"), {OLD, NEW})

    def test_stream_that_was_not_saved_is_unknown(self) -> None:
        member = Member()
        member.report("a", OLD)
        member.restart()
        self.assertEqual(member.origins("a"), set())

    # LOST: a second kill found only what was saved between the two.
    def test_streams_outlive_two_restarts(self) -> None:
        member = Member()
        member.report("a", OLD)
        member.save()
        member.restart(100.0)
        member.report("b", NEW, now=100.0)
        member.save(100.0)
        member.restart(200.0)
        self.assertEqual(member.origins("a", 204.9), {OLD})
        self.assertEqual(member.origins("b", 204.9), {NEW})
        self.assertEqual(member.origins("a", 205.0), set())

    @params(
        ("torn end", lambda line: line[:-5], 1),
        ("changed byte", lambda line: line.replace(b"v1", b"v9"), 1),
        ("hole", lambda line: bytes(len(line) - 1) + b"\n", 1),
        ("nothing", lambda line: b"", 0),
        ("another format", lambda line: encode_line(b"[1]"), 1),
        ("other values", lambda line: encode_line(b'{"s":{"v1":{"a":"x"}}}'), 1),
    )
    def test_damaged_line_names_no_version(
        self, _name: str, damage: Callable[[bytes], bytes], count: int
    ) -> None:
        member = Member()
        member.report("a", OLD)
        file = member.save()
        line = member.data_by_file[file]
        member.report("b", NEW)
        member.save()
        rest = member.data_by_file[file][len(line) :]
        member.data_by_file[file] = damage(line) + b"\n" + rest
        self.assertEqual(member.restart(), count)
        self.assertEqual(member.origins("a"), set())
        self.assertEqual(member.origins("b"), {NEW})


class FileTest(CaseTest):
    """The files stay small, and hold each stream until it expires."""

    def test_file_is_left_once_the_streams_of_the_other_one_have_expired(self) -> None:
        member = Member()
        first, second = JOURNAL_FILES
        member.report("a", OLD)
        self.assertEqual(member.save(), first)
        member.journal.current.size = MIN_JOURNAL_FILE_BYTES
        for now, key, file in (
            (1.0, "b", second),
            (2.0, "c", second),
            (4.9, "d", second),
            (5.0, "e", first),
        ):
            if key == "d":
                member.journal.current.size = MIN_JOURNAL_FILE_BYTES
            member.report(key, OLD, now=now)
            self.assertEqual(member.save(now), file, key)
        member.restart(5.0)
        for key in "bcde":
            self.assertEqual(member.origins(key, 5.0), {OLD})

    # Members that are killed again and again restore streams that never expire.
    def test_file_has_a_limit(self) -> None:
        member = Member()
        member.report("a", OLD)
        first = member.save()
        member.restart()
        member.journal.current.size = MAX_JOURNAL_FILE_BYTES
        member.report("b", OLD)
        self.assertNotEqual(member.save(), first)

    def test_failed_write_is_repeated(self) -> None:
        member = Member()
        member.report("a", OLD)
        write = member.journal.next_write(0.0)
        assert write is not None
        member.report("b", NEW)
        member.journal.handle_failure(write)
        member.save()
        member.restart()
        self.assertEqual(member.origins("a"), {OLD})
        self.assertEqual(member.origins("b"), {NEW})

    # A disk that stays full must not grow the memory without limit.
    def test_oldest_unsaved_stream_is_left_out_at_the_limit(self) -> None:
        journal = StreamJournal(StreamTable(max_streams=2))
        journal.add("abc")
        self.assertEqual(list(journal.unsaved), ["b", "c"])

    def test_expired_stream_is_not_written(self) -> None:
        member = Member()
        member.report("a", OLD)
        self.assertEqual(member.save(LEFT_MS / 1000), "")
