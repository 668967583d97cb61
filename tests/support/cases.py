"""The base of tests that are tables of cases."""

from unittest import TestCase


class CaseTest(TestCase):
    """Shows long differences of a case in full."""

    maxDiff = None
