"""A terminal console over a fleet, from the controllers' answers only."""
