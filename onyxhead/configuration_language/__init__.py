"""The configuration language: typed records with definitions, bounds, defaults, units and includes.

`docs/settings.md` describes it. Text is parsed into terms (`parser`, `terms`), which are evaluated and unified with the
definitions (`evaluator`, `unification`, `values`) to plain values. Only `loader` does I/O.
"""
