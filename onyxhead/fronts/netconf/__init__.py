"""The NETCONF interface (RFC 6241): sessions over SSH (RFC 6242) and TLS (RFC 7589).

This package translates between XML and the configuration service. The service decides which changes are accepted.
"""
