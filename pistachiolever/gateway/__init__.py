"""The pass-through router: from a caller's connection to an endpoint's and back."""
