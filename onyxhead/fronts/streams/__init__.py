"""The stream protocol between a node and its proxies, without I/O: decodes RESP2 messages and encodes updates."""
