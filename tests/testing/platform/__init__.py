"""Tests of the platform stand-in."""
