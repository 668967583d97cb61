"""Tests of the verdict."""

from unittest import TestCase

from nose2.tools import params

from pistachiolever.core.verdict import Verdict


class VerdictTest(TestCase):
    """Which verdicts allow a retry."""

    @params(
        (Verdict.NOT_RUN, False, True),
        (Verdict.NOT_RUN, True, True),
        (Verdict.MAY_HAVE_RUN, False, False),
        (Verdict.MAY_HAVE_RUN, True, True),
        (Verdict.RAN, False, False),
        (Verdict.RAN, True, False),
    )
    def test_allows_retry(
        self, verdict: Verdict, retryable: bool, expected: bool
    ) -> None:
        self.assertEqual(verdict.allows_retry(retryable), expected)
