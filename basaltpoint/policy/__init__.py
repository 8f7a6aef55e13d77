"""The decision module: which server, whether to retry, what is turned away."""

from basaltpoint.policy.decision_module import DecisionModule

__all__ = ["DecisionModule"]
