"""The configuration core: data trees under a schema, edits, datastores, commits and what they may break. No I/O."""
