"""The NETCONF interface (RFC 6241): sessions over SSH (RFC 6242) and TLS (RFC 7589).

It translates between XML and the configuration service, which takes all decisions."""
