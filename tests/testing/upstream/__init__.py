"""Tests of the upstream stand-in."""
