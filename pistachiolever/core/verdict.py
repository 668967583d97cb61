"""The verdict says whether a request may have run."""

from enum import Enum


class Verdict(Enum):
    """What is known about the execution of a request."""

    NOT_RUN = "NOT_RUN"
    MAY_HAVE_RUN = "MAY_HAVE_RUN"
    RAN = "RAN"

    def allows_retry(self, repeatable: bool) -> bool:
        """Tell whether the request may be sent again elsewhere."""
        if self is Verdict.NOT_RUN:
            return True
        return self is Verdict.MAY_HAVE_RUN and repeatable
