"""The platform's stream protocol: RESP2 arrays of bulk strings in, values out; orders to bytes. No I/O here."""
