"""Tests of the pages and the examples."""
