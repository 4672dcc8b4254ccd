"""Tests of the HTTP front end for callers."""
