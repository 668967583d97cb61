"""Commands that a client account uses: send, resume and cancel a request."""

from attrs import define
from click import command, echo, option
from httpx import Client, HTTPError
from httpx_sse import connect_sse
from orjson import loads

from pistachiolever.cli.const import (
    ACCOUNT_KEY_VARIABLE,
    EXIT_FAILED,
    EXIT_MAY_HAVE_RUN,
    EXIT_NOT_RUN,
    EXIT_OK,
)
from pistachiolever.cli.output import CommandFailedError
from pistachiolever.core.verdict import Verdict

ROUTER_OPTION = option(
    "--router", "address", required=True, help="Address of the router."
)
KEY_OPTION = option(
    "--key",
    envvar=ACCOUNT_KEY_VARIABLE,
    required=True,
    help=f"The account's key; default: the value of {ACCOUNT_KEY_VARIABLE}.",
)
REQUEST_OPTION = option(
    "--request", "request_id", required=True, help="Id of the request."
)


@define
class AnswerPrinter:
    """Prints the events of a streamed answer and derives the exit code from them."""

    as_json: bool
    exit_code: int = EXIT_MAY_HAVE_RUN
    last_event_id: str = ""

    def handle(self, name: str, event_id: str, data: str) -> None:
        """Print one server-sent event."""
        self.last_event_id = event_id or self.last_event_id
        if name == "final":
            self.exit_code = _exit_code(loads(data))
        if self.as_json:
            echo(data)
        elif name == "part":
            echo(loads(data)["text"], nl=False)
        else:
            echo(f"\n[{name}] {data}")


@command()
@ROUTER_OPTION
@KEY_OPTION
@option("--service", required=True, help="Id of the service.")
@option("--input", "text", required=True, help="Input of the request.")
@option(
    "--idempotency-key",
    default="",
    help="Required by services that run a request at most once.",
)
@option(
    "--max-output-tokens",
    type=int,
    default=None,
    help="Maximum length of the answer in tokens.",
)
@option("--json", "as_json", is_flag=True, help="Print the JSON data of each event.")
def send(
    address: str,
    key: str,
    service: str,
    text: str,
    idempotency_key: str,
    max_output_tokens: int | None,
    as_json: bool,
) -> None:
    """Send a request and print the answer as it arrives.

    Example: pistachiolever send --router 127.0.0.1:7101 --service planning
    --input "Plan the week"
    """
    document: dict[str, object] = {"service": service, "input": text}
    if max_output_tokens is not None:
        document["max_output_tokens"] = max_output_tokens
    headers = {"authorization": f"Bearer {key}"}
    if idempotency_key:
        headers["idempotency-key"] = idempotency_key
    _stream("POST", f"http://{address}/v1/requests", headers, document, as_json)


@command()
@ROUTER_OPTION
@KEY_OPTION
@REQUEST_OPTION
@option("--after", default="", help="Id of the last event received.")
@option("--json", "as_json", is_flag=True, help="Print the JSON data of each event.")
def resume(address: str, key: str, request_id: str, after: str, as_json: bool) -> None:
    """Print the rest of a streamed answer, through any router.

    Example: pistachiolever resume --router 127.0.0.1:7102 --request ID
    --after 7@engine-1
    """
    headers = {"authorization": f"Bearer {key}"}
    if after:
        headers["last-event-id"] = after
    url = f"http://{address}/v1/requests/{request_id}/events"
    _stream("GET", url, headers, None, as_json)


@command()
@ROUTER_OPTION
@KEY_OPTION
@REQUEST_OPTION
def cancel(address: str, key: str, request_id: str) -> None:
    """Cancel a request at the router that is handling it.

    Example: pistachiolever cancel --router 127.0.0.1:7101 --request ID
    """
    headers = {"authorization": f"Bearer {key}"}
    url = f"http://{address}/v1/requests/{request_id}"
    try:
        with Client(trust_env=False, timeout=30.0) as http:
            response = http.delete(url, headers=headers)
    except HTTPError as error:
        detail = f"{address}: {error}; not known whether the request was cancelled"
        raise CommandFailedError(detail, EXIT_FAILED) from error
    echo(response.text)
    if response.status_code != 200:
        raise CommandFailedError("not cancelled", EXIT_FAILED)


def _stream(
    method: str,
    url: str,
    headers: dict[str, str],
    document: dict[str, object] | None,
    as_json: bool,
) -> None:
    """Print a streamed answer; fail with the exit code for its verdict."""
    printer = AnswerPrinter(as_json)
    try:
        with (
            Client(trust_env=False, timeout=None) as http,
            connect_sse(http, method, url, headers=headers, json=document) as source,
        ):
            if source.response.status_code != 200:
                source.response.read()
                refusal = loads(source.response.content)
                raise CommandFailedError(source.response.text, _exit_code(refusal))
            for event in source.iter_sse():
                printer.handle(event.event, event.id, event.data)
    except HTTPError as error:
        detail = f"stream broken after event {printer.last_event_id or '-'}: {error}"
        raise CommandFailedError(detail, EXIT_MAY_HAVE_RUN) from error
    if printer.exit_code != EXIT_OK:
        raise CommandFailedError("the answer is not complete", printer.exit_code)


def _exit_code(document: dict[str, object]) -> int:
    """Return the exit code for a final event or a refusal."""
    if document.get("verdict") == Verdict.RAN.value and document.get("complete"):
        return EXIT_OK
    if document.get("verdict") == Verdict.NOT_RUN.value:
        return EXIT_NOT_RUN
    return EXIT_MAY_HAVE_RUN
