"""The verdict on a request: whether it has run, may have run, or has not run."""

from enum import Enum


class Verdict(Enum):
    """What is known about the execution of a request."""

    NOT_RUN = "NOT_RUN"
    MAY_HAVE_RUN = "MAY_HAVE_RUN"
    RAN = "RAN"

    def allows_retry(self, retryable: bool) -> bool:
        """Return whether the request may be retried at another endpoint."""
        if self is Verdict.NOT_RUN:
            return True
        return self is Verdict.MAY_HAVE_RUN and retryable
