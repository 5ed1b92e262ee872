"""The node: a controller that serves proxies over the platform's RESP2 streams and has no disk (docs/node.md).

The node connects the balancing policy to the proxies' streams, to service discovery and to active health checks.
"""
