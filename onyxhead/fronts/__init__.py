"""The ways in and out of the controller's core."""
