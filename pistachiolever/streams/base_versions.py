"""Decides at which versions of services streams may begin without a record.

A stream that nobody has recorded began at the base version of its service, which a
majority of the registry members has on disk. So each stream that begins at another
version is recorded before its first event is forwarded.
"""

from collections import Counter

from attrs import define, field

from pistachiolever.streams.const import (
    BASE_REFRESH_SECONDS,
    CONFIRM_WAIT_SECONDS,
    NO_BASE_REFRESH_SECONDS,
)
from pistachiolever.streams.models import StreamReply


@define
class ServiceBase:
    """What is known of the base version of a service; times are absolute seconds.

    `version` is None until the members have told it, and empty if there is none.
    `first` is the only version that was known when the service was, if there was one.
    `is_untold` is true if members of an earlier build tell of no base versions, or
    there are no members. `present` are the versions of ready endpoints.
    """

    added_at: float
    asked_at: float
    present: set[str]
    first: str = ""
    version: str | None = None
    is_untold: bool = False


@define
class BaseVersions:
    """The base versions of services, as a router knows them.

    `is_asking` is true if members are asked about them.
    """

    is_asking: bool = False
    base_by_service: dict[str, ServiceBase] = field(factory=dict)

    def update(self, present_by_service: dict[str, set[str]], now: float) -> list[str]:
        """Apply the versions of ready endpoints; return the services to ask about.

        Members may have chosen another base while the known one was absent.
        """
        to_ask = []
        for service_id, present in present_by_service.items():
            known = self.base_by_service.get(service_id)
            if known is None:
                first = next(iter(present)) if len(present) == 1 else ""
                known = ServiceBase(now, now, set(), first)
                self.base_by_service[service_id] = known
                to_ask.append(service_id)
            elif known.version in present - known.present:
                self._doubt(known, now)
                to_ask.append(service_id)
            known.present = set(present)
        for service_id in self.base_by_service.keys() - present_by_service.keys():
            self.base_by_service[service_id].present = set()
        return to_ask

    def refresh(self, now: float) -> list[str]:
        """Return the services to ask about since their base version may be another."""
        to_ask = []
        for service_id, known in self.base_by_service.items():
            if known.version is None or known.version in known.present:
                continue
            pause = BASE_REFRESH_SECONDS if known.version else NO_BASE_REFRESH_SECONDS
            if known.present and now - known.asked_at >= pause:
                self._doubt(known, now)
                to_ask.append(service_id)
        return to_ask

    def _doubt(self, known: ServiceBase, now: float) -> None:
        """Record all streams of a service until the members have told its base."""
        known.first, known.version, known.asked_at = "", None, now

    def needs_record(self, service_id: str, version: str) -> bool:
        """Return whether a stream is recorded before its first event is forwarded.

        As long as no member could be asked, the first version needs no record.
        """
        known = self.base_by_service.get(service_id)
        if known is None or known.is_untold:
            return False
        base = known.first if known.version is None else known.version
        return base != version

    def requires_record(self, service_id: str) -> bool:
        """Return whether a stream that needs a record must not begin without it.

        While there is no base, a stream without a record is continued only if one
        version can have begun it.
        """
        known = self.base_by_service.get(service_id)
        return known is not None and known.version != ""

    def apply_replies(
        self, service_id: str, replies: list[StreamReply], member_count: int
    ) -> None:
        """Apply what the members reply."""
        known = self.base_by_service[service_id]
        told = [reply for reply in replies if reply.saved is not None]
        known.is_untold = 2 * (len(replies) - len(told)) >= member_count
        if 2 * len(told) <= member_count:
            return
        counts = Counter(reply.bases.get(service_id, "") for reply in told)
        version, count = counts.most_common(1)[0]
        if version and 2 * count > member_count:
            known.version = version
        elif self._has_saved_all(service_id, known, told, member_count):
            known.version = ""

    def is_unsettled(self, service_id: str) -> bool:
        """Return whether members have to be asked about a service."""
        known = self.base_by_service.get(service_id)
        return known is not None and known.version is None

    def may_settle_soon(self, service_id: str, now: float) -> bool:
        """Return whether the members may soon tell the base version of a service."""
        known = self.base_by_service.get(service_id)
        if known is None or known.version is not None or known.is_untold:
            return False
        return self.is_asking and now - known.added_at < CONFIRM_WAIT_SECONDS

    def _has_saved_all(
        self,
        service_id: str,
        known: ServiceBase,
        told: list[StreamReply],
        member_count: int,
    ) -> bool:
        """Return whether most members know the versions and agree on no base."""
        saved = [
            reply
            for reply in told
            if known.present <= set((reply.saved or {}).get(service_id, ()))
        ]
        return 2 * len(saved) > member_count
