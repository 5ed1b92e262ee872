"""The proxies' stream protocol: RESP2 arrays of bulk strings to typed messages, and updates to bytes. No I/O."""
