"""Thresholds of loss and failure that several decisions share. All are fractions from 0 to 1."""

#: Loss of utility beyond the fleet's average that chance and small differences explain.
EXCESS_LOSS = 0.1
#: When even the best quarter of the backends loses this much utility, less must come in.
OVERLOAD_LOSS = 0.2
#: When so many attempts fail though the others are quick, backends accept too few connections.
CONNECTION_FAILURES = 0.3
