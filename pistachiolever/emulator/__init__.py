"""An emulated platform under a clock of its own, for experiments with policies."""
