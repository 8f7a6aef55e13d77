"""basaltpoint: a request limiter that keeps quotas and ceilings in front of a shared API."""
