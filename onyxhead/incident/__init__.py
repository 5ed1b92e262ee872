"""Incident pages: what happened in a period, from the controllers' own records."""
