"""Tests of the group objects that an agent holds."""
