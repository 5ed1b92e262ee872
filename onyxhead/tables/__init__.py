"""The controller's books: what a proxy holds as a value, its digest, and the changes between two such values.

Nothing here does I/O or reads a clock."""
