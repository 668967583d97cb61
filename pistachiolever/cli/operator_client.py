"""Client for the operator API of the control processes."""

from collections.abc import Callable
from functools import wraps
from ssl import SSLContext, create_default_context
from typing import Any, TypeVar

from attrs import define
from click import Path as ClickPath, option
from httpx import Client, HTTPError, Response

from pistachiolever.cli.const import (
    AUTHORITY_FILE_VARIABLE,
    EXIT_FAILED,
    EXIT_INVALID,
    OPERATOR_KEY_VARIABLE,
)
from pistachiolever.cli.output import CommandFailedError
from pistachiolever.control.commands import ChangeResult
from pistachiolever.control.operators import ChangeRequest, RevisionText
from pistachiolever.wire.codec import decode, encode

T = TypeVar("T")

CONTROL_OPTION = option(
    "--control",
    "addresses",
    multiple=True,
    required=True,
    help="Address of a control process; repeat the option for each one.",
)
KEY_OPTION = option(
    "--key",
    envvar=OPERATOR_KEY_VARIABLE,
    required=True,
    help=f"The operators' key; default: the value of {OPERATOR_KEY_VARIABLE}.",
)
AUTHORITY_OPTION = option(
    "--authority",
    "authority_file",
    envvar=AUTHORITY_FILE_VARIABLE,
    default="",
    type=ClickPath(dir_okay=False),
    help="PEM file: call control with TLS and check its certificate against it; "
    f"default: the value of {AUTHORITY_FILE_VARIABLE}.",
)
JSON_OPTION = option("--json", "as_json", is_flag=True, help="Print JSON.")


@define
class OperatorClient:
    """Queries the control processes in turn until the leader answers.

    With an `authority_file` it calls them with TLS.
    """

    addresses: tuple[str, ...]
    key: str
    authority_file: str = ""

    def get(self, path: str, reply_type: type[T]) -> T:
        """Fetch a path and decode the reply."""
        return decode(self._request("GET", path, b"").content, reply_type)

    def current(self) -> RevisionText:
        """Return the revision in force."""
        return self.get("/ops/current", RevisionText)

    def apply(self, change: ChangeRequest) -> ChangeResult:
        """Submit a change.

        Retrying is safe: control recognizes the change by its id.
        """
        response = self._request("POST", "/ops/apply", encode(change))
        return decode(response.content, ChangeResult)

    def _request(self, method: str, path: str, body: bytes) -> Response:
        """Try each address until one succeeds; a follower answers 409."""
        failures: list[str] = []
        scheme = "https" if self.authority_file else "http"
        headers = {"authorization": f"Bearer {self.key}"}
        with Client(
            trust_env=False, headers=headers, timeout=10.0, verify=self._verification()
        ) as http:
            for address in self.addresses:
                try:
                    url = f"{scheme}://{address}{path}"
                    response = http.request(method, url, content=body)
                except HTTPError as error:
                    failures.append(f"{address}: {error}")
                    continue
                if response.status_code == 200:
                    return response
                if response.status_code == 400:
                    problems = "\n".join(decode(response.content, list[str]))
                    raise CommandFailedError(problems, EXIT_INVALID)
                failures.append(f"{address}: {_describe_status(response.status_code)}")
        raise CommandFailedError("; ".join(failures), EXIT_FAILED)

    def _verification(self) -> SSLContext | bool:
        """Return how to check certificates, or False without TLS."""
        if not self.authority_file:
            return False
        try:
            return create_default_context(cafile=self.authority_file)
        except OSError as error:
            detail = f"{self.authority_file} holds no certificates: {error}"
            raise CommandFailedError(detail, EXIT_INVALID) from error


def with_operator_client(function: Callable[..., None]) -> Callable[..., None]:
    """Add the options of an operator client, and pass it as `client`."""

    @CONTROL_OPTION
    @KEY_OPTION
    @AUTHORITY_OPTION
    @wraps(function)
    def run(
        addresses: tuple[str, ...], key: str, authority_file: str, **others: Any
    ) -> None:
        """Run the command."""
        client = OperatorClient(addresses, key, authority_file)
        function(client=client, **others)

    return run


def _describe_status(status: int) -> str:
    """Return what an HTTP status of the operator API means."""
    descriptions = {
        401: "the operators' key is wrong",
        409: "not the leader; give the addresses of the other control processes too",
        413: "the declarations are too large",
        504: "not known whether the change was accepted; submit the same change again",
    }
    return descriptions.get(status, f"HTTP status {status}")
