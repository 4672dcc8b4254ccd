"""Stand-ins of the platform, backends, clients and machines for the scripts of the review."""
