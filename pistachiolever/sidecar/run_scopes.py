"""Cancels the run of a request, which may end while the same request starts anew."""

from collections.abc import Iterator
from contextlib import contextmanager

from anyio import CancelScope
from attrs import define, field


@define
class RunScopes:
    """The cancel scopes of the running requests; the latest run of an id counts."""

    scope_by_request: dict[str, CancelScope] = field(factory=dict)

    @contextmanager
    def open(self, request_id: str) -> Iterator[None]:
        """Make the enclosed run cancellable until it ends."""
        with CancelScope() as scope:
            self.scope_by_request[request_id] = scope
            try:
                yield
            finally:
                # The request may have started anew meanwhile.
                if self.scope_by_request.get(request_id) is scope:
                    del self.scope_by_request[request_id]

    def cancel(self, request_id: str) -> None:
        """Cancel the latest run of a request, if there is one."""
        scope = self.scope_by_request.get(request_id)
        if scope is not None:
            scope.cancel()
