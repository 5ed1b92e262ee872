"""The controller as the platform runs it: streams to proxies, the module in the middle. See `docs/node.md`."""
