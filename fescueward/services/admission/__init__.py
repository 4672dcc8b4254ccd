"""Admission control: which requests run on the upstream of this VM, when, and in which order."""

from .slots import SlotAdmission

__all__ = ["SlotAdmission"]
