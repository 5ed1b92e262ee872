"""Thresholds of utility loss and failed attempts that several decisions share, as fractions from 0 to 1."""

#: A backend may lose this much more utility than the fleet's average by chance or through small differences.
EXCESS_LOSS = 0.1
#: If even the backends of the best quarter lose this much utility, the fleet is overloaded and must admit less.
OVERLOAD_LOSS = 0.2
#: If this fraction of attempts fails while the others are answered quickly, backends accept too few connections.
CONNECTION_FAILURES = 0.3
