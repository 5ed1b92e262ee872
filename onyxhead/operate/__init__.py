"""Operators' commands: overrides of backends, requests to all members of a fleet, differences between members."""
