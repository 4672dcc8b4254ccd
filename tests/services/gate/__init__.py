"""Tests of the agent's side beside the upstream."""
