"""A terminal console that shows a fleet from the answers of its controllers alone."""
