"""Controllers that share a fleet: membership, who serves which proxy, fencing tokens. No I/O, no clock of its own.

Nothing here is needed to keep a rule: each controller keeps them alone. Sharing makes service better."""
