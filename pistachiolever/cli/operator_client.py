"""Client for the operator API of the control processes."""

from typing import TypeVar

from attrs import define
from click import option
from httpx import Client, HTTPError, Response

from pistachiolever.cli.const import EXIT_FAILED, EXIT_INVALID, OPERATOR_KEY_VARIABLE
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
JSON_OPTION = option("--json", "as_json", is_flag=True, help="Print JSON.")


@define
class OperatorClient:
    """Queries the control processes in turn until the leader answers."""

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
        with Client(trust_env=False, headers=headers, timeout=10.0) as http:
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


def _describe_status(status: int) -> str:
    """Return what an HTTP status of the operator API means."""
    descriptions = {
        401: "the operators' key is wrong",
        409: "not the leader; give the addresses of the other control processes too",
        413: "the declarations are too large",
        504: "not known whether the change was accepted; submit the same change again",
    }
    return descriptions.get(status, f"HTTP status {status}")
