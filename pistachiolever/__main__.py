"""Run the command line with `python -m pistachiolever`."""

from pistachiolever.cli.main import main

if __name__ == "__main__":
    main()
