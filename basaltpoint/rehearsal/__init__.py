"""A fleet of real limiters, or its model in virtual time, under faults; and checks of what held."""
