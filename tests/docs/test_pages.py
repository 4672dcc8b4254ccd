"""Tests that the documentation pages match the code."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

from fescueward import docs
from fescueward.kernel import RefusalError
from fescueward.kernel.errors import error_types
from fescueward.messages.status import ProblemKind
from fescueward.services.administration import _STATUSES

PAGES = Path(__file__).resolve().parents[2] / "docs"


class PagesTest(unittest.TestCase):
    def page(self, name: str) -> str:
        return (PAGES / name).read_text(encoding="utf-8")

    def test_generated_pages_are_current(self):
        """Guards against reference pages that differ from the code; run `scripts/docs`."""
        for path, expected in docs.pages().items():
            self.assertEqual(
                path.read_text(encoding="utf-8"), expected, f"run scripts/docs: {path}"
            )

    def test_tables_are_filled(self):
        """Guards against table markers without a generator, and tables without markers."""
        text = self.page("operators.md")
        names = re.findall(r"<!-- begin (\w+) -->", text)
        self.assertEqual(names, ["settings", "exits", "metrics"])
        self.assertEqual(re.findall(r"<!-- end (\w+) -->", text), names)

    def test_operators_page_lists_every_refusal_and_problem(self):
        """Guards against refusals and problems without advice on the page for operators."""
        text = self.page("operators.md")
        for error_class in error_types():
            if (
                issubclass(error_class, RefusalError)
                and error_class.__module__ == "fescueward.kernel.errors"
            ):
                row = f"| {error_class.code} | `{error_class.label}` |"
                self.assertTrue(row in text, f"operators.md lacks the row {row}")
        for problem in ProblemKind:
            row = f"| `{problem.value}` |"
            self.assertTrue(row in text, f"operators.md lacks the row {row}")

    def test_administration_page_lists_every_status(self):
        """Guards against HTTP statuses that the page of the administration API lacks."""
        text = self.page("administration.md")
        for error_class, status in _STATUSES:
            if status != 500 and not error_class.__subclasses__():
                self.assertRegex(text, rf"\| {status}[0-9, ]* \| \d+ \|", error_class.__name__)

    def test_links_between_pages(self):
        """Guards against pages with paths of files that do not exist."""
        root = PAGES.parent
        for page in [*root.glob("*.md"), *PAGES.rglob("*.md")]:
            if page.name == "design.md":
                continue  # contains paths of planned files
            for name in re.findall(r"\b(?:docs|examples|scripts)/[\w./-]*\w", page.read_text()):
                if name not in ("docs/CAPACITY.md",):
                    self.assertTrue((root / name).exists(), f"{page.name} names {name}")
