"""Commands that inspect a running fleet: status, claims and timeline."""

from pathlib import Path

from cattrs import unstructure
from click import Path as ClickPath, command, option
from httpx import Client, HTTPError

from pistachiolever.cli.const import EXIT_FAILED, FLEET_SECRET_VARIABLE
from pistachiolever.cli.operator_client import (
    JSON_OPTION,
    OperatorClient,
    with_operator_client,
)
from pistachiolever.cli.output import CommandFailedError, show
from pistachiolever.control.operators import ClaimStatus, FleetStatus
from pistachiolever.events.models import Event
from pistachiolever.events.timeline import TimelineFilter, format_event, merge_events
from pistachiolever.wire.codec import decode


@command()
@with_operator_client
@JSON_OPTION
def status(client: OperatorClient, as_json: bool) -> None:
    """Show the live processes and which lag behind the revision in force.

    Example: pistachiolever status --control 127.0.0.1:7100
    """
    fleet = client.get("/ops/status", FleetStatus)
    lines = [f"leader {fleet.leader}, revision {fleet.revision}, preset {fleet.preset}"]
    for process in fleet.processes:
        lag = " LAGS" if process.process_id in fleet.laggards else ""
        lines.append(
            f"{process.role:<8} {process.process_id:<24} "
            f"revision={process.revision}{lag} {process.detail}"
        )
    show(unstructure(fleet), lines, as_json)


@command()
@with_operator_client
@JSON_OPTION
def claims(client: OperatorClient, as_json: bool) -> None:
    """List idempotency keys whose outcome is pending or unknown.

    Example: pistachiolever claims --control 127.0.0.1:7100
    """
    claim_list = client.get("/ops/claims", list[ClaimStatus])
    lines = [
        f"{claim.state:<14} {claim.key} attempt={claim.attempt_id}"
        for claim in claim_list
    ]
    show([unstructure(claim) for claim in claim_list], lines or ["none"], as_json)


@command()
@option("--process", "addresses", multiple=True, help="Address of a process to query.")
@option(
    "--file",
    "files",
    multiple=True,
    type=ClickPath(exists=True, path_type=Path),
    help="File with the output of an earlier `timeline --json`.",
)
@option(
    "--secret",
    envvar=FLEET_SECRET_VARIABLE,
    default="",
    help=f"The fleet secret; default: the value of {FLEET_SECRET_VARIABLE}.",
)
@option("--request", "request_id", default="", help="Show only this request.")
@option("--account", "account_id", default="", help="Show only this account.")
@option("--endpoint", "endpoint_id", default="", help="Show only this endpoint.")
@JSON_OPTION
def timeline(
    addresses: tuple[str, ...],
    files: tuple[Path, ...],
    secret: str,
    request_id: str,
    account_id: str,
    endpoint_id: str,
    as_json: bool,
) -> None:
    """Merge the events of several processes in causal order.

    Example: pistachiolever timeline --process 127.0.0.1:7101 --account depot-3
    """
    events: list[Event] = []
    for file in files:
        events.extend(decode(file.read_bytes(), list[Event]))
    with Client(trust_env=False, timeout=10.0) as http:
        for address in addresses:
            events.extend(_fetch_events(http, address, secret))
    event_filter = TimelineFilter(request_id, account_id, endpoint_id)
    merged = merge_events(events, event_filter)
    show(
        [unstructure(event) for event in merged],
        [format_event(event) for event in merged],
        as_json,
    )


def _fetch_events(http: Client, address: str, secret: str) -> list[Event]:
    """Return the recent events that a process holds in memory."""
    headers = {"authorization": f"Bearer {secret}"}
    try:
        response = http.get(f"http://{address}/ops/events", headers=headers)
    except HTTPError as error:
        raise CommandFailedError(f"{address}: {error}", EXIT_FAILED) from error
    if response.status_code != 200:
        detail = (
            f"{address}: HTTP status {response.status_code}; check the fleet secret"
        )
        raise CommandFailedError(detail, EXIT_FAILED)
    return decode(response.content, list[Event])
