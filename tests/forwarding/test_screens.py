"""When a gateway forwards new connections."""

from anyio import run
from attrs import frozen
from nose2.tools import params

from pistachiolever.forwarding.const import FORWARD_DELAY_SECONDS, MIN_OWN_REQUESTS
from pistachiolever.gateway.overload import Overload
from tests.support.cases import CaseTest
from tests.support.router_load import RouterLoad


@frozen
class Case:
    """The state of a gateway, and whether it forwards."""

    is_forwarding: bool
    is_late: bool = True
    own_requests: int = MIN_OWN_REQUESTS
    level: Overload = Overload.NONE
    is_draining: bool = False


CASES = [
    Case(True),
    Case(True, level=Overload.BUSY),
    Case(False, level=Overload.SHEDDING),
    Case(False, is_late=False),
    Case(False, own_requests=MIN_OWN_REQUESTS - 1),
    Case(False, is_draining=True),
]


class ForwardingGatewayTest(CaseTest):
    """A late gateway forwards, unless it refuses all or stops."""

    @params(*CASES)
    def test_may_forward(self, case: Case) -> None:
        async def ask() -> bool:
            process = RouterLoad(1.0).make_router()
            process.guard.level, process.draining = case.level, case.is_draining
            for _ in range(case.own_requests):
                process.intake.begin("one")
            for _ in range(2 * case.is_late):
                process.intake.observe(FORWARD_DELAY_SECONDS)
            return process.forwarder.router.may_forward()

        self.assertEqual(run(ask), case.is_forwarding)
