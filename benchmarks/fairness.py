"""Service gap and utilisation of the simulated fleet and of two baseline fleets.

Run: python -m benchmarks.fairness. The gap is in units of the largest request.
"""

import json
import time

from attrs import evolve
from click import command, option

from tests.support.baselines import (
    BaselineFleet,
    OmniscientScheduler,
    RoundRobinScheduler,
)
from tests.support.simulated_fleet import SimulatedFleet, SimulationShape
from tests.support.workload import (
    Backlog,
    WorkloadFleet,
    gap_bound,
    mixed_tokens,
    skewed_routers,
)

MAX_TOKENS = 400
REQUESTS_PER_ACCOUNT = 4
# Today's fleet sizes of the two associations whose declarations are in examples/.
BENGAL = SimulationShape(routers=3, endpoints=6, accounts=16, batch=4)
NORDESTE = SimulationShape(routers=4, endpoints=5, accounts=16, batch=4)


def run_one(
    fleet: WorkloadFleet, shape: SimulationShape, seconds: float
) -> dict[str, float]:
    """Return the worst gap and the utilisation of one fleet."""
    tokens = mixed_tokens(shape, MAX_TOKENS, 3)
    backlog = Backlog(fleet, shape, skewed_routers(shape), tokens, REQUESTS_PER_ACCOUNT)
    started = time.perf_counter()
    backlog.start()
    fleet.run(10)
    backlog.measure(seconds, 2.0)
    return {
        "gap": round(backlog.worst_gap / MAX_TOKENS, 2),
        "utilisation": round(backlog.utilisation(), 4),
        "cpu_seconds": round(time.perf_counter() - started, 1),
    }


def compare(name: str, shape: SimulationShape, seconds: float) -> None:
    """Print the comparison of one shape as a line of JSON."""
    results: dict[str, object] = {"shape": name, "seconds": seconds}
    results["bound"] = round(
        gap_bound(shape, MAX_TOKENS, REQUESTS_PER_ACCOUNT) / MAX_TOKENS, 2
    )
    results["fleet"] = run_one(SimulatedFleet(shape), shape, seconds)
    omniscient = BaselineFleet(shape, OmniscientScheduler(shape.weights))
    results["omniscient"] = run_one(omniscient, shape, seconds)
    round_robin = BaselineFleet(shape, RoundRobinScheduler(shape.endpoints))
    results["round_robin"] = run_one(round_robin, shape, seconds)
    print(json.dumps(results), flush=True)


@command()
@option("--scale", default=10, help="The largest multiple of today's sizes.")
def main(scale: int) -> None:
    """Compare the fleets on both associations' shapes and multiples of them."""
    for name, shape in (("bengal", BENGAL), ("nordeste", NORDESTE)):
        factor = 1
        while factor <= scale:
            scaled = evolve(
                shape,
                routers=shape.routers * factor,
                endpoints=shape.endpoints * factor,
                accounts=shape.accounts * factor,
            )
            compare(f"{name} x{factor}", scaled, 60.0 if factor > 1 else 300.0)
            factor *= 10


if __name__ == "__main__":
    main()
