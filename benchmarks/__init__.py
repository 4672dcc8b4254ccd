"""Benchmarks, each a module with `run() -> dataclass`; `scripts/bench NAME` runs one."""
