"""Benchmarks: one module each, with `run()` that returns a frozen data class of figures."""
