"""The state of all tables of a controller: what each proxy holds, the updates that change it, and older versions.

Nothing here does I/O or reads a clock.
"""
