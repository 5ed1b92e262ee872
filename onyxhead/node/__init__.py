"""One controller on the platform: streams to proxies, discovery and health checks around the policy (docs/node.md)."""
