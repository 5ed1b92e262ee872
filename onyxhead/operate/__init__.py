"""Operators' commands on a fleet: overrides of backends, requests to all members, differences between them."""
