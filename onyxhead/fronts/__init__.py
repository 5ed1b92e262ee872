"""The interfaces of the controller: streams to proxies, files for proxies, NETCONF, nginx configurations."""
