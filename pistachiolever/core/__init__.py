"""Basics shared by all packages: verdicts, ids, clocks, actors, mailboxes."""
