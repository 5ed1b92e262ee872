"""Keys and certificates: a small private authority, and TLS contexts that change in service."""
