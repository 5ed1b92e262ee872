"""The configuration that is edited in service: data trees under a schema, datastores, access, commits. No I/O."""
