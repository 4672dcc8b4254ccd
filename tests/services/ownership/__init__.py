"""Tests of the ownership of shards."""
