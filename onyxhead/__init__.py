"""onyxhead: a control service that assigns backends to plain proxies."""
