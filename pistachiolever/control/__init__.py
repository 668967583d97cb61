"""The control process: replicated state, endpoint directory and fleet totals."""
