"""What an incident was like, told from the controllers' own records."""
