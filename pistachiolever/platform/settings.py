"""Reads the platform's settings file into the settings of the product's processes."""

from pathlib import Path
from tomllib import TOMLDecodeError, loads
from typing import Any

from attrs import frozen

from pistachiolever.gateway.settings import GatewaySettings
from pistachiolever.platform.names import METRICS_PORT, READY_PATH
from pistachiolever.registry.settings import RegistrySettings
from pistachiolever.settings.errors import InvalidDocumentError, Problem


@frozen
class MachineSettings:
    """The platform's settings of one process, with its fields as they stand.

    `seeds` there are operators' addresses; the fleet's own calls go to the first of
    the ports that are free for them, which is the same on every VM.
    """

    fields: dict[str, Any]

    @property
    def node(self) -> str:
        """Return the VM's name."""
        return str(self.fields["node"])

    @property
    def inner_port(self) -> int:
        """Return the port of the fleet's own calls."""
        return int(self.fields["portRange"][0])

    @property
    def inner_address(self) -> str:
        """Return where this process takes the fleet's own calls."""
        return f"{self.fields['ip']}:{self.inner_port}"

    @property
    def seeds(self) -> list[str]:
        """Return where members of the registry take the fleet's own calls."""
        hosts = [seed.rpartition(":")[0] for seed in self.fields["seeds"]]
        return [f"{host}:{self.inner_port}" for host in hosts]

    @property
    def control_address(self) -> str:
        """Return where operators and endpoints call."""
        return str(self.fields["listen"]["control"])

    @property
    def engine_address(self) -> str:
        """Return the engine on this VM."""
        return str(self.fields["app"])

    @property
    def metrics_address(self) -> str:
        """Return where this process serves its metrics."""
        return f"{self.fields['ip']}:{METRICS_PORT}"

    @property
    def grace_seconds(self) -> float:
        """Return the time between the order to stop and the end."""
        return float(self.fields["bounds"]["graceS"])

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
        )

    def registry(self) -> RegistrySettings:
        """Return the settings of a member of the registry."""
        return RegistrySettings(
            self.node,
            self.inner_address,
            self.seeds,
            str(self.fields["dataDir"]),
            bool(self.fields.get("bootstrap", False)),
        )


def read_settings(path: Path) -> MachineSettings:
    """Return the settings in a file; raise InvalidDocumentError."""
    try:
        return MachineSettings(loads(path.read_text()))
    except (OSError, TOMLDecodeError, UnicodeDecodeError) as error:
        raise InvalidDocumentError([Problem(str(path), "", str(error))]) from error
