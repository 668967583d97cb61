"""Gap and utilisation of the fleet against the two naive fleets, in one run.

Run: python -m benchmarks.fairness. The gap is in units of the greatest request.
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

GREATEST = 400
DEPTH = 4
BENGAL = SimulationShape(routers=3, endpoints=6, accounts=16, batch=4)
NORDESTE = SimulationShape(routers=4, endpoints=5, accounts=16, batch=4)


def run_one(
    fleet: WorkloadFleet, shape: SimulationShape, seconds: float
) -> dict[str, float]:
    """Return the worst gap and the utilisation of one fleet."""
    tokens = mixed_tokens(shape, GREATEST, 3)
    backlog = Backlog(fleet, shape, skewed_routers(shape), tokens, DEPTH)
    started = time.perf_counter()
    backlog.start()
    fleet.run(10)
    backlog.measure(seconds, 2.0)
    return {
        "gap": round(backlog.worst_gap / GREATEST, 2),
        "utilisation": round(backlog.utilisation(), 4),
        "cpu_seconds": round(time.perf_counter() - started, 1),
    }


def compare(name: str, shape: SimulationShape, seconds: float) -> None:
    """Print one line for one shape."""
    results: dict[str, object] = {"shape": name, "seconds": seconds}
    results["bound"] = round(gap_bound(shape, GREATEST, DEPTH) / GREATEST, 2)
    results["fleet"] = run_one(SimulatedFleet(shape), shape, seconds)
    ideal = BaselineFleet(shape, OmniscientScheduler(shape.weights))
    results["omniscient"] = run_one(ideal, shape, seconds)
    naive = BaselineFleet(shape, RoundRobinScheduler(shape.endpoints))
    results["round_robin"] = run_one(naive, shape, seconds)
    print(json.dumps(results), flush=True)


@command()
@option("--scale", default=10, help="The largest multiple of today's sizes.")
def main(scale: int) -> None:
    """Compare on both associations' shapes, and larger."""
    for name, shape in (("bengal", BENGAL), ("nordeste", NORDESTE)):
        factor = 1
        while factor <= scale:
            grown = evolve(
                shape,
                routers=shape.routers * factor,
                endpoints=shape.endpoints * factor,
                accounts=shape.accounts * factor,
            )
            compare(f"{name} x{factor}", grown, 60.0 if factor > 1 else 300.0)
            factor *= 10


if __name__ == "__main__":
    main()
