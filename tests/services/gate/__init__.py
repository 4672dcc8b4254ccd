"""Tests of execution and failure detection on the VM of the upstream."""
