"""Text with bytes that were no UTF-8 where they were received."""

from __future__ import annotations


def encodable_text(value: object) -> str:
    """Returns the text of a value, in which characters that UTF-8 cannot encode are escaped.

    The HTTP library decodes such bytes of callers and upstreams to lone surrogates.
    """
    return str(value).encode(errors="backslashreplace").decode()
