"""Tests of the registry and of error types."""

from __future__ import annotations

import unittest
from typing import Protocol, runtime_checkable

from fescueward.kernel import Registry
from fescueward.kernel.errors import (
    DuplicateNameError,
    NotOwnerError,
    OutcomeLostError,
    RefusalError,
    ServiceTypeError,
    TokenRequiredError,
    UnknownNameError,
    error_types,
    refusal_from_label,
)


@runtime_checkable
class Bell(Protocol):
    @property
    def loud(self) -> bool: ...

    def ring(self) -> None: ...


class BrassBell:
    @property
    def loud(self) -> bool:
        raise AssertionError("the lookup of the service evaluated a property")

    def ring(self) -> None: ...


class Clapper:
    def ring(self) -> None: ...


class RegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = Registry()
        self.bell = BrassBell()
        self.registry.register("bell", self.bell)

    def test_services_are_found_by_name(self):
        """Guards against a lookup that returns another service or evaluates its properties."""
        self.assertIs(self.registry.find("bell", Bell), self.bell)
        self.assertIs(self.registry.find("bell", BrassBell), self.bell)
        self.assertEqual(self.registry.names, ("bell",))

    def test_bad_lookups_are_typed(self):
        """Guards against a missing or wrong service that is only detected at its first call."""
        with self.assertRaisesRegex(UnknownNameError, "valid names are: bell"):
            self.registry.find("gong", Bell)
        with self.assertRaises(DuplicateNameError):
            self.registry.register("bell", BrassBell())
        self.registry.register("clapper", Clapper())
        with self.assertRaisesRegex(ServiceTypeError, "Clapper, which is not a Bell"):
            self.registry.find("clapper", Bell)
        with self.assertRaises(ServiceTypeError):
            self.registry.find("clapper", BrassBell)


class ErrorTest(unittest.TestCase):
    def test_codes_and_labels_are_unique(self):
        """Guards against two errors that a caller cannot distinguish."""
        pending, kinds = [RefusalError, *error_types()], set()
        while pending:
            kind = pending.pop()
            kinds.add(kind)
            pending += [sub for sub in kind.__subclasses__() if sub not in kinds]
        kernel_kinds = [kind for kind in kinds if kind.__module__ == "fescueward.kernel.errors"]
        self.assertEqual(len({kind.code for kind in kernel_kinds}), len(kernel_kinds))
        self.assertEqual(len({kind.label for kind in kernel_kinds}), len(kernel_kinds))

    def test_refusals_cross_the_wire(self):
        """Guards against a refusal that appears safe to retry after it was sent by a peer."""
        for kind in error_types():
            if issubclass(kind, RefusalError) and kind.__module__.startswith("fescueward.kernel"):
                rebuilt = refusal_from_label(kind.label, "text", owner_id="a:1", token="t")
                self.assertIs(type(rebuilt), kind)
                self.assertEqual(str(rebuilt), "text")
        unknown = refusal_from_label("of_a_later_version", "text")
        self.assertIsInstance(unknown, OutcomeLostError)
        self.assertEqual(refusal_from_label("not_owner", "x", owner_id="a:1").owner_id, "a:1")
        token = refusal_from_label("token_required", "x", token="t")
        assert isinstance(token, TokenRequiredError)
        self.assertEqual(token.token, "t")
        self.assertIsNone(NotOwnerError("x").owner_id)
