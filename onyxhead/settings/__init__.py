"""Settings of the controller and the agent: files are checked against `schema.rec` and converted to typed settings."""
