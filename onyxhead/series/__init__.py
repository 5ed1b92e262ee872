"""Time series on disk, for the analysis of past events: bounded in size, with a resolution that falls with age."""
