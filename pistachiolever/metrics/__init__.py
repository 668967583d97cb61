"""Counters and timings sent by statsd."""
