"""Interfaces to proxies and operators: RESP2 streams, files that proxies read, NETCONF and nginx configurations."""
