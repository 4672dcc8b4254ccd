"""Routing of requests to upstreams by the routes of the configuration."""
