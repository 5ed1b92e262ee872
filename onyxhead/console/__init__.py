"""A terminal console over a fleet, from the controllers' records only."""
