"""The decision module: selects servers, decides on retries and refuses requests."""

from basaltpoint.policy.decision_module import DecisionModule

__all__ = ["DecisionModule"]
