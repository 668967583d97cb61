"""The control process: durable state, directory, totals."""
