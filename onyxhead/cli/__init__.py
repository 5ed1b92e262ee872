"""The command line: one module for each group of commands, and shared modules for output, requests and exit codes."""
