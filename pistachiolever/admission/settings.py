"""Settings of an agent."""

from attrs import frozen


@frozen
class AgentSettings:
    """An agent's name, failure domain and address for internal calls."""

    node_id: str
    failure_domain: str
    address: str
