"""Fault scenarios that run live on loopback, and their evaluation from recorded events only."""
