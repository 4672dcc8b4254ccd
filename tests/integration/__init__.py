"""Integration tests, which run agents, upstreams and the platform as real processes."""
