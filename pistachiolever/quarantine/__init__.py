"""Quarantine of parts of requests under which endpoints crash.

A part is a shared part of a prompt, or the content of the request as a whole.
"""
