"""From a flow to its traffic group: hosts, locations, and what a proxy does with what they lead to. No I/O."""
