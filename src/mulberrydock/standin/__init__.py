"""Stand-ins of everything outside the system, for tests and local fleets."""
