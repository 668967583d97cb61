"""The router: queues, dispatch and the callers' streams."""
