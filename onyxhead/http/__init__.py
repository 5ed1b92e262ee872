"""HTTP/1.1 (RFC 9110, RFC 9112) on asyncio streams; h11 implements the protocol."""
