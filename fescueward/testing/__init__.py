"""Small programs that tests, the demo and benchmarks run beside the agents.

The modules are programs of their own (`python -m fescueward.testing.NAME`), so this package
imports none of them.
"""
