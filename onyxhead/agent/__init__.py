"""Beside each plain proxy: takes pushes, checks each whole, swaps files atomically, says what was applied."""
