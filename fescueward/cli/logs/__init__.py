"""The `logs` command, which traces one request through the log files of many agents."""

from .files import LogFileError
from .search import RequestNotLoggedError, search
from .text import request_log_lines

__all__ = ["LogFileError", "RequestNotLoggedError", "request_log_lines", "search"]
