"""Test harness, load generator and stand-ins for tests, the demo and benchmarks.

Some modules are programs (`python -m fescueward.testing.NAME`), so this package imports none of
its modules.
"""
