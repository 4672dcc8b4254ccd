"""Room of upstreams for the requests of this agent's callers, and the order of their return."""

from .returns import CallerReturns

__all__ = ["CallerReturns"]
