"""Benchmarks. Each is a module whose `run()` returns a data class; see `scripts/bench NAME`."""
