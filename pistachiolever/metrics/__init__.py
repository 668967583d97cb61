"""Metrics, sent by statsd or exposed to Prometheus."""
