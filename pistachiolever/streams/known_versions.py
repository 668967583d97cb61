"""Which software versions of services streams may begin at.

Whoever resumes a stream that nobody has reported asks a majority of the registry
members which versions serve. So a stream must not begin at a version that fewer know.
"""

from attrs import define, field

from pistachiolever.streams.const import MAX_KNOWN_VERSIONS
from pistachiolever.streams.models import StreamReply


@define
class KnownVersions:
    """The versions that a majority of the members knows, and those to ask about.

    The only version that a service has had here needs no majority: members that don't
    know it know none, and then the stream can't be resumed at another one.
    """

    confirmed_by_service: dict[str, dict[str, None]] = field(factory=dict)
    pending_by_service: dict[str, set[str]] = field(factory=dict)

    def may_begin(self, service_id: str, version: str) -> bool:
        """Return whether a stream may begin at a version."""
        return version not in self.pending_by_service.get(service_id, ())

    def is_any_confirmed(self, service_id: str) -> bool:
        """Return whether a majority knows some version, or none is asked about."""
        return bool(self.confirmed_by_service.get(service_id)) or not self.is_pending(
            service_id
        )

    def add(self, versions_by_service: dict[str, set[str]]) -> list[str]:
        """Add versions that endpoints have announced together.

        Return the services about whose versions members have to be asked.
        """
        services = []
        for service_id, versions in versions_by_service.items():
            confirmed = self.confirmed_by_service.setdefault(service_id, {})
            pending = self.pending_by_service.setdefault(service_id, set())
            added = versions - confirmed.keys() - pending
            if not confirmed and not pending and len(added) == 1:
                self._confirm(service_id, added)
            elif added:
                pending |= added
                services.append(service_id)
        return services

    def apply_replies(
        self, service_id: str, replies: list[StreamReply], member_count: int
    ) -> set[str]:
        """Apply what the members know; return the versions that are confirmed now.

        What members have on disk counts, if they tell it. Without members nobody can be
        asked where a stream began.
        """
        pending = self.pending_by_service.get(service_id, set())
        known = [
            reply.versions if reply.saved is None else reply.saved for reply in replies
        ]
        confirmed = {
            version
            for version in pending
            if not member_count
            or 2 * sum(version in versions.get(service_id, ()) for versions in known)
            > member_count
        }
        pending -= confirmed
        self._confirm(service_id, confirmed)
        return confirmed

    def suspend(self, service_id: str, version: str) -> None:
        """Let no stream begin at a version until it is confirmed again."""
        self.confirmed_by_service.get(service_id, {}).pop(version, None)
        self.pending_by_service.setdefault(service_id, set()).add(version)

    def is_pending(self, service_id: str) -> bool:
        """Return whether members have to be asked about a service."""
        return bool(self.pending_by_service.get(service_id))

    def forget_pending(self, service_id: str, present: set[str]) -> None:
        """Forget the versions that no endpoint has any more."""
        self.pending_by_service.get(service_id, set()).intersection_update(present)

    def _confirm(self, service_id: str, versions: set[str]) -> None:
        """Let streams begin at some versions; forget the oldest of very many."""
        confirmed = self.confirmed_by_service[service_id]
        confirmed.update(dict.fromkeys(sorted(versions)))
        while len(confirmed) > MAX_KNOWN_VERSIONS:
            del confirmed[next(iter(confirmed))]
