"""Tests of callers' HTTP."""
