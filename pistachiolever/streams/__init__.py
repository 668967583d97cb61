"""Which software version began a stream, so that only that version continues it."""
