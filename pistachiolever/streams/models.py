"""Where streams began."""

from attrs import frozen


@frozen
class StreamOrigin:
    """The service and the software version of the endpoint that began a stream.

    What two versions of one service write doesn't fit together.
    """

    service_id: str
    version: str
