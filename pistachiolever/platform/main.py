"""Entry point of the processes on the platform."""

import sys

from pistachiolever.core.early_signals import EarlySignals


def main() -> None:
    """Run the role named on the command line."""
    early_signals = EarlySignals()
    early_signals.install()
    # Imported late: until the handlers are installed, SIGHUP ends the process, and
    # these imports take most of the time of a start.
    from pistachiolever.platform.roles import run_named_role

    run_named_role(sys.argv, early_signals)


if __name__ == "__main__":
    main()
