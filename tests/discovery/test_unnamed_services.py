"""Announcements for services that are not named displace no endpoint."""

from itertools import permutations

from attrs import evolve
from nose2.tools import params

from pistachiolever.discovery.directory import EndpointDirectory
from pistachiolever.discovery.models import Announcement
from tests.discovery.test_directory import READY, READY_ENDPOINT
from tests.support.cases import CaseTest

SOUND = READY_ENDPOINT
# Another writer, which started later, announces the address or the id of the endpoint.
FOREIGN = Announcement("w1", 900, 1, READY, "x", SOUND.address, "north")
FOREIGN_ID = evolve(FOREIGN, endpoint_id=SOUND.endpoint_id)


class UnnamedServiceTest(CaseTest):
    """The directory knows from the configuration which services are named."""

    def setUp(self) -> None:
        """Create a directory without a configuration."""
        self.named: set[str] | None = None
        self.directory = EndpointDirectory(self.names)

    def names(self, service_id: str) -> bool | None:
        """Return whether a service is named, None without a configuration."""
        return None if self.named is None else service_id in self.named

    def merge_all(self, *announcements: Announcement) -> None:
        """Merge announcements, each a second after the one before."""
        for number, announcement in enumerate(announcements):
            self.directory.merge(announcement, float(number))

    # After a restart of all processes no request was served: each endpoint was ended
    # by the entry of another writer before the configuration was known.
    @params(*permutations([SOUND, FOREIGN]), *permutations([SOUND, FOREIGN_ID]))
    def test_endpoint_holds_before_the_configuration_is_known(
        self, *announcements: Announcement
    ) -> None:
        self.merge_all(*announcements)
        self.named = {"s"}
        self.directory.settle_addresses(5.0)
        self.merge_all(evolve(SOUND, sequence=2), *announcements)
        self.assertIn(evolve(SOUND, sequence=2), self.directory.active())

    @params(*permutations([SOUND, FOREIGN]), *permutations([SOUND, FOREIGN_ID]))
    def test_endpoint_holds_while_the_service_is_not_named(
        self, *announcements: Announcement
    ) -> None:
        self.named = {"s"}
        self.merge_all(*announcements)
        self.assertIn(SOUND, self.directory.active())

    # An address that is used again belongs to its new endpoint, also if that was heard
    # of before the configuration.
    def test_named_service_takes_an_address_later(self) -> None:
        self.merge_all(SOUND, FOREIGN)
        self.named = {"s", "x"}
        self.directory.settle_addresses(5.0)
        self.assertEqual(self.directory.active(), [FOREIGN])
