"""Fair sharing of service between accounts by virtual-token counters."""
