"""Forwards callers' connections from an overloaded router to its siblings."""
