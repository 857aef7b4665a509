"""Stand-ins for the external systems (store, engines, services, VM list), for tests
and local fleets."""
