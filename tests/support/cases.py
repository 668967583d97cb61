"""Base class of table-driven tests."""

from unittest import TestCase


class CaseTest(TestCase):
    """A test case that shows long differences in full."""

    maxDiff = None
