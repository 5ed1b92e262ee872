"""The NETCONF front (RFC 6241): sessions over SSH (RFC 6242) and TLS (RFC 7589). It decides nothing."""
