"""Settings files of the daemons, checked against `schema.rec` and turned into what the daemons start with."""
