"""Days played live on loopback, and their judgement from recorded traffic alone."""
