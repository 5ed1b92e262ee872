"""The agent beside each plain proxy: takes table updates, checks them, swaps the proxy's files, acknowledges."""
