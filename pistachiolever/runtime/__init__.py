"""What every process of a role needs, whatever starts it."""
