"""The durable state of a controller, in an embedded SQLite database."""
