"""The configuration that clients edit at run time: data trees, datastores, access rules and commits. No I/O."""
