"""Finds benchmarks by name."""

from __future__ import annotations

import importlib
import pkgutil
from typing import Any, Protocol, cast, runtime_checkable

import benchmarks
from fescueward.kernel.errors import UnknownNameError


@runtime_checkable
class Benchmark(Protocol):
    """A module of this package that is a benchmark."""

    def run(self) -> Any:
        """Runs the benchmark and returns its figures as a data class."""
        ...


def names() -> tuple[str, ...]:
    """Returns the names of all benchmarks in alphabetical order."""
    module_names = (module.name for module in pkgutil.iter_modules(benchmarks.__path__))
    return tuple(name for name in sorted(module_names) if _load(name) is not None)


def find(name: str) -> Benchmark:
    """Returns the benchmark with a name.

    Raises:
        UnknownNameError: No benchmark has this name.
    """
    benchmark = _load(name) if name.isidentifier() else None
    if benchmark is None:
        raise UnknownNameError("benchmark", name, names())
    return benchmark


def _load(name: str) -> Benchmark | None:
    if name.startswith("_") or name == "registry":
        return None
    try:
        module = importlib.import_module(f"{benchmarks.__name__}.{name}")
    except ModuleNotFoundError as error:
        if error.name == f"{benchmarks.__name__}.{name}":
            return None
        raise
    return cast(Benchmark, module) if callable(getattr(module, "run", None)) else None
