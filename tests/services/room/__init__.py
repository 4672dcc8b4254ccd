"""Tests of the room of upstreams and of the order of return."""
