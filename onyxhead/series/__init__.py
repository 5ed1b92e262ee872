"""Courses over time on disk: bounded, coarser with age, gaps kept as gaps."""
