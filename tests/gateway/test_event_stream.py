"""Event streams are split into whole events, however their bytes arrive."""

from random import Random

from pistachiolever.gateway.event_stream import EventBoundary, EventSplitter
from tests.support.cases import CaseTest


def event(number: int) -> bytes:
    """Return an event."""
    return b"id: %d\ndata: %s\n\n" % (number, b"x" * (number % 7))


class EventSplitterTest(CaseTest):
    """Only whole events are forwarded; a resumed stream neither repeats nor skips."""

    def test_result_does_not_depend_on_chunk_boundaries(self) -> None:
        rng = Random(2)
        for line_end in (b"\n", b"\r\n", b"\r") * 34:
            whole = b"".join(event(n) for n in range(1, 50)).replace(b"\n", line_end)
            splitter = EventSplitter()
            out, at = b"", 0
            while at < len(whole):
                step = rng.randint(1, 30)
                piece = splitter.feed(whole[at : at + step])
                self.assertTrue(not piece or piece.endswith(line_end * 2))
                out += piece
                at += step
            self.assertEqual((out, splitter.buffer), (whole, b""))
            self.assertEqual((splitter.last_id, splitter.event_count), (49, 49))

    def test_resuming_drops_the_incomplete_event(self) -> None:
        splitter = EventSplitter()
        out = splitter.feed(event(1) + event(2) + event(3)[:9])
        splitter.resume()
        out += splitter.feed(event(3) + event(4))
        self.assertEqual(out, b"".join(event(n) for n in range(1, 5)))
        self.assertEqual(splitter.fault, "")

    def test_events_from_a_restarted_stream_are_not_repeated(self) -> None:
        splitter = EventSplitter()
        splitter.feed(event(1) + event(2))
        splitter.resume()
        self.assertEqual(splitter.feed(event(1) + event(2) + event(3)), event(3))

    def test_missing_event_is_detected(self) -> None:
        splitter = EventSplitter()
        splitter.feed(event(1) + event(3))
        self.assertEqual(splitter.fault, "an event is missing")

    def test_events_without_ids_prevent_resumption(self) -> None:
        for data, resumable in (
            (event(1), True),
            (b": ping\n\n", True),
            (b"retry: 10\n\n" + event(1), True),
            (b"data: x\n\n", False),
            (event(1) + b"event: part\ndata: x\n\n" + event(2), False),
        ):
            with self.subTest(data):
                splitter = EventSplitter()
                self.assertEqual(splitter.feed(data), data)
                self.assertEqual(splitter.resumable, resumable)


def end_events(data: bytes) -> list[bytes]:
    """Return the whole events of a stream, separated by any line ends."""
    text = data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
    return [part for part in text.split(b"\n\n")[:-1] if part.strip()]


class EventBoundaryTest(CaseTest):
    """The position between events does not depend on how the bytes arrive."""

    def test_table(self) -> None:
        cases = [
            (b"", 0),
            (b"data: a", 7),
            (b"data: a\n", 8),
            (b"data: a\r\n", 9),
            (b"data: a\n\n", 0),
            (b"data: a\r\n\r\n", 0),
            (b"data: a\r\r", 0),
            (b"data: a\n\n\n", 0),
            (b"data: a\n\ndata: bc", 8),
            (b"data: a\r\n\r\ndata: bc\r\n", 10),
            (b": ping\n\n", 0),
            (b"data: a\n\n\n\ndata: b\n\n", 0),
        ]
        for data, unfinished_bytes in cases:
            for step in (1, 2, 3, len(data) or 1):
                with self.subTest(data=data, step=step):
                    boundary = EventBoundary()
                    for start in range(0, len(data), step):
                        boundary.feed(data[start : start + step])
                    self.assertEqual(boundary.unfinished_bytes, unfinished_bytes)
                    self.assertEqual(boundary.received_bytes, len(data))
                    self.assertEqual(boundary.event_count, len(end_events(data)))
