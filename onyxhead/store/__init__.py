"""What a controller keeps on disk, in an embedded SQLite database."""
