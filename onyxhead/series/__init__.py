"""Time series on disk, for looking back: bounded, coarser with age, gaps kept as gaps."""
