"""Keys and certificates: a private certificate authority, and TLS contexts that are replaced without a restart."""
