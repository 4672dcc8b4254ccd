"""Stand-ins of the second review: store, back ends, machines and callers, on loopback."""
