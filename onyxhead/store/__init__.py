"""The durable state of a controller, stored in an embedded SQLite database."""
