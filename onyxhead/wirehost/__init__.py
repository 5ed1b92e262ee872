"""Connects the policy to the simulator: reads batches of messages on standard input, writes replies to standard output.

All decisions are made by `onyxhead.policy`; this package only decodes, delivers and encodes.
"""
