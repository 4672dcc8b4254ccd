"""Registry in which services find each other by name."""

from __future__ import annotations

from inspect import getattr_static
from typing import Protocol, TypeVar, runtime_checkable

from typing_extensions import get_protocol_members, is_protocol

from .errors import DuplicateNameError, ServiceTypeError, UnknownNameError

T = TypeVar("T")


@runtime_checkable
class Service(Protocol):
    """A component of the agent that the kernel starts and stops.

    Attributes:
        name: Name in the registry.
        requires: Names of the services that start before this one and stop after it.
    """

    name: str
    requires: tuple[str, ...]

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses; no service has started yet."""
        ...

    async def start(self) -> None:
        """Starts the service; returns once it is ready for use."""
        ...

    async def stop(self) -> None:
        """Stops the service and waits until its tasks have ended."""
        ...


@runtime_checkable
class Drainable(Protocol):
    """A service that finishes or hands over its work before any service is stopped."""

    async def drain(self) -> None:
        """Finishes or hands over the work while all services run; must end in bounded time."""
        ...


def _satisfies(service: object, kind: type) -> bool:
    if not is_protocol(kind):
        return isinstance(service, kind)
    # isinstance() would evaluate every property, even of services that are not bound yet.
    absent = object()
    return all(
        getattr_static(service, member, absent) is not absent
        for member in get_protocol_members(kind)
    )


class Registry:
    """Services by name.

    A front end, a placement policy or a test double is added by a single registration.
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
            name: Name under which other services find it.
            service: The service object.

        Raises:
            DuplicateNameError: The name is already registered.
        """
        if name in self._services:
            raise DuplicateNameError(f"service name {name!r} is already registered")
        self._services[name] = service

    def find(self, name: str, kind: type[T]) -> T:
        """Returns the service with a name, typed as a Protocol.

        Args:
            name: Registered name.
            kind: Runtime-checkable Protocol, or a class, that the service must satisfy.

        Raises:
            UnknownNameError: No service has this name.
            ServiceTypeError: The service lacks a member of the Protocol or is of another class.
        """
        try:
            service = self._services[name]
        except KeyError:
            raise UnknownNameError("service", name, tuple(sorted(self._services))) from None
        if not _satisfies(service, kind):
            raise ServiceTypeError(
                f"service {name!r} is a {type(service).__name__}, which is not a {kind.__name__}"
            )
        return service
