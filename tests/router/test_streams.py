"""Buffers of answers for slow callers."""

from unittest import TestCase

from nose2.tools import params

from pistachiolever.router.streams import CallerStream


class CallerStreamTest(TestCase):
    """A slow caller gets no more than its buffer holds."""

    # Characters of several bytes counted as one, so the buffers of slow callers took up
    # to four times the memory that the settings allow.
    @params("a", "\u0939", "\U0001f600")
    def test_limit_is_in_bytes(self, character: str) -> None:
        size = len(character.encode())
        stream = CallerStream("q", 12 * size)
        self.assertFalse(stream.deliver(character * 12, None))
        self.assertEqual(stream.size_bytes, 12 * size)
        self.assertTrue(stream.deliver(character, None))
