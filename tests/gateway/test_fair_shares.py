"""Fair shares computed from the accounts' demand at all endpoints."""

from pistachiolever.admission.models import AccountUsage
from pistachiolever.gateway.fair_shares import FairShares, max_min_share
from tests.support.cases import CaseTest


class MaxMinShareTest(CaseTest):
    """An account with less demand than the max-min share receives all of it."""

    def test_table(self) -> None:
        table: list[tuple[list[float], float, float | None]] = [
            ([], 100.0, None),
            ([40.0, 60.0], 100.0, None),
            ([200.0], 100.0, 100.0),
            ([10.0, 500.0], 100.0, 90.0),
            ([10.0, 20.0, 500.0, 600.0], 100.0, 35.0),
            ([50.0, 50.0, 50.0, 50.0], 100.0, 25.0),
        ]
        for asked, capacity, share in table:
            with self.subTest(asked=asked):
                self.assertEqual(max_min_share(asked, capacity), share)


class FairSharesTest(CaseTest):
    """A router's view of all accounts at all endpoints."""

    def setUp(self) -> None:
        """Report two accounts at one endpoint and one of them at another."""
        self.shares = FairShares()
        hot, small = AccountUsage("hot", 9000, 3000), AccountUsage("small", 100, 100)
        self.shares.update("e1", [hot, small], 1.0)
        self.shares.update("e2", [hot], 1.0)

    def test_service_elsewhere_excludes_the_endpoint(self) -> None:
        self.assertEqual(self.shares.elsewhere("hot", "e1", 1.0), 3000)
        self.assertEqual(self.shares.elsewhere("hot", "", 1.0), 6000)
        self.assertEqual(self.shares.elsewhere("unknown", "e1", 1.0), 0)

    def test_share_is_what_small_accounts_leave(self) -> None:
        self.assertAlmostEqual(self.shares.share(1000.0, 1.0) or 0, 4000 - 100)

    def test_ample_capacity_limits_no_account(self) -> None:
        self.assertIsNone(self.shares.share(1_000_000.0, 1.0))

    def test_unknown_capacity_limits_no_account(self) -> None:
        self.assertIsNone(self.shares.share(0.0, 1.0))

    def test_service_decays_without_reports(self) -> None:
        self.assertLess(self.shares.elsewhere("hot", "", 13.0), 600)
