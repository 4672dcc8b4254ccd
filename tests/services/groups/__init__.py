"""Tests of the `groups` service."""
