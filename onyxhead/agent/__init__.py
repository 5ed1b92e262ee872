"""The agent beside each plain proxy: checks table updates, replaces the proxy's files and acknowledges the updates."""
