"""Decides what a member keeps on its disk of the versions of services, without I/O.

After a loss of all processes it tells which versions can have begun the streams that
nobody has recorded.
"""

from attrs import define, field, frozen
from cattrs import BaseValidationError
from cattrs.preconf.orjson import make_converter
from orjson import dumps, loads

from pistachiolever.core.checksummed_lines import encode_line, verified_body
from pistachiolever.streams.const import BASE_SECONDS

VersionsByService = dict[str, set[str]]
_converter = make_converter()


@frozen
class SavedVersions:
    """The content of the file.

    `bases` are the base versions of services. `is_complete` is true if no stream
    that matters began before the member knew versions and kept records.
    """

    is_complete: bool = False
    versions: dict[str, list[str]] = field(factory=dict)
    bases: dict[str, str] = field(factory=dict)


@define
class VersionHistory:
    """The versions of services, and the base version of each.

    Streams of the base version begin without a record, those of all others with one.
    A version that is the only one that a member knows for BASE_SECONDS is the base
    until the member has forgotten it: later versions join it. `only_since` tells since
    when a service has had one version, `saved` is what the disk has.
    """

    is_complete: bool = False
    versions_by_service: VersionsByService = field(factory=dict)
    base_by_service: dict[str, str] = field(factory=dict)
    only_since: dict[tuple[str, str], float] = field(factory=dict)
    saved: SavedVersions | None = None

    def update(self, versions_by_service: VersionsByService, now: float) -> None:
        """Apply the versions that are remembered now."""
        self.versions_by_service = {
            service_id: set(versions)
            for service_id, versions in versions_by_service.items()
            if versions
        }
        for service_id, base in list(self.base_by_service.items()):
            if base not in self.versions_by_service.get(service_id, ()):
                del self.base_by_service[service_id]
        only = {
            (service_id, version)
            for service_id, versions in self.versions_by_service.items()
            if len(versions) == 1 and service_id not in self.base_by_service
            for version in versions
        }
        self.only_since = {key: self.only_since.get(key, now) for key in only}
        for (service_id, version), since in self.only_since.items():
            if now - since >= BASE_SECONDS:
                self.base_by_service[service_id] = version

    def pack(self) -> SavedVersions:
        """Return what the disk should have."""
        return SavedVersions(
            self.is_complete,
            {name: sorted(found) for name, found in self.versions_by_service.items()},
            dict(self.base_by_service),
        )

    def is_unsaved(self) -> bool:
        """Return whether the disk has something else."""
        return self.pack() != self.saved

    def restore(self, saved: SavedVersions) -> None:
        """Restore what an earlier process saved."""
        self.is_complete = saved.is_complete
        self.versions_by_service = {
            service_id: set(versions) for service_id, versions in saved.versions.items()
        }
        self.base_by_service = dict(saved.bases)
        self.saved = saved

    def saved_versions(self, service_ids: list[str]) -> dict[str, list[str]]:
        """Return the versions of services that no restart can undo."""
        saved = self.saved or SavedVersions()
        return {name: saved.versions.get(name, []) for name in service_ids}

    def saved_bases(self, service_ids: list[str]) -> dict[str, str]:
        """Return the base versions of services that no restart can undo."""
        saved = self.saved or SavedVersions()
        return {name: saved.bases[name] for name in service_ids if name in saved.bases}


def encode_versions(saved: SavedVersions) -> bytes:
    """Return the content of the file."""
    return encode_line(dumps(_converter.unstructure(saved)))


def decode_versions(data: bytes) -> SavedVersions | None:
    """Return what a file holds, or None if it is damaged."""
    body = verified_body(data.removesuffix(b"\n"))
    if body is None:
        return None
    try:
        return _converter.structure(loads(body), SavedVersions)
    except (AttributeError, BaseValidationError, TypeError, ValueError):
        return None
