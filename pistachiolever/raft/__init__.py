"""Raft consensus between control processes on a replicated log of commands."""
