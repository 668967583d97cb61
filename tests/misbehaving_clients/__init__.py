"""Groups of misbehaving clients against real processes of each role."""
