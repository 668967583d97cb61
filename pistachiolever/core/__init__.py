"""What every package shares: verdicts, ids, clocks."""
