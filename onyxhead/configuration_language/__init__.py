"""The configuration language: typed records with definitions, bounds, defaults, units and includes.

`docs/settings.md` describes the language. `parser` turns text into terms (`terms`). `evaluator` and `unification`
evaluate the terms, unify them with the schema's definitions (`values`) and return plain values. Only `loader` does I/O.
"""
