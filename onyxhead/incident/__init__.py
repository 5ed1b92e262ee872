"""Incident pages: reports on a period, made from the controllers' own records."""
