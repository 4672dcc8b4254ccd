"""Tests of the limits on cold upstreams."""
