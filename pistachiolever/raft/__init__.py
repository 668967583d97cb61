"""Agreement among the control processes on one log of commands."""
