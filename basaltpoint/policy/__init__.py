"""The decision module: which server, whether to retry, what is turned away."""

from basaltpoint.policy.gateway import Gateway

__all__ = ["Gateway"]
