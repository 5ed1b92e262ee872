"""The `onyxhead` command."""
