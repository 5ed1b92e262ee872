"""A small language of typed records for settings: definitions, types, bounds, defaults, units, includes.

The language is described in `docs/settings.md`. Nothing here does I/O but `files.py`."""
