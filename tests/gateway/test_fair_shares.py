"""Fair shares computed from the accounts' demand at all endpoints."""

from pistachiolever.gateway.fair_shares import FairShares, OwnGrant, max_min_share
from pistachiolever.usage.const import STALE_SECONDS, UNSEEN_SECONDS
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
        for demands, capacity, share in table:
            with self.subTest(demands=demands):
                self.assertEqual(max_min_share(demands, capacity), share)


class FairSharesTest(CaseTest):
    """A router's view of all accounts over the whole fleet."""

    def setUp(self) -> None:
        """Learn the sums of two accounts."""
        self.shares = FairShares()
        self.shares.update({"hot": (18000, 6000), "small": (100, 100)}, 1.0)

    def test_total(self) -> None:
        self.assertEqual(self.shares.total("hot", 1.0), 6000)
        self.assertEqual(self.shares.total("unknown", 1.0), 0)

    def test_share_is_what_small_accounts_leave(self) -> None:
        self.assertAlmostEqual(self.shares.share(1000.0, 1, 1.0) or 0, 4000 - 100)

    def test_ample_capacity_limits_no_account(self) -> None:
        self.assertIsNone(self.shares.share(1_000_000.0, 1, 1.0))

    def test_unknown_capacity_limits_no_account(self) -> None:
        self.assertIsNone(self.shares.share(0.0, 1, 1.0))

    def test_service_decays_without_changes(self) -> None:
        self.shares.update({}, 13.0)
        self.assertLess(self.shares.total("hot", 13.0), 600)

    def test_own_grants_count_until_the_sums_include_them(self) -> None:
        self.shares.own.record_grant(OwnGrant(1.0, "hot", "e1", 500.0))
        self.assertEqual(self.shares.total("hot", 1.0), 6500)
        self.assertEqual(self.shares.total("hot", 1.0, "e2"), 6500)
        # The agent of this endpoint knows of the grant itself.
        self.assertEqual(self.shares.total("hot", 1.0, "e1"), 6000)
        later = 1.0 + UNSEEN_SECONDS + 0.01
        self.shares.update({"hot": (0, 6500)}, later)
        self.assertEqual(self.shares.total("hot", later), 6500)

    def test_without_the_registry_own_requests_count(self) -> None:
        later = 1.0 + STALE_SECONDS + 0.01
        self.shares.own.record_demand("hot", 8000.0, later)
        self.shares.own.record_demand("small", 10.0, later)
        self.shares.own.record_grant(OwnGrant(later, "hot", "e1", 500.0))
        self.assertEqual(self.shares.total("hot", later), 500)
        # Four routers divide 4,000 weighted tokens.
        self.assertAlmostEqual(self.shares.share(1000.0, 4, later) or 0, 1000 - 10)
