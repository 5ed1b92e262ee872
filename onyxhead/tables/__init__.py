"""A controller's tables: the view that each proxy holds, the updates that change views, and earlier versions.

Nothing in this package does I/O or reads a clock.
"""
