"""The registry in which services find each other by name."""

from __future__ import annotations

from inspect import getattr_static
from typing import Protocol, TypeVar, runtime_checkable

from typing_extensions import get_protocol_members, is_protocol

from .errors import DuplicateNameError, ServiceTypeError, UnknownNameError

T = TypeVar("T")


@runtime_checkable
class Service(Protocol):
    """A part of the agent that the kernel starts and stops.

    Attributes:
        name: Registry name.
        requires: Names of the services that start before this one and stop after it.
    """

    name: str
    requires: tuple[str, ...]

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses. Nothing runs yet."""
        ...

    async def start(self) -> None:
        """Starts the service. Returns once it can be used."""
        ...

    async def stop(self) -> None:
        """Stops the service and waits for its tasks."""
        ...


@runtime_checkable
class Drainable(Protocol):
    """A service that gives its work away before any service is stopped."""

    async def drain(self) -> None:
        """Gives the work away while all services still run. Must end in bounded time."""
        ...


def _satisfies(service: object, kind: type) -> bool:
    if not is_protocol(kind):
        return isinstance(service, kind)
    # isinstance() would read every property, also of services that are not bound yet.
    absent = object()
    return all(
        getattr_static(service, member, absent) is not absent
        for member in get_protocol_members(kind)
    )


class Registry:
    """Services by name.

    A new front end, a placement policy or a fake is one registration.
    """

    def __init__(self) -> None:
        self._services: dict[str, object] = {}

    @property
    def names(self) -> tuple[str, ...]:
        """Registered names in the order of registration."""
        return tuple(self._services)

    def register(self, name: str, service: object) -> None:
        """Adds a service.

        Args:
            name: Name under which others find it.
            service: The service object.

        Raises:
            DuplicateNameError: The name is taken.
        """
        if name in self._services:
            raise DuplicateNameError(f"service name {name!r} is registered already")
        self._services[name] = service

    def find(self, name: str, kind: type[T]) -> T:
        """Returns a service, typed by a Protocol.

        Args:
            name: Registered name.
            kind: Runtime-checkable Protocol that the service must satisfy.

        Raises:
            UnknownNameError: No service has this name.
            ServiceTypeError: The service lacks a member of the Protocol.
        """
        try:
            service = self._services[name]
        except KeyError:
            raise UnknownNameError("service", name, tuple(sorted(self._services))) from None
        if not _satisfies(service, kind):
            raise ServiceTypeError(
                f"service {name!r} is a {type(service).__name__}, which is no {kind.__name__}"
            )
        return service
