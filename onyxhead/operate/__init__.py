"""Acting on a fleet: commands that act once, what they would do to the rules, where members differ."""
