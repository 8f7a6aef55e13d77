"""ironstage: the decisions of a quota-keeping gateway for a shared API."""

from ironstage.logic import Gateway

__all__ = ["Gateway"]
