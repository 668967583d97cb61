"""Translates the settings file of the platform into settings of the processes."""

from pathlib import Path
from tomllib import loads
from typing import Any, Final

from attrs import frozen

from pistachiolever.admission.settings import AgentSettings
from pistachiolever.core.addresses import split_address
from pistachiolever.gateway.const import (
    DEFAULT_COLD_OVERAGE,
    DEFAULT_COLD_SLACK,
    DEFAULT_DRAIN_SECONDS,
    DEFAULT_MAX_DESCRIPTORS,
)
from pistachiolever.gateway.settings import GatewaySettings
from pistachiolever.http1.budget import max_held_bytes
from pistachiolever.platform.names import METRICS_PORT, READY_PATH
from pistachiolever.registry.settings import RegistrySettings
from pistachiolever.settings.errors import InvalidDocumentError, Problem

# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS: Final = 200
# Sockets of a process, however few descriptors its settings name.
MIN_SOCKETS: Final = 100


@frozen
class PlatformSettings:
    """The settings of one process, with the fields of the platform's file.

    The seeds in the file are addresses for operators. Internal calls go to the first
    port of `portRange`, which is the same on every VM.
    """

    fields: dict[str, Any]

    @property
    def node(self) -> str:
        """Return the name of the VM."""
        return str(self.fields["node"])

    @property
    def peer_port(self) -> int:
        """Return the port for internal calls."""
        return int(self.fields["portRange"][0])

    @property
    def peer_address(self) -> str:
        """Return the address of this process for internal calls."""
        return f"{self.fields['ip']}:{self.peer_port}"

    @property
    def seeds(self) -> list[str]:
        """Return the seeds' addresses for internal calls."""
        hosts = [split_address(seed)[0] for seed in self.fields["seeds"]]
        return [f"{host}:{self.peer_port}" for host in hosts]

    @property
    def control_address(self) -> str:
        """Return the address for operators and endpoints."""
        return str(self.fields["listen"]["control"])

    @property
    def engine_address(self) -> str:
        """Return the address of the engine on this VM."""
        return str(self.fields["app"])

    @property
    def metrics_address(self) -> str:
        """Return the address of the metrics of this process."""
        return f"{self.fields['ip']}:{METRICS_PORT}"

    @property
    def grace_seconds(self) -> float:
        """Return the time between the stop signal and the end of the process."""
        return float(self.fields["bounds"]["graceS"])

    @property
    def max_sockets(self) -> int:
        """Return the descriptors that the process has for sockets."""
        limits = self.fields.get("limits", {})
        descriptors = int(limits.get("maxFds", DEFAULT_MAX_DESCRIPTORS))
        return max(MIN_SOCKETS, descriptors - FILE_DESCRIPTORS)

    @property
    def max_held_bytes(self) -> int:
        """Return the bytes that the process may hold for its clients."""
        limits = self.fields.get("limits", {})
        return max_held_bytes(limits.get("memoryMb"), limits.get("clientMemoryMb"))

    def gateway(self) -> GatewaySettings:
        """Return the settings of a router."""
        listen, bounds = self.fields["listen"], self.fields["bounds"]
        return GatewaySettings(
            self.node,
            str(self.fields["zone"]),
            str(listen["front"]),
            str(listen["ready"]),
            READY_PATH,
            self.grace_seconds,
            float(bounds["retryBudgetRatio"]),
            float(bounds["budgetWindowS"]),
            float(bounds["budgetSlack"]),
            float(bounds.get("drainMs", DEFAULT_DRAIN_SECONDS * 1000)) / 1000,
            self.max_sockets,
            float(bounds.get("coldOverage", DEFAULT_COLD_OVERAGE)),
            float(bounds.get("coldSlack", DEFAULT_COLD_SLACK)),
            plans_returns="pressure" in self.fields.get("contracts", []),
            forward_address=self.peer_address if "ip" in self.fields else "",
        )

    def registry(self) -> RegistrySettings:
        """Return the settings of a member of the registry."""
        return RegistrySettings(
            self.node,
            self.peer_address,
            self.seeds,
            str(self.fields["dataDir"]),
            bool(self.fields.get("bootstrap", False)),
            str(self.fields["zone"]),
        )

    def agent(self) -> AgentSettings:
        """Return the settings of an agent."""
        return AgentSettings(self.node, str(self.fields["zone"]), self.peer_address)


def read_settings(path: Path) -> PlatformSettings:
    """Return the settings in a file; raise InvalidDocumentError.

    The file may be read while only a part of it is written.
    """
    try:
        settings = PlatformSettings(loads(path.read_text()))
        for address in (settings.peer_address, *settings.seeds):
            split_address(address)
    except (
        OSError,
        ValueError,
        KeyError,
        IndexError,
        TypeError,
        AttributeError,
        RecursionError,
    ) as error:
        detail = f"{type(error).__name__}: {error}"
        raise InvalidDocumentError([Problem(str(path), "", detail)]) from error
    return settings
