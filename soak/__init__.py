"""A randomized soak: whole daemons under faults that come from outside."""
