"""Fault scenarios played live on loopback, and their evaluation from recorded traffic alone."""
