"""Calls of operators to control, for the command line."""

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
    help="The address of a control process; may be given several times.",
)
KEY_OPTION = option(
    "--key",
    envvar=OPERATOR_KEY_VARIABLE,
    required=True,
    help=f"The operators' key, or set {OPERATOR_KEY_VARIABLE}.",
)
JSON_OPTION = option("--json", "as_json", is_flag=True, help="Print JSON.")


@define
class OperatorClient:
    """Asks the control processes in turn until the leading one answers."""

    addresses: tuple[str, ...]
    key: str
    authority_file: str = ""

    def get(self, path: str, reply_type: type[T]) -> T:
        """Return the typed answer of a path."""
        return decode(self._ask("GET", path, b"").content, reply_type)

    def current(self) -> RevisionText:
        """Return the revision in force."""
        return self.get("/ops/current", RevisionText)

    def apply(self, change: ChangeRequest) -> ChangeResult:
        """Send a change; resending it is safe, it has the same id."""
        response = self._ask("POST", "/ops/apply", encode(change))
        return decode(response.content, ChangeResult)

    def _ask(self, method: str, path: str, body: bytes) -> Response:
        """Ask each address; a process that does not lead answers 409."""
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
                    faults = "\n".join(decode(response.content, list[str]))
                    raise CommandFailedError(faults, EXIT_INVALID)
                failures.append(f"{address}: {_meaning(response.status_code)}")
        raise CommandFailedError("; ".join(failures), EXIT_FAILED)


def _meaning(status: int) -> str:
    """Return what a status means to an operator."""
    meanings = {
        401: "the operators' key is wrong",
        409: "does not lead; give the other control processes too",
        413: "the declarations are too large",
        504: "not known whether it was accepted; send the same change again",
    }
    return meanings.get(status, f"answered {status}")
